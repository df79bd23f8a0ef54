/**
 * Tests that an answer whose head is cut is none for the client, whichever way the
 * attempt took: clients of another system got an empty answer, framed as complete.
 */
import {createServer, type Server, type Socket} from 'node:net';

import type {Member} from '@lacewingwinch/decisions';
import {ConnectionPool} from '@lacewingwinch/upstreams';
import {afterEach, describe, expect, it} from 'vitest';

import {RelaySender} from '../src/paths/relay_sender.js';
import {type Behavior, RawUpstream} from './raw_upstream_fixtures.js';
import {waitUntil} from './routed_fixtures.js';

/** Milliseconds that the client waits. */
const DEADLINE_MILLISECONDS = 600;

/** Milliseconds within which a request that is not answered is given up. */
const GIVE_UP_MILLISECONDS = DEADLINE_MILLISECONDS + 500;

const STATUS_LINE = 'HTTP/1.1 200 OK';

let upstream: RawUpstream;

const ENDS = [
  {end: 'closed', finish: (socket: Socket) => socket.end()},
  {end: 'reset', finish: (socket: Socket) => socket.resetAndDestroy()},
  {end: 'kept open', finish: () => undefined},
] as const;

/** What an upstream sends after `head`, which lacks its last line. */
const CUTS: readonly {
  readonly cut: string;
  readonly partOf: (head: string) => string;
}[] = [
  {cut: 'in the status line', partOf: head => head.slice(0, 9)},
  {cut: 'in a name', partOf: head => `${head}Content-Le`},
  {cut: 'in a length', partOf: head => `${head}Content-Length: 4`},
  {
    cut: 'before the empty line',
    partOf: head => `${head}Content-Length: 0\r\n`,
  },
  {
    cut: 'of a status without a body',
    partOf: head => `${head.replace(STATUS_LINE, 'HTTP/1.1 204 No Content')}\r`,
  },
  {
    cut: 'of an answer that was not modified',
    partOf: head =>
      `${head.replace(STATUS_LINE, 'HTTP/1.1 304 Not Modified')}\r`,
  },
  {cut: 'by its size', partOf: head => `${head}X-Long: ${'x'.repeat(100_000)}`},
];

describe.each([
  {service: 'plain', paths: ['/once/x', '/again/x']},
  {service: 'engines', paths: ['/stream/x', '/resumed/x']},
])('an answer of $service whose head is cut', ({service, paths}) => {
  afterEach(() => upstream.stop());

  it.each(
    paths.flatMap(path =>
      CUTS.flatMap(cut => ENDS.map(end => ({path, ...cut, ...end}))),
    ),
  )('$cut and $end is none: $path', async ({path, partOf, finish}) => {
    upstream = await RawUpstream.start(service);
    const ended: Socket[] = [];
    const cutHead: Behavior = (socket, head) => {
      socket.once('close', () => ended.push(socket));
      socket.write(partOf(head), () => finish(socket));
    };
    upstream.behaviors = [cutHead];
    const startedAt = Date.now();
    const answer = await upstream.installation.call({
      path,
      deadline: DEADLINE_MILLISECONDS,
    });
    expect([502, 504]).toContain(answer.status);
    expect(answer.isBroken).toBe(false);
    expect(Date.now() - startedAt).toBeLessThan(GIVE_UP_MILLISECONDS);
    // No further request uses a connection with the rest of a head.
    await waitUntil(() => ended.length === upstream.requests.length);
  });
});

describe('an answer that another host relays', () => {
  let server: Server;

  afterEach(() => {
    server.close();
  });

  it.each(ENDS.flatMap(end => [10, 30, 60].map(length => ({length, ...end}))))(
    'is none if it is cut after $length bytes and $end',
    async ({length, finish}) => {
      const head = `${STATUS_LINE}\r\nX-Attempt-Id: a\r\nlacewingwinch-relay-framing: length\r\nContent-Length: 0\r\n\r\n`;
      server = createServer(socket => {
        socket.on('error', () => undefined);
        socket.once('data', () => {
          socket.write(head.slice(0, length), () => finish(socket));
        });
      });
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const address = server.address();
      const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
      const carrier: Member = {
        hostId: 'carrier',
        failureDomain: 'north',
        addresses: {
          callers: '',
          peers: '',
          operators: '',
          relay: `127.0.0.1:${port}`,
        },
        incarnation: 1,
        status: 'serving',
      };
      const events: string[] = [];
      await new Promise<void>(resolve => {
        new RelaySender({
          pool: new ConnectionPool(() => performance.now()),
          carrier,
          front: 'front',
          upstreamId: 'i-1',
          requestId: 'a',
          requiredProcess: undefined,
          connectMilliseconds: 100,
        }).send(
          {
            address: '',
            method: 'POST',
            path: '/once/x',
            headers: [],
            body: Buffer.from('question'),
            maximumIdleMilliseconds: 1000,
            maximumConnections: 2,
            maximumMilliseconds: DEADLINE_MILLISECONDS,
          },
          {
            onSend: () => true,
            onHead: () => events.push('head'),
            onData: () => events.push('data'),
            onEnd: () => {
              events.push('end');
              resolve();
            },
            onError: (_error, wasSent) => {
              events.push(`error, sent: ${wasSent}`);
              resolve();
            },
          },
        );
      });
      expect(events).toEqual(['error, sent: true']);
    },
  );
});
