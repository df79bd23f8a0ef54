/**
 * Tests of what one connection may send: requests ahead of their answers, bodies in the
 * smallest chunks, bodies that are refused by their head.
 */
import {connect, type Socket} from 'node:net';

import {
  ClientMemory,
  ServingError,
  type ServingLimits,
} from '@lacewingwinch/decisions';
import {findFreePorts, waitFor} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

import {
  type ClientRefusal,
  listenForRoutedCalls,
  type RoutedCall,
  type RoutedResponder,
  type RoutedServer,
} from '../src/index.js';
import {UNBOUNDED} from './client_bounds_fixture.js';

const BODY_BYTES = 256 * 1024;

/** Requests of a connection that are parsed before the first of them is answered. */
const MAXIMUM_AHEAD = 8;

interface ServedCall {
  readonly call: RoutedCall;
  readonly responder: RoutedResponder;
}

let server: RoutedServer;
let client: Socket;
let received: string;
let served: ServedCall[];
let refusals: ClientRefusal[];

afterEach(() => {
  client.destroy();
  server.close();
});

/** Starts a server that answers when `answer` is called, and connects to it. */
async function start(limits: Partial<ServingLimits> = {}): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  const all = {...UNBOUNDED.limits, ...limits};
  served = [];
  refusals = [];
  received = '';
  server = await listenForRoutedCalls({
    name: 'callers',
    address: `127.0.0.1:${port}`,
    bounds: {
      ...UNBOUNDED,
      limits: all,
      memory: new ClientMemory(all),
      onRefused: (_server, refusal) => refusals.push(refusal),
    },
    handler: {
      serve: (call, responder) =>
        new Promise(resolve => {
          served.push({call, responder});
          const {target} = call;
          if (target.startsWith('/at-once')) {
            answer(served.length - 1);
          }
          resolve();
        }),
      refuse: (_headers, error) => ({
        status: error.status,
        headers: [],
        body: Buffer.from(error.kind),
      }),
      screen: ({path}) =>
        path === '/refused' ? new ServingError('path-unknown') : undefined,
      maximumBodyBytes: () => BODY_BYTES,
      maximumHeaderBytes: () => 16_384,
    },
    onUnexpectedError: () => undefined,
  });
  client = connect(port, '127.0.0.1');
  client.on('error', () => undefined);
  client.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
}

function answer(index: number): void {
  const {call, responder} = served[index]!;
  responder.sendComplete(200, [], [Buffer.from(call.target)], 'length');
}

function post(target: string, bytes: number | 'chunks'): string {
  const framing =
    bytes === 'chunks'
      ? 'transfer-encoding: chunked'
      : `content-length: ${bytes}`;
  return `POST ${target} HTTP/1.1\r\nhost: a\r\n${framing}\r\n\r\n`;
}

function statuses(): readonly string[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(
    ([, status]) => status ?? '',
  );
}

describe('requests ahead of their answers', () => {
  it.each<{readonly name: string; readonly request: string}>([
    {name: 'without a body', request: post('/later', 0)},
    {name: 'with a body', request: `${post('/later', 5)}12345`},
    {
      name: 'with a chunked body',
      request: `${post('/later', 'chunks')}5\r\n12345\r\n0\r\n\r\n`,
    },
  ])('$name are served in order, a few at a time', async ({request}) => {
    await start();
    client.write(request.repeat(40));
    for (let index = 0; index < 40; index += 1) {
      await waitFor('it is served', () => served.length > index);
      expect(served.length - index).toBeLessThanOrEqual(MAXIMUM_AHEAD);
      answer(index);
    }
    await waitFor('all are answered', () => statuses().length === 40);
    expect(new Set(statuses())).toEqual(new Set(['200']));
  });

  it('are all answered if they are answered at once', async () => {
    await start();
    client.write(post('/at-once', 0).repeat(3000));
    await waitFor('all are answered', () => statuses().length === 3000);
  });

  it('that a closed connection leaves unanswered do not count any more', async () => {
    await start();
    client.write(post('/later', 0).repeat(3));
    await waitFor('they are served', () => served.length === 3);
    client.resetAndDestroy();
    await waitFor('none is counted', () => server.unfinishedCount === 0);
    expect(served.every(({call}) => call.clientDisconnected.aborted)).toBe(
      true,
    );
  });
});

describe('a body', () => {
  it.each<{readonly name: string; readonly text: string}>([
    {
      name: 'in chunks of a byte',
      text: `${post('/at-once', 'chunks')}${'1\r\nx\r\n'.repeat(BODY_BYTES)}0\r\n\r\n`,
    },
    {
      name: 'in large chunks',
      text: `${post('/at-once', 'chunks')}${`10000\r\n${'x'.repeat(65_536)}\r\n`.repeat(BODY_BYTES / 65_536)}0\r\n\r\n`,
    },
    {
      name: 'of a stated length',
      text: `${post('/at-once', BODY_BYTES)}${'x'.repeat(BODY_BYTES)}`,
    },
  ])('$name is read completely', async ({text}) => {
    await start();
    client.write(text + text);
    await waitFor('both are answered', () => statuses().length === 2);
    expect(served.map(({call}) => call.body.length)).toEqual([
      BODY_BYTES,
      BODY_BYTES,
    ]);
  });

  it.each<{
    readonly name: string;
    readonly text: string;
    readonly limits?: Partial<ServingLimits>;
    readonly status: string;
    readonly refusals: readonly ClientRefusal[];
  }>([
    {
      name: 'that is announced as too large',
      text: post('/at-once', BODY_BYTES + 1),
      status: '413',
      refusals: [],
    },
    {
      name: 'for a route that does not exist',
      text: post('/refused', BODY_BYTES),
      status: '404',
      refusals: [],
    },
    {
      name: 'that leaves too little memory',
      text: `${post('/at-once', BODY_BYTES)}${'x'.repeat(150_000)}`,
      limits: {clientBytes: 100_000},
      status: '503',
      refusals: ['request-unfinished'],
    },
    {
      name: 'beside too many complete requests',
      text: `${post('/later', 0)}${post('/at-once', 9)}123456789`,
      limits: {requestBytes: 20_000},
      status: '503',
      refusals: ['request-refused'],
    },
  ])('$name is refused', async ({text, limits, status, ...expected}) => {
    await start(limits);
    client.write(text);
    await waitFor(
      'it is refused',
      () => served.length > 0 || statuses().length > 0,
    );
    served.forEach((_call, index) => answer(index));
    await waitFor('it is answered', () => statuses().includes(status));
    expect(refusals).toEqual(expected.refusals);
  });
});

describe('another connection', () => {
  it('closes the one that is idle', async () => {
    await start({
      connections: {...UNBOUNDED.limits.connections, callers: 1},
    });
    await new Promise(resolve => client.once('connect', resolve));
    const closed = new Promise<void>(resolve => {
      client.once('close', () => resolve());
    });
    const {remotePort = 0} = client;
    const second = connect(remotePort, '127.0.0.1');
    await closed;
    expect(refusals).toEqual(['connection-closed']);
    second.destroy();
  });
});
