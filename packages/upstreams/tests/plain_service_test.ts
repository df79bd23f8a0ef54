/** Tests of calls to plain services that fail at each stage. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {
  callPlainService,
  isUpstreamError,
  UpstreamConnections,
} from '../src/index.js';

let server: Server | undefined;
const connections = new UpstreamConnections();

afterEach(
  () =>
    new Promise<void>(resolve => {
      server?.close(() => resolve());
    }),
);

/**
 * Starts a server that passes each connection to `onConnection`, with its
 * number, counted from 0.
 */
async function startServer(
  onConnection: (socket: Socket, index: number) => void,
): Promise<string> {
  let count = 0;
  server = createServer(socket => {
    socket.on('error', () => socket.destroy());
    onConnection(socket, count);
    count += 1;
  });
  const listening = server;
  await new Promise<void>(resolve => {
    listening.listen(0, '127.0.0.1', resolve);
  });
  const address = listening.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  return `127.0.0.1:${port}`;
}

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

interface Outcome {
  readonly result: string;
  readonly sendChecks: number;
}

async function call(address: string, isRepeatable: boolean): Promise<Outcome> {
  let sendChecks = 0;
  try {
    const answer = await callPlainService(connections, {
      address,
      isRepeatable,
      request: {
        method: 'POST',
        path: '/call',
        headers: {},
        body: Buffer.from('x'),
        signal: AbortSignal.timeout(5000),
        canSend: () => {
          sendChecks += 1;
          return true;
        },
      },
    });
    return {result: answer.body.toString(), sendChecks};
  } catch (error) {
    const result = isUpstreamError(error) ? error.failure.kind : 'unexpected';
    return {result, sendChecks};
  }
}

describe('a call that may not be repeated', () => {
  const cases: readonly {
    readonly name: string;
    readonly onConnection: (socket: Socket, index: number) => void;
    readonly expected: Outcome;
  }[] = [
    {
      name: 'an answer',
      onConnection: socket => socket.on('data', () => socket.end(ANSWER)),
      expected: {result: 'ok', sendChecks: 1},
    },
    ...[408, 421, 429, 503].map(status => ({
      name: `an answer with ${status}, which would promise that it has not run`,
      onConnection: (socket: Socket) =>
        socket.on('data', () =>
          socket.end(`HTTP/1.1 ${status} No\r\ncontent-length: 0\r\n\r\n`),
        ),
      expected: {result: 'refused-by-upstream', sendChecks: 1},
    })),
    ...[600, 999].map(status => ({
      name: `an answer with ${status}, which is no status`,
      onConnection: (socket: Socket) =>
        socket.on('data', () =>
          socket.end(`HTTP/1.1 ${status} No\r\ncontent-length: 0\r\n\r\n`),
        ),
      expected: {result: 'refused-by-upstream', sendChecks: 1},
    })),
    ...[500, 504].map(status => ({
      name: `an answer with ${status}`,
      onConnection: (socket: Socket) =>
        socket.on('data', () =>
          socket.end(
            `HTTP/1.1 ${status} No\r\ncontent-length: 5\r\n\r\n${status}!!`,
          ),
        ),
      expected: {result: `${status}!!`, sendChecks: 1},
    })),
    {
      name: 'a reset at the first byte',
      onConnection: socket =>
        socket.on('data', () => {
          socket.resetAndDestroy();
        }),
      expected: {result: 'connection-lost', sendChecks: 1},
    },
    {
      name: 'a truncated answer',
      onConnection: socket =>
        socket.on('data', () => socket.end(ANSWER.slice(0, -1))),
      expected: {result: 'connection-lost', sendChecks: 1},
    },
    {
      name: 'an answer without a length that is reset',
      onConnection: socket =>
        socket.on('data', () => {
          socket.write('HTTP/1.1 200 OK\r\n\r\no');
          setTimeout(() => socket.resetAndDestroy(), 30);
        }),
      expected: {result: 'connection-lost', sendChecks: 1},
    },
    {
      name: 'an answer without a length that is reset with its data',
      onConnection: socket =>
        socket.on('data', () => {
          socket.write('HTTP/1.1 200 OK\r\n\r\no');
          socket.resetAndDestroy();
        }),
      expected: {result: 'connection-lost', sendChecks: 1},
    },
  ];

  it.each(cases)('ends with $name', async ({onConnection, expected}) => {
    const address = await startServer(onConnection);
    expect(await call(address, false)).toEqual(expected);
  });

  it('never reuses a connection', async () => {
    const seen: number[] = [];
    const address = await startServer((socket, index) => {
      socket.on('data', () => {
        seen.push(index);
        // The upstream keeps the connection open, then closes it on its own.
        socket.write(ANSWER, () => {
          setTimeout(() => socket.destroy(), 1);
        });
      });
    });
    for (let turn = 0; turn < 20; turn += 1) {
      expect(await call(address, false)).toEqual({result: 'ok', sendChecks: 1});
    }
    expect(seen).toEqual(Array.from({length: 20}, (_, index) => index));
  });

  it('is not sent when the upstream cannot be reached', async () => {
    const address = await startServer(() => undefined);
    await new Promise<void>(resolve => {
      server?.close(() => resolve());
    });
    expect(await call(address, false)).toEqual({
      result: 'not-sent',
      sendChecks: 0,
    });
    server = undefined;
    await startServer(() => undefined);
  });

  it('is not sent when its execution right is gone', async () => {
    let received = 0;
    const address = await startServer(socket => {
      socket.on('data', () => {
        received += 1;
      });
    });
    const attempt = callPlainService(connections, {
      address,
      isRepeatable: false,
      request: {
        method: 'POST',
        path: '/call',
        headers: {},
        body: Buffer.from('x'),
        signal: AbortSignal.timeout(5000),
        canSend: () => false,
      },
    });
    await expect(attempt).rejects.toMatchObject({failure: {kind: 'not-sent'}});
    expect(received).toBe(0);
  });
});

describe('a call that may be repeated', () => {
  it('is repeated only by its caller', async () => {
    const address = await startServer(socket => {
      socket.on('data', () => socket.destroy());
    });
    expect(await call(address, true)).toEqual({
      result: 'connection-lost',
      sendChecks: 1,
    });
  });
});
