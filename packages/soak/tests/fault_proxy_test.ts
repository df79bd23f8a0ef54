/** Tests of the proxy through which links fail. */
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

/** Milliseconds after which an echo that is cut off has not come. */
const ECHO_MILLISECONDS = 400;

let server: Server;
let proxy: FaultProxy;
/** Bytes that the server received. */
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

/** Resolves when the client is connected, or failed to be. */
function open(): Promise<Client> {
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

function wait(): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ECHO_MILLISECONDS);
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
    'with the fault $fault delivers: $arrives, answers: $returns',
    async ({fault, arrives, returns}) => {
      const client = await open();
      if (fault !== undefined) {
        proxy.setFault(fault);
      }
      client.socket.write('hello');
      if (returns) {
        await waitFor('the echo', () => client.text() === 'hello');
      } else {
        await wait();
      }
      expect(received === 'hello').toBe(arrives);
      expect(client.text() === 'hello').toBe(returns);
    },
  );

  it('that is reset ends with an error, old and new', async () => {
    const client = await open();
    client.socket.write('hello');
    await waitFor('the echo', () => client.text() === 'hello');
    proxy.setFault('reset');
    await waitFor('the reset', () => client.error() === 'ECONNRESET');
    const next = await open();
    await waitFor('another reset', () => next.error() === 'ECONNRESET');
  });

  it('works again after its fault', async () => {
    proxy.setFault('silence');
    proxy.setFault(undefined);
    const client = await open();
    client.socket.write('hello');
    await waitFor('the echo', () => client.text() === 'hello');
  });
});
