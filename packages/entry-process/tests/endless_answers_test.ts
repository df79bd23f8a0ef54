/** Tests of upstreams whose answers never end, and of slow sound streams. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {RoutedInstallation, waitUntil} from './routed_fixtures.js';

/** The kernel buffers several megabytes of a connection on loopback. */
const MAXIMUM_SENT_BYTES = 48 * 1024 * 1024;

const BLOCK = Buffer.alloc(65_536, 'x');
const EVENT = 'id: 1\ndata: first\n\n';

type Behavior = (socket: Socket, head: string) => void;

let installation: RoutedInstallation;
let server: Server;
let sockets: Socket[];
let behavior: Behavior;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  sockets = [];
  server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (request: Buffer) => {
      const attemptId = /x-attempt-id: (\S+)/i.exec(request.toString())?.[1];
      const head = [
        'HTTP/1.1 200 OK',
        `X-Attempt-Id: ${attemptId ?? ''}`,
        'X-Response-Signature: signed',
        '',
      ].join('\r\n');
      behavior(socket, head);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

afterEach(async () => {
  await installation.stop();
  sockets.forEach(socket => socket.destroy());
  server.close();
});

/** Makes the faulty server the only upstream of `service`. */
async function startProcessWith(service: string): Promise<void> {
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  const [engine] = installation.engines;
  for (const {upstreamId} of installation.engines) {
    installation.store.put('keyed.servers', upstreamId, undefined);
  }
  installation.store.put(
    'keyed.servers',
    'i-faulty',
    engine?.entry(service, {address: `127.0.0.1:${port}`}),
  );
  await installation.startProcess();
}

function sendWithoutEnd(socket: Socket): void {
  const send = (): void => {
    while (!socket.destroyed && socket.write(BLOCK)) {}
  };
  socket.on('drain', send);
  send();
}

function sendEvery(
  socket: Socket,
  milliseconds: number,
  next: () => string | undefined,
): void {
  const timer = setInterval(() => {
    const text = next();
    if (socket.destroyed || text === undefined) {
      clearInterval(timer);
      socket.end();
      return;
    }
    socket.write(text);
  }, milliseconds);
}

describe('an answer whose body never ends', () => {
  it.each<{
    readonly name: string;
    readonly path: string;
    readonly behavior: Behavior;
  }>([
    {
      name: 'is lost for a request that is not streamed',
      path: '/once/1',
      behavior: (socket, head) => {
        socket.write(`${head}\r\n`);
        sendWithoutEnd(socket);
      },
    },
    {
      name: 'is broken off in an event of a stream',
      path: '/stream/1',
      behavior: (socket, head) => {
        socket.write(`${head}\r\n${EVENT}id: 2\ndata: `);
        sendWithoutEnd(socket);
      },
    },
  ])('$name', async ({path, behavior: faulty}) => {
    await startProcessWith(path.startsWith('/once') ? 'plain' : 'engines');
    behavior = faulty;
    const memoryBefore = process.memoryUsage().rss;
    const answer = await installation.call({path, deadline: 10_000});
    expect(answer.status === 502 || answer.isBroken).toBe(true);
    await waitUntil(() => sockets[0]?.destroyed === true);
    expect(sockets[0]?.bytesWritten).toBeLessThan(MAXIMUM_SENT_BYTES);
    expect(process.memoryUsage().rss - memoryBefore).toBeLessThan(
      4 * MAXIMUM_SENT_BYTES,
    );
    behavior = (socket, head) =>
      socket.end(`${head}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`);
    const next = await installation.call({path: path.replace('1', '2')});
    expect(next).toMatchObject({status: 200, body: EVENT, isBroken: false});
  });

  it('does not keep the connection of a refusal', async () => {
    await startProcessWith('plain');
    behavior = socket => {
      socket.write('HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\n');
      sendEvery(socket, 50, () => 'x');
    };
    const answer = await installation.call({path: '/once/1', deadline: 300});
    expect(answer.status).toBe(503);
    await waitUntil(() => sockets[0]?.destroyed === true);
  });
});

describe('a slow stream', () => {
  beforeEach(async () => {
    installation.store.publish(withTimeout(20_000));
    await startProcessWith('engines');
  });

  it('whose event grows by a byte now and then is broken off', async () => {
    behavior = (socket, head) => {
      socket.write(`${head}\r\n${EVENT}id: 2\ndata: `);
      sendEvery(socket, 100, () => 'x');
    };
    const startedAt = Date.now();
    const answer = await installation.call({
      path: '/stream/1',
      deadline: 20_000,
    });
    expect(answer.isBroken).toBe(true);
    expect(Date.now() - startedAt).toBeLessThan(5000);
  });

  it('whose events arrive in pieces within the patience of clients is complete', async () => {
    const pieces = Array.from({length: 4}, (_, index) => [
      `id: ${index + 1}\n`,
      'data: slow',
      '\n\n',
    ]).flat();
    behavior = (socket, head) => {
      socket.write(`${head}\r\n`);
      sendEvery(socket, 500, () => pieces.shift());
    };
    const answer = await installation.call({
      path: '/stream/1',
      deadline: 20_000,
    });
    expect(answer.isBroken).toBe(false);
    expect(answer.body.match(/slow\n\n/g)).toHaveLength(4);
  });
});

function withTimeout(timeoutMs: number): object {
  return {
    version: 4,
    routes: [
      {
        name: 'stream',
        host: 'host.example',
        pathPrefix: '/stream/',
        kind: 'streaming',
        service: 'engines',
        timeoutMs,
        targetLatencyMs: 200,
        priority: 1,
        maxAttempts: 1,
      },
    ],
    services: [{name: 'engines', connectionLimit: 500}],
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 1000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'tenant', apiKeys: ['key-1']}],
  };
}
