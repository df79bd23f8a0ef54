/** Tests of the proxy that simulates link failures. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from 'node:net';

import {waitFor} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {FaultProxy, type LinkFault} from '../src/index.js';

/** Time to wait before concluding that no echo arrives. */
const ECHO_TIMEOUT_MILLISECONDS = 400;

let server: Server;
let proxy: FaultProxy;
/** Text that the server received. */
let received: string;
const sockets: Socket[] = [];

beforeEach(async () => {
  received = '';
  server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      received += chunk.toString();
      socket.write(chunk);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  proxy = new FaultProxy(`127.0.0.1:${port}`);
  await proxy.listen();
});

afterEach(async () => {
  await proxy.close();
  sockets.splice(0).forEach(socket => socket.destroy());
  server.close();
});

interface Client {
  readonly socket: Socket;
  readonly text: () => string;
  readonly error: () => string | undefined;
}

/** Resolves when the client is connected or the connection has failed. */
function openClient(): Promise<Client> {
  const [host, port] = proxy.address.split(':');
  return new Promise(resolve => {
    let text = '';
    let error: string | undefined;
    const socket = connect(Number(port), host);
    const client = {socket, text: () => text, error: () => error};
    sockets.push(socket);
    socket.on('connect', () => resolve(client));
    socket.on('data', chunk => {
      text += chunk.toString();
    });
    socket.on('error', failure => {
      error = 'code' in failure ? String(failure.code) : failure.message;
      resolve(client);
    });
  });
}

function waitForMissingEcho(): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ECHO_TIMEOUT_MILLISECONDS);
  });
}

describe('a link', () => {
  it.each<{
    readonly fault: LinkFault | undefined;
    readonly arrives: boolean;
    readonly returns: boolean;
  }>([
    {fault: undefined, arrives: true, returns: true},
    {fault: 'delay', arrives: true, returns: true},
    {fault: 'cut-to-client', arrives: true, returns: false},
    {fault: 'cut-to-server', arrives: false, returns: false},
    {fault: 'silence', arrives: false, returns: false},
  ])(
    'with fault $fault: request arrives: $arrives, answer arrives: $returns',
    async ({fault, arrives, returns}) => {
      const client = await openClient();
      if (fault !== undefined) {
        proxy.setFault(fault);
      }
      client.socket.write('hello');
      if (returns) {
        await waitFor('the echo', () => client.text() === 'hello');
      } else {
        await waitForMissingEcho();
      }
      expect(received === 'hello').toBe(arrives);
      expect(client.text() === 'hello').toBe(returns);
    },
  );

  it('resets both open and new connections', async () => {
    const client = await openClient();
    client.socket.write('hello');
    await waitFor('the echo', () => client.text() === 'hello');
    proxy.setFault('reset');
    await waitFor('the reset', () => client.error() === 'ECONNRESET');
    const next = await openClient();
    await waitFor('another reset', () => next.error() === 'ECONNRESET');
  });

  it('works again after the fault', async () => {
    proxy.setFault('silence');
    proxy.setFault(undefined);
    const client = await openClient();
    client.socket.write('hello');
    await waitFor('the echo', () => client.text() === 'hello');
  });
});
