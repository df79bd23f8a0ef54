/** Tests of exchanges that are paused while their connection ends. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';

import {ConnectionPool} from '../src/index.js';

const REQUESTS = 80;
const CONCURRENT_REQUESTS = 20;
const PAUSES_MILLISECONDS = [5, 20, 40];

/** The event loop is busy for the first part of each period. */
const BUSY_MILLISECONDS = 15;
const BUSY_PERIOD_MILLISECONDS = 25;

const BODY = 'x'.repeat(2000);
const LARGE_BODY = 'x'.repeat(200_000);

type Behavior = (socket: Socket) => void;

interface Outcome {
  readonly ends: number;
  readonly isComplete: boolean;
  readonly bytes: number;
}

let server: Server;
let behavior: Behavior;
let pool: ConnectionPool;
const sockets = new Set<Socket>();
const uncaught: unknown[] = [];
const recordUncaught = (error: unknown): void => {
  uncaught.push(error);
};

beforeAll(() => {
  process.on('uncaughtException', recordUncaught);
});

afterAll(() => {
  process.off('uncaughtException', recordUncaught);
});

afterEach(() => {
  pool.close();
  sockets.forEach(socket => socket.destroy());
  sockets.clear();
  server.close();
  uncaught.length = 0;
});

async function listen(): Promise<string> {
  pool = new ConnectionPool(() => performance.now());
  server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', () => behavior(socket));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  return `127.0.0.1:${typeof address === 'object' ? (address?.port ?? 0) : 0}`;
}

/** Sends a request that is paused at each part of its body. */
function sendPaused(address: string, pause: number): Promise<Outcome> {
  return new Promise(resolve => {
    let ends = 0;
    let bytes = 0;
    const finish = (isComplete: boolean): void => {
      ends += 1;
      // A second end would come at once.
      setTimeout(() => resolve({ends, isComplete, bytes}), 50);
    };
    const exchange = pool.send(
      {
        address,
        method: 'GET',
        path: '/',
        headers: [],
        body: undefined,
        maximumIdleMilliseconds: 5000,
        maximumConnections: CONCURRENT_REQUESTS,
        maximumMilliseconds: 3000,
      },
      {
        onSend: () => true,
        onHead: () => undefined,
        onData: chunk => {
          bytes += chunk.length;
          exchange?.pause();
          setTimeout(() => exchange?.resume(), pause);
        },
        onEnd: () => finish(true),
        onError: () => finish(false),
      },
    );
  });
}

async function sendAll(address: string): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = [];
  let next = 0;
  const sendInTurn = async (): Promise<void> => {
    while (next < REQUESTS) {
      const pause = PAUSES_MILLISECONDS[next % PAUSES_MILLISECONDS.length] ?? 0;
      next += 1;
      outcomes.push(await sendPaused(address, pause));
    }
  };
  await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, sendInTurn));
  return outcomes;
}

function keepBusy(): NodeJS.Timeout {
  return setInterval(() => {
    const until = performance.now() + BUSY_MILLISECONDS;
    while (performance.now() < until) {}
  }, BUSY_PERIOD_MILLISECONDS);
}

const OK = 'HTTP/1.1 200 OK\r\n';

interface PausedCase {
  readonly name: string;
  readonly behavior: Behavior;
  readonly isComplete: boolean;
  /** Bytes of the body that arrive in any case. */
  readonly bytes: number;
}

const CASES: readonly PausedCase[] = [
  {
    name: 'without a length, ended',
    behavior: socket => socket.end(`${OK}\r\n${BODY}`),
    isComplete: true,
    bytes: BODY.length,
  },
  {
    name: 'without a length and large, ended',
    behavior: socket => socket.end(`${OK}\r\n${LARGE_BODY}`),
    isComplete: true,
    bytes: LARGE_BODY.length,
  },
  {
    name: 'without a length, reset with its data',
    behavior: socket => {
      socket.write(`${OK}\r\n${BODY}`);
      socket.resetAndDestroy();
    },
    isComplete: false,
    bytes: 0,
  },
  {
    name: 'without a length, reset a millisecond later',
    behavior: socket => {
      socket.write(`${OK}\r\n${BODY}`);
      setTimeout(() => socket.resetAndDestroy(), 1);
    },
    isComplete: false,
    bytes: BODY.length,
  },
  {
    name: 'without a length, reset after a while',
    behavior: socket => {
      socket.write(`${OK}\r\n${BODY}`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    },
    isComplete: false,
    bytes: BODY.length,
  },
  {
    name: 'with a length and `close`, whole and ended',
    behavior: socket =>
      socket.end(
        `${OK}Connection: close\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
      ),
    isComplete: true,
    bytes: BODY.length,
  },
  {
    name: 'with a length and `close`, cut and ended',
    behavior: socket =>
      socket.end(
        `${OK}Connection: close\r\nContent-Length: ${BODY.length + 1}\r\n\r\n${BODY}`,
      ),
    isComplete: false,
    bytes: BODY.length,
  },
  {
    name: 'with a length, cut and reset',
    behavior: socket => {
      socket.write(`${OK}Content-Length: ${BODY.length + 1}\r\n\r\n${BODY}`);
      setTimeout(() => socket.resetAndDestroy(), 5);
    },
    isComplete: false,
    bytes: BODY.length,
  },
  {
    name: 'in chunks, whole and kept',
    behavior: socket =>
      socket.write(
        `${OK}Transfer-Encoding: chunked\r\n\r\n7d0\r\n${BODY}\r\n0\r\n\r\n`,
      ),
    isComplete: true,
    bytes: BODY.length,
  },
  {
    name: 'in chunks, whole and followed by other bytes',
    behavior: socket =>
      socket.write(
        `${OK}Transfer-Encoding: chunked\r\n\r\n7d0\r\n${BODY}\r\n0\r\n\r\n${OK}`,
      ),
    isComplete: true,
    bytes: BODY.length,
  },
  {
    name: 'in chunks and `close`, whole and ended',
    behavior: socket =>
      socket.end(
        `${OK}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n${BODY}\r\n0\r\n\r\n`,
      ),
    isComplete: true,
    bytes: BODY.length,
  },
  {
    name: 'in chunks, cut and ended',
    behavior: socket =>
      socket.end(`${OK}Transfer-Encoding: chunked\r\n\r\n7d0\r\n${BODY}\r\n`),
    isComplete: false,
    bytes: BODY.length,
  },
];

describe.each(['a busy', 'an idle'])('in %s process', load => {
  it.each(CASES)(
    'a paused answer $name ends once',
    async ({behavior: answer, isComplete, bytes}) => {
      behavior = answer;
      const address = await listen();
      const timer = load === 'a busy' ? keepBusy() : undefined;
      const outcomes = await sendAll(address);
      clearInterval(timer);
      expect(uncaught).toEqual([]);
      expect(outcomes).toHaveLength(REQUESTS);
      for (const outcome of outcomes) {
        expect(outcome).toMatchObject({ends: 1, isComplete});
        expect(outcome.bytes).toBeGreaterThanOrEqual(bytes);
      }
    },
  );
});
