/** Tests of calls of operators whose answers end with their connection or early. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {fetchStatus} from '../src/index.js';

const REQUESTS = 80;
const CONCURRENT_REQUESTS = 20;
const STATUS = JSON.stringify({hostId: 'host-1', text: 'x'.repeat(300_000)});
const HALF = STATUS.slice(0, STATUS.length / 2);

/** The event loop is busy for the first part of each period. */
const BUSY_MILLISECONDS = 15;
const BUSY_PERIOD_MILLISECONDS = 25;

/** Milliseconds after which the data sent before has been read. */
const SETTLE_MILLISECONDS = 100;

/** How a call ended. */
type CallEnd = 'answered' | 'failed';

interface AnswerCase {
  readonly name: string;
  readonly answer: (socket: Socket) => void;
  readonly end: CallEnd;
}

const ANSWERS: readonly AnswerCase[] = [
  {
    name: 'with a length on a kept connection',
    answer: socket =>
      socket.write(`${head(`Content-Length: ${STATUS.length}`)}${STATUS}`),
    end: 'answered',
  },
  {
    name: 'with a length and `close`',
    answer: socket =>
      socket.end(
        `${head(`Connection: close\r\nContent-Length: ${STATUS.length}`)}${STATUS}`,
      ),
    end: 'answered',
  },
  {
    name: 'without a length',
    answer: socket => socket.end(`${head('Connection: close')}${STATUS}`),
    end: 'answered',
  },
  {
    name: 'with a length that is cut',
    answer: socket =>
      socket.end(`${head(`Content-Length: ${STATUS.length}`)}${HALF}`),
    end: 'failed',
  },
  {
    name: 'without a length that is cut',
    answer: socket => socket.end(`${head('Connection: close')}${HALF}`),
    end: 'failed',
  },
  {
    name: 'without a length that is reset',
    answer: socket => {
      socket.write(`${head('Connection: close')}${HALF}`);
      setTimeout(() => socket.resetAndDestroy(), SETTLE_MILLISECONDS);
    },
    end: 'failed',
  },
  {
    name: 'that is no answer',
    answer: socket => socket.end(HALF),
    end: 'failed',
  },
];

let server: Server;

afterEach(() => {
  server.close();
});

function head(headers: string): string {
  return `HTTP/1.1 200 OK\r\n${headers}\r\n\r\n`;
}

async function listen(answer: AnswerCase['answer']): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => answer(socket));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  return `127.0.0.1:${typeof address === 'object' ? (address?.port ?? 0) : 0}`;
}

async function callOnce(address: string): Promise<CallEnd> {
  try {
    const {hostId} = await fetchStatus(address);
    return hostId === 'host-1' ? 'answered' : 'failed';
  } catch {
    return 'failed';
  }
}

describe('a call of an operator', () => {
  it.each(ANSWERS)(
    'has one end in a busy process: an answer $name',
    async ({answer, end}) => {
      const address = await listen(answer);
      const timer = setInterval(() => {
        const until = performance.now() + BUSY_MILLISECONDS;
        while (performance.now() < until) {}
      }, BUSY_PERIOD_MILLISECONDS);
      const ends: CallEnd[] = [];
      const callInTurn = async (): Promise<void> => {
        for (
          let calls = 0;
          calls < REQUESTS / CONCURRENT_REQUESTS;
          calls += 1
        ) {
          ends.push(await callOnce(address));
        }
      };
      await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, callInTurn));
      clearInterval(timer);
      expect(ends).toHaveLength(REQUESTS);
      expect(new Set(ends)).toEqual(new Set([end]));
    },
    20_000,
  );
});
