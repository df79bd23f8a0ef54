/** Tests of answers of upstreams that end with their connection or early. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  type Behavior,
  type ClientEnd,
  clientEndOf,
  CUT_EVENT,
  endWithConnection,
  ERROR_TEXT,
  EVENTS,
  RawUpstream,
  resetAfter,
  SECOND_HEAD,
  sendInChunks,
  sendInWholeChunks,
  sendWithLength,
} from './raw_upstream_fixtures.js';

interface BrokenOffCase {
  readonly name: string;
  readonly behavior: Behavior;
  readonly end: ClientEnd;
  readonly body?: string;
}

let upstream: RawUpstream;

afterEach(() => upstream.stop());

describe('a stream', () => {
  beforeEach(async () => {
    upstream = await RawUpstream.start('engines');
  });

  it.each<BrokenOffCase>([
    {
      name: 'without a length that ends inside an event is broken off',
      behavior: endWithConnection(`${EVENTS}${CUT_EVENT}`),
      end: 'broken-off',
    },
    {
      name: 'without a length, with `Connection: close`, that ends inside an event is broken off',
      behavior: endWithConnection(
        `${EVENTS}${CUT_EVENT}`,
        'Connection: close\r\n',
      ),
      end: 'broken-off',
    },
    {
      name: 'whose last coding is not chunks that ends inside an event is broken off',
      behavior: endWithConnection(
        `${EVENTS}${CUT_EVENT}`,
        'Transfer-Encoding: identity\r\n',
      ),
      end: 'broken-off',
    },
    {
      name: 'without a length that ends after an event is not framed as complete',
      behavior: endWithConnection(EVENTS),
      end: 'with-its-connection',
      body: EVENTS,
    },
    {
      name: 'without a length that is reset after an event is broken off',
      behavior: resetAfter(EVENTS),
      end: 'broken-off',
    },
    {
      name: 'in chunks that ends after an event is complete',
      behavior: sendInChunks(EVENTS, socket => socket.write('0\r\n\r\n')),
      end: 'framed-as-complete',
      body: EVENTS,
    },
    {
      name: 'in chunks that ends inside an event is broken off',
      behavior: sendInChunks(`${EVENTS}${CUT_EVENT}`, socket =>
        socket.write('0\r\n\r\n'),
      ),
      end: 'broken-off',
    },
    {
      name: 'in chunks without the last one is broken off',
      behavior: sendInChunks(EVENTS, socket => socket.end()),
      end: 'broken-off',
    },
  ])('$name', async ({behavior, end, body}) => {
    upstream.behaviors = [behavior];
    const answer = await upstream.call('/stream/1');
    expect(answer.status).toBe(200);
    expect(clientEndOf(answer)).toBe(end);
    if (body !== undefined) {
      expect(answer.body).toBe(body);
    }
    expect(EVENTS).toContain(answer.body);
  });
});

describe('a first answer that is not a stream', () => {
  beforeEach(async () => {
    upstream = await RawUpstream.start('engines');
  });

  it.each<{
    readonly name: string;
    readonly behavior: Behavior;
    readonly status: number;
  }>([
    {
      name: 'ends inside an event, with a length',
      behavior: sendWithLength(`${EVENTS}${CUT_EVENT}`),
      status: 200,
    },
    {
      name: 'has a second head, with a length',
      behavior: sendWithLength(`${EVENTS}${SECOND_HEAD}`),
      status: 200,
    },
    {
      name: 'has a second head, in chunks',
      behavior: sendInWholeChunks(`${EVENTS}${SECOND_HEAD}`),
      status: 200,
    },
    {
      name: 'is text',
      behavior: sendWithLength(ERROR_TEXT, 'Content-Type: text/plain\r\n'),
      status: 502,
    },
  ])('does not look complete if it $name', async ({behavior, status}) => {
    upstream.behaviors = [behavior];
    const answer = await upstream.call('/stream/1');
    expect(answer.status).toBe(status);
    expect(answer.body).not.toContain(ERROR_TEXT);
    if (status === 200) {
      expect(clientEndOf(answer)).toBe('broken-off');
      expect(EVENTS).toContain(answer.body);
    }
  });

  it('is a stream if its type has parameters', async () => {
    upstream.behaviors = [
      sendWithLength(
        EVENTS,
        'Content-Type: text/event-stream; charset=utf-8\r\n',
      ),
    ];
    const answer = await upstream.call('/stream/1');
    expect(answer.body).toBe(EVENTS);
    expect(clientEndOf(answer)).toBe('framed-as-complete');
  });
});

describe('an answer that is not streamed', () => {
  beforeEach(async () => {
    upstream = await RawUpstream.start('plain');
  });

  it.each<BrokenOffCase & {readonly status: number}>([
    {
      name: 'without a length is not framed as complete',
      behavior: endWithConnection('whole or not'),
      status: 200,
      end: 'with-its-connection',
      body: 'whole or not',
    },
    {
      name: 'with a length is complete',
      behavior: (socket, head) =>
        socket.end(`${head}Content-Length: 5\r\n\r\nwhole`),
      status: 200,
      end: 'framed-as-complete',
      body: 'whole',
    },
    {
      name: 'without a length that is reset has an unknown outcome',
      behavior: resetAfter('whole or'),
      status: 502,
      end: 'framed-as-complete',
    },
  ])('$name', async ({behavior, status, end, body}) => {
    upstream.behaviors = [behavior];
    const answer = await upstream.call('/once/1');
    expect(answer.status).toBe(status);
    expect(clientEndOf(answer)).toBe(end);
    if (body !== undefined) {
      expect(answer.body).toBe(body);
    }
  });

  // Guards against statuses that are none, which clients got as answers.
  it.each([
    '000',
    '007',
    '099',
    '100',
    '101',
    '600',
    '999',
    '1000',
    '2e2',
    '-20',
  ])('with status %s is no answer', async status => {
    upstream.behaviors = [
      (socket, head) =>
        socket.end(
          `${head.replace('200 OK', status)}Content-Length: 5\r\n\r\nwhole`,
        ),
    ];
    const answer = await upstream.call('/once/1');
    expect(answer.status).toBe(502);
    expect(answer.body).not.toContain('whole');
  });

  it('without a length leaves a usable host behind', async () => {
    upstream.behaviors = [
      endWithConnection('first'),
      (socket, head) => socket.end(`${head}Content-Length: 6\r\n\r\nsecond`),
    ];
    const first = await upstream.call('/once/1');
    const second = await upstream.call('/once/2');
    expect([first.body, second.body]).toEqual(['first', 'second']);
  });
});
