/** Tests of clients that stop reading a response that is complete. */
import {connect, type Socket} from 'node:net';

import {afterEach, expect, it} from 'vitest';

import {listenForRoutedCalls, type RoutedServer} from '../src/index.js';
import {UNBOUNDED} from './client_bounds_fixture.js';

/** More than the kernel buffers of both ends hold. */
const BODY = Buffer.alloc(32 * 1024 * 1024, 'x');

const ADDRESS = {host: '127.0.0.1', port: 18_733};

let server: RoutedServer | undefined;
let client: Socket | undefined;

afterEach(() => {
  client?.destroy();
  server?.close();
});

it.each([
  {name: 'is disconnected if it stops', stopMilliseconds: 13_000, isCut: true},
  {name: 'gets all if it reads on', stopMilliseconds: 1000, isCut: false},
])(
  'a client that stops reading a complete response $name',
  async ({stopMilliseconds, isCut}) => {
    server = await listenForRoutedCalls({
      name: 'callers',
      address: `${ADDRESS.host}:${ADDRESS.port}`,
      bounds: UNBOUNDED,
      handler: {
        serve: (_call, responder) => {
          responder.sendComplete(200, [], [BODY], 'length');
          return Promise.resolve();
        },
        refuse: () => ({status: 503, headers: [], body: Buffer.alloc(0)}),
        screen: () => undefined,
        maximumBodyBytes: () => 1000,
        maximumHeaderBytes: () => 1000,
      },
      onUnexpectedError: () => undefined,
    });
    const socket = connect(ADDRESS);
    client = socket;
    socket.pause();
    socket.write('GET / HTTP/1.1\r\nHost: host.example\r\n\r\n');
    await new Promise(resolve => setTimeout(resolve, stopMilliseconds));
    let bytes = 0;
    const end = new Promise<void>(resolve => {
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      socket.on('data', chunk => {
        bytes += chunk.length;
        if (bytes > BODY.length) {
          resolve();
        }
      });
    });
    socket.resume();
    await end;
    expect(bytes < BODY.length).toBe(isCut);
  },
);
