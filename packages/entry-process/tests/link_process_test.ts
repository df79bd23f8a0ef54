/** Tests of the stand-in for the links of a host, which gives up its ports for a while. */
import {createServer, type Server} from 'node:net';

import {type LinkCut, LinkProcess} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

/** The lowest port that systems use for outgoing connections by default. */
const FIRST_EPHEMERAL_PORT = 32_768;

/** These links are never used. */
const TARGETS = ['127.0.0.1:9', '127.0.0.1:10'];

let links: LinkProcess;
let intruder: Server | undefined;

beforeEach(async () => {
  links = await LinkProcess.start(TARGETS);
});

afterEach(async () => {
  intruder?.close();
  intruder = undefined;
  await links.stop();
});

function portsOf({addresses}: LinkProcess): readonly number[] {
  return addresses.map(address => Number(address.split(':')[1]));
}

async function occupy(port: number): Promise<void> {
  const server = createServer();
  intruder = server;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
}

// Guards against cut_off_hosts_test.ts ending in its timeout: while a link refused
// connections, the system gave its port to another process.
describe('the links of a host', () => {
  it('have ports that the system does not choose for others', () => {
    expect(links.addresses).toHaveLength(TARGETS.length);
    expect(Math.max(...portsOf(links))).toBeLessThan(FIRST_EPHEMERAL_PORT);
  });

  it.each<{readonly form: LinkCut}>([{form: 'reset'}, {form: 'refuse-new'}])(
    'listen at the same ports again after "$form"',
    async ({form}) => {
      await links.cut(form);
      await links.heal();
      await expect(occupy(portsOf(links)[0] ?? 0)).rejects.toThrow(
        'EADDRINUSE',
      );
    },
  );

  it('report that a port was taken', async () => {
    await links.cut('reset');
    await occupy(portsOf(links)[0] ?? 0);
    await expect(links.heal()).rejects.toThrow('EADDRINUSE');
  });
});
