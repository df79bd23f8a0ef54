/** Tests of the connection pool with complete, broken and missing answers. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, describe, expect, test} from 'vitest';

import {ConnectionPool} from '../src/index.js';

type Behavior = (socket: Socket) => void;

interface Result {
  readonly status: number | undefined;
  readonly body: string;
  readonly end: 'complete' | 'error';
  readonly wasSent: boolean;
}

const servers: Server[] = [];
const sockets: Socket[] = [];
const pool = new ConnectionPool(() => performance.now());

afterEach(() => {
  sockets.splice(0).forEach(socket => socket.destroy());
  servers.splice(0).forEach(server => server.close());
});

function listen(behavior: Behavior): Promise<string> {
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => behavior(socket));
  });
  servers.push(server);
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      resolve(
        `127.0.0.1:${typeof address === 'object' ? (address?.port ?? 0) : 0}`,
      );
    });
  });
}

function send(address: string): Promise<Result> {
  return new Promise(resolve => {
    let status: number | undefined;
    let wasSent = false;
    const chunks: Buffer[] = [];
    const finish = (end: Result['end']): void =>
      resolve({status, body: Buffer.concat(chunks).toString(), end, wasSent});
    pool.send(
      {
        address,
        method: 'POST',
        path: '/call',
        headers: ['x-test', '1'],
        body: Buffer.from('question'),
        maximumIdleMilliseconds: 5000,
        maximumConnections: 2,
      },
      {
        onSend: () => {
          wasSent = true;
          return true;
        },
        onHead: head => {
          ({status} = head);
        },
        onData: chunk => chunks.push(chunk),
        onEnd: () => finish('complete'),
        onError: () => finish('error'),
      },
    );
  });
}

const PAUSE_MILLISECONDS = 30;

function afterPause(action: () => void): void {
  setTimeout(action, PAUSE_MILLISECONDS);
}

describe('an answer', () => {
  test.each<{
    readonly name: string;
    readonly behavior: Behavior;
    readonly end: Result['end'];
  }>([
    {
      name: 'with a length is complete at that length',
      behavior: socket =>
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'),
      end: 'complete',
    },
    {
      name: 'with a length that ends early is incomplete',
      behavior: socket =>
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort'),
      end: 'error',
    },
    {
      name: 'without a length is complete when its connection ends',
      behavior: socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
      end: 'complete',
    },
    {
      name: 'without a length is incomplete when its connection is reset',
      behavior: socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nshort');
        afterPause(() => socket.resetAndDestroy());
      },
      end: 'error',
    },
    {
      name: 'without a length but with `Connection: close` is incomplete after a reset',
      behavior: socket => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort');
        afterPause(() => socket.resetAndDestroy());
      },
      end: 'error',
    },
    {
      name: 'without a length is incomplete after a reset that arrives with its data',
      behavior: socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nshort');
        socket.resetAndDestroy();
      },
      end: 'error',
    },
    {
      name: 'in chunks that ends early is incomplete',
      behavior: socket =>
        socket.end(
          'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        ),
      end: 'error',
    },
    {
      name: 'that is not HTTP is an error',
      behavior: socket => socket.write('no answer at all\r\n\r\n'),
      end: 'error',
    },
    {
      name: 'that has not begun is an error after a reset',
      behavior: socket => socket.resetAndDestroy(),
      end: 'error',
    },
  ])('$name', async ({behavior, end}) => {
    const result = await send(await listen(behavior));
    expect(result.end).toBe(end);
    expect(result.wasSent).toBe(true);
  });
});

test('an extra answer is not used as the answer to the next request', async () => {
  let requests = 0;
  const address = await listen(socket => {
    requests += 1;
    const answer = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${requests}`;
    socket.write(requests === 1 ? `${answer}${answer}` : answer);
  });
  expect((await send(address)).body).toBe('1');
  await new Promise(resolve => setTimeout(resolve, PAUSE_MILLISECONDS));
  expect((await send(address)).body).toBe('2');
});

test('a request to an address without a listener is reported as not sent', async () => {
  const address = await listen(() => undefined);
  servers.splice(0).forEach(server => server.close());
  expect(await send(address)).toMatchObject({end: 'error', wasSent: false});
});
