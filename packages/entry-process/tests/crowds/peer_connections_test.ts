/** Tests of crowds at the address for other entry hosts. */
import {repeated} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, it} from 'vitest';

import {CrowdedHost, type CrowdPlan} from './crowded_host.js';

const MEBIBYTE = 1024 * 1024;

/** A call that every host answers. */
const UNKNOWN_CALL = '{"jsonrpc":"2.0","id":1,"method":"unknown"}\n';

let host: CrowdedHost;

beforeEach(async () => {
  host = await CrowdedHost.start();
});

afterEach(() => host.close());

describe('a process stays within its limits while clients send to the address for peers', () => {
  it.each<CrowdPlan & {readonly name: string}>([
    {
      name: 'lines without end',
      at: 'peers',
      connections: 20,
      send: () => repeated('x', 15 * MEBIBYTE),
    },
    {
      name: 'calls whose answers they leave unread',
      at: 'peers',
      connections: 40,
      send: () => repeated(UNKNOWN_CALL, 80_000),
    },
    {
      name: 'lines of null',
      at: 'peers',
      connections: 40,
      send: () => repeated('null\n', 100_000),
    },
    {
      name: 'large documents',
      at: 'peers',
      connections: 20,
      reopenings: 40,
      send: () => repeated(`{"a":[${'[],'.repeat(300_000)}[]]}\n`, 1),
    },
  ])('$name', async crowd => {
    await host.expectToWithstand(crowd);
  });
});
