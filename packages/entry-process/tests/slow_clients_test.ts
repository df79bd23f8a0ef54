/** Tests of clients that read slowly, stop reading or leave. */
import {request as sendHttp} from 'node:http';
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {UpstreamSocket} from '../../upstreams/src/upstream_socket.js';
import {RoutedInstallation, waitUntil} from './routed_fixtures.js';

const EVENT_BYTES = 2000;
/** An event that is larger than what a response buffers. */
const LARGE_EVENT_BYTES = 40_000;
/** More than the kernel and the process buffer for a client that stops. */
const EVENTS = 3000;
const DEADLINE_MILLISECONDS = 10_000;
const STOP_MILLISECONDS = 400;
const SHORT_STOP_MILLISECONDS = 20;
const REQUESTS = 80;
const CONCURRENT_REQUESTS = 20;

/** The event loop is busy for the first part of each period. */
const BUSY_MILLISECONDS = 15;
const BUSY_PERIOD_MILLISECONDS = 25;

/** How the upstream ends its stream. */
type UpstreamEnd = (socket: Socket) => void;

interface SlowCase {
  readonly name: string;
  readonly header: string;
  readonly isChunked: boolean;
  readonly tail: string;
  readonly end: UpstreamEnd;
  readonly isBroken: boolean;
}

interface Received {
  readonly events: number;
  readonly isBroken: boolean;
}

let installation: RoutedInstallation;
let server: Server;
let sockets: Set<Socket>;
let current: SlowCase;
let size: {readonly events: number; readonly bytes: number};
let attempts = 0;
const uncaught: unknown[] = [];
const recordUncaught = (error: unknown): void => {
  uncaught.push(error);
};

beforeEach(async () => {
  process.on('uncaughtException', recordUncaught);
  uncaught.length = 0;
  size = {events: EVENTS, bytes: EVENT_BYTES};
  installation = await RoutedInstallation.start();
  sockets = new Set();
  server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (request: Buffer) => {
      const attemptId = /x-attempt-id: (\S+)/i.exec(request.toString())?.[1];
      void sendStream(socket, attemptId ?? '');
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  for (const {upstreamId, isStreamed} of installation.engines) {
    if (isStreamed) {
      installation.store.put('keyed.servers', upstreamId, undefined);
    }
  }
  installation.store.put(
    'keyed.servers',
    'i-raw',
    installation.engines[0]?.entry('engines', {address: `127.0.0.1:${port}`}),
  );
  installation.store.publish(withLongStreams());
  await installation.startProcess();
});

afterEach(async () => {
  process.off('uncaughtException', recordUncaught);
  await installation.stop();
  sockets.forEach(socket => socket.destroy());
  server.close();
});

function eventOf(id: number): string {
  return `id: ${id}\ndata: ${'x'.repeat(size.bytes)}\n\n`;
}

async function sendStream(socket: Socket, attemptId: string): Promise<void> {
  const {header, isChunked, tail, end} = current;
  const send = async (text: string): Promise<void> => {
    const framed = isChunked
      ? `${text.length.toString(16)}\r\n${text}\r\n`
      : text;
    if (!socket.write(framed)) {
      await new Promise(resolve => {
        socket.once('drain', resolve);
        socket.once('close', resolve);
      });
    }
  };
  socket.write(
    `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId}\r\nX-Response-Signature: signed\r\n${header}\r\n`,
  );
  for (let id = 1; id <= size.events && !socket.destroyed; id += 1) {
    await send(eventOf(id));
  }
  if (tail !== '') {
    await send(tail);
  }
  end(socket);
}

/** Reads a stream, stopping once for `stopMilliseconds`. */
function readWithStop(stopMilliseconds: number): Promise<Received> {
  const [host, port] = (installation.callers[0] ?? '').split(':');
  attempts += 1;
  return new Promise(resolve => {
    let isReset = false;
    let text = '';
    let isComplete = false;
    const request = sendHttp(
      {
        host,
        port,
        path: `/stream/${attempts}`,
        method: 'POST',
        // A plain socket may report a reset that comes with data as an end.
        createConnection: () => {
          const socket = new UpstreamSocket();
          socket.connect({host, port: Number(port)});
          return socket;
        },
        headers: {
          host: 'host.example',
          'x-attempt-id': `slow-${attempts}`,
          'x-deadline-ms': String(DEADLINE_MILLISECONDS),
          authorization: 'Token key-1',
        },
      },
      response => {
        response.once('data', () => {
          response.pause();
          setTimeout(() => response.resume(), stopMilliseconds);
        });
        response.on('data', (chunk: Buffer) => {
          text += chunk.toString('latin1');
        });
        response.on('error', () => undefined);
        response.on('end', () => {
          isComplete = true;
        });
        response.on('close', () =>
          resolve({
            events: text.split('\n\n').length - 1,
            isBroken: isReset || !isComplete,
          }),
        );
      },
    );
    request.on('error', () => {
      isReset = true;
    });
    request.end();
  });
}

const CASES: readonly SlowCase[] = [
  {
    name: 'without a length that ends after an event',
    header: '',
    isChunked: false,
    tail: '',
    end: socket => socket.end(),
    isBroken: false,
  },
  {
    name: 'without a length that ends inside an event',
    header: 'Connection: close\r\n',
    isChunked: false,
    tail: 'id: 9999\nda',
    end: socket => socket.end(),
    isBroken: true,
  },
  {
    name: 'in chunks that ends',
    header: 'Transfer-Encoding: chunked\r\n',
    isChunked: true,
    tail: '',
    end: socket => socket.write('0\r\n\r\n'),
    isBroken: false,
  },
  {
    name: 'in chunks that ends and closes',
    header: 'Connection: close\r\nTransfer-Encoding: chunked\r\n',
    isChunked: true,
    tail: '',
    end: socket => socket.end('0\r\n\r\n'),
    isBroken: false,
  },
  {
    name: 'in chunks that is cut',
    header: 'Transfer-Encoding: chunked\r\n',
    isChunked: true,
    tail: '',
    end: socket => socket.end(),
    isBroken: true,
  },
  {
    name: 'in chunks that is reset',
    header: 'Transfer-Encoding: chunked\r\n',
    isChunked: true,
    tail: '',
    end: socket => {
      setTimeout(() => socket.resetAndDestroy(), 50);
    },
    isBroken: true,
  },
];

/** A stream that does not end while no client reads it. */
const NEVER_ENDING: SlowCase = {
  name: 'without end',
  header: '',
  isChunked: false,
  tail: '',
  end: () => undefined,
  isBroken: true,
};

describe('a client that stops reading for a while', () => {
  it.each(CASES)('gets a stream $name', async slowCase => {
    current = slowCase;
    const reading = readWithStop(STOP_MILLISECONDS);
    const others = await Promise.all(
      Array.from({length: 5}, () => installation.call({path: '/once/1'})),
    );
    expect(others.map(({status}) => status)).toEqual([200, 200, 200, 200, 200]);
    const {events, isBroken} = await reading;
    expect(isBroken).toBe(slowCase.isBroken);
    if (!isBroken) {
      expect(events).toBe(EVENTS);
    }
    expect(uncaught).toEqual([]);
    expect((await installation.call({path: '/once/2'})).status).toBe(200);
  });
});

describe('a stream that ends while its client is waited for', () => {
  it.each(CASES)('has one end: a stream $name', async slowCase => {
    current = slowCase;
    size = {events: 2, bytes: LARGE_EVENT_BYTES};
    const timer = setInterval(() => {
      const until = performance.now() + BUSY_MILLISECONDS;
      while (performance.now() < until) {}
    }, BUSY_PERIOD_MILLISECONDS);
    const received: Received[] = [];
    const readInTurn = async (): Promise<void> => {
      while (received.length <= REQUESTS - CONCURRENT_REQUESTS) {
        received.push(await readWithStop(SHORT_STOP_MILLISECONDS));
      }
    };
    await Promise.all(Array.from({length: CONCURRENT_REQUESTS}, readInTurn));
    clearInterval(timer);
    expect(uncaught).toEqual([]);
    for (const {events, isBroken} of received) {
      expect(isBroken).toBe(slowCase.isBroken);
      expect(events).toBe(isBroken ? events : size.events);
    }
  });
});

/** Allows streams of several seconds, of which a busy process refuses none. */
function withLongStreams(): object {
  return {
    version: 4,
    routes: [
      {kind: 'streaming', prefix: '/stream/', service: 'engines'},
      {kind: 'non_idempotent', prefix: '/once/', service: 'plain'},
    ].map(({kind, prefix, service}) => ({
      name: service,
      host: 'host.example',
      pathPrefix: prefix,
      kind,
      service,
      timeoutMs: DEADLINE_MILLISECONDS,
      targetLatencyMs: DEADLINE_MILLISECONDS,
      priority: 1,
      maxAttempts: 1,
    })),
    services: ['engines', 'plain'].map(name => ({name, connectionLimit: 500})),
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 1000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'tenant', apiKeys: ['key-1']}],
  };
}

describe('clients that stop reading', () => {
  it('end at their deadlines and occupy little memory', async () => {
    current = NEVER_ENDING;
    const clients = 200;
    const memoryBefore = process.memoryUsage().rss;
    const [host, port] = (installation.callers[0] ?? '').split(':');
    for (let index = 0; index < clients; index += 1) {
      const request = sendHttp(
        {
          host,
          port,
          path: `/stream/${index}`,
          method: 'POST',
          agent: false,
          headers: {
            host: 'host.example',
            'x-attempt-id': `stopped-${index}`,
            'x-deadline-ms': '3000',
            authorization: 'Token key-1',
          },
        },
        response => response.on('error', () => undefined).pause(),
      );
      request.on('error', () => undefined);
      request.end();
    }
    await new Promise(resolve => setTimeout(resolve, 2000));
    const grown = process.memoryUsage().rss - memoryBefore;
    // Both ends of every connection are in this process.
    expect(grown).toBeLessThan(clients * 1024 * 1024);
    await waitUntil(() => sockets.size === 0);
    expect((await installation.call({path: '/once/2'})).status).toBe(200);
    expect(uncaught).toEqual([]);
  });
});
