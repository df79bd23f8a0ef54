/**
 * Tests of upstreams that stop in the middle of the head of their answer: clients of
 * another system got an empty or short answer that was framed as complete.
 */
import type {Socket} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {
  callPlainService,
  ConnectionPool,
  streamCompletion,
  UpstreamConnections,
} from '../src/index.js';
import {closeUpstreams, listen, sendThrough} from './pool_fixtures.js';

const pool = new ConnectionPool(() => performance.now());

afterEach(closeUpstreams);

const OWN_HEADERS =
  'X-Attempt-Id: attempt-1\r\nX-Response-Signature: signed\r\n';

const HEADS = [
  {name: 'with a length', head: `200 OK\r\n${OWN_HEADERS}Content-Length: 40`},
  {
    name: 'with a length of 0',
    head: `200 OK\r\n${OWN_HEADERS}Content-Length: 0`,
  },
  {
    name: 'in chunks',
    head: `200 OK\r\n${OWN_HEADERS}Transfer-Encoding: chunked`,
  },
  {
    name: 'that ends with its connection',
    head: `200 OK\r\n${OWN_HEADERS}Connection: close`,
  },
  {name: 'without a body', head: `204 No Content\r\n${OWN_HEADERS}Server: x`},
  {
    name: 'that was not modified',
    head: `304 Not Modified\r\n${OWN_HEADERS}Content-Length: 40`,
  },
  {
    name: 'after an interim one',
    head: `103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n${OWN_HEADERS}Content-Length: 0`,
  },
].map(({name, head}) => ({name, head: `HTTP/1.1 ${head}\r\n\r\n`}));

const ENDS: readonly {
  readonly end: string;
  readonly finish: (socket: Socket, part: string) => void;
}[] = [
  {end: 'closed', finish: (socket, part) => socket.end(part)},
  {
    end: 'reset',
    finish: (socket, part) =>
      socket.write(part, () => socket.resetAndDestroy()),
  },
];

describe.each(HEADS)('an answer $name', ({head}) => {
  it.each(ENDS)(
    'is none if its head is cut at any byte and $end',
    async ({finish}) => {
      let length = 0;
      const address = await listen(socket =>
        finish(socket, head.slice(0, length)),
      );
      for (length = 0; length < head.length; length += 1) {
        const result = await sendThrough(pool, address);
        expect({length, ...result}).toEqual({
          length,
          status: undefined,
          body: '',
          end: 'error',
          wasSent: true,
        });
      }
    },
  );
});

describe('a call of the own interface', () => {
  const connections = new UpstreamConnections();
  const request = {
    method: 'POST',
    path: '/call',
    headers: {},
    body: Buffer.from('question'),
    signal: AbortSignal.timeout(60_000),
    canSend: () => true,
  };

  it.each<{
    readonly name: string;
    readonly call: (address: string) => Promise<unknown>;
  }>([
    {
      name: 'that may be repeated',
      call: address =>
        callPlainService(connections, {address, request, isRepeatable: true}),
    },
    {
      name: 'that may not be repeated',
      call: address =>
        callPlainService(connections, {address, request, isRepeatable: false}),
    },
    {
      name: 'that is streamed',
      call: address =>
        streamCompletion(connections, {
          address,
          request,
          onEvent: () => undefined,
        }),
    },
  ])('$name fails if the head of its answer is cut', async ({call}) => {
    const head = `HTTP/1.1 200 OK\r\n${OWN_HEADERS}Content-Length: 0\r\n\r\n`;
    let length = 0;
    const address = await listen(socket => socket.end(head.slice(0, length)));
    for (length = 0; length < head.length; length += 1) {
      await expect(call(address)).rejects.toThrow();
    }
  });
});
