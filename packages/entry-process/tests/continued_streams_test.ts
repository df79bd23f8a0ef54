/** Tests of streams that another upstream continues. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  type Behavior,
  type ClientEnd,
  clientEndOf,
  CUT_EVENT,
  endWithConnection,
  ERROR_TEXT,
  EVENTS,
  LAST_EVENT,
  RawUpstream,
  SECOND_HEAD,
  sendInChunks,
  sendInWholeChunks,
  sendWithLength,
} from './raw_upstream_fixtures.js';

const ERROR_EVENT = 'event: error\ndata: unavailable\n\n';
const AFTER_GAP = 'id: 9\ndata: ninth\n\n';

let upstream: RawUpstream;

afterEach(() => upstream.stop());

describe('a stream that may be resumed', () => {
  beforeEach(async () => {
    upstream = await RawUpstream.start('engines');
  });

  it.each<{
    readonly name: string;
    readonly first: Behavior;
    readonly second: Behavior;
    readonly end: ClientEnd;
  }>([
    {
      name: 'continues elsewhere after an end inside an event',
      first: endWithConnection(`${EVENTS}${CUT_EVENT}`),
      second: sendInChunks(LAST_EVENT, socket => socket.write('0\r\n\r\n')),
      end: 'with-its-connection',
    },
    {
      name: 'is not framed as complete if its continuation has no length',
      first: sendInChunks(`${EVENTS}${CUT_EVENT}`, socket =>
        socket.resetAndDestroy(),
      ),
      second: endWithConnection(LAST_EVENT),
      end: 'broken-off',
    },
  ])('$name', async ({first, second, end}) => {
    upstream.behaviors = [first, second];
    const answer = await upstream.call('/resumed/1');
    expect(clientEndOf(answer)).toBe(end);
    expect(upstream.requests).toHaveLength(2);
    expect(upstream.requests[1]).toMatch(/last-event-id: 2/i);
    // Each of the two connections is checked before its first stream.
    expect(upstream.reports).toBe(2);
    expect(answer.body).toBe(`${EVENTS}${LAST_EVENT}`);
  });
});

// Guards against ends that were judged by their framing: the text of an upstream in
// trouble stood in the middle of a stream, which ended as if it were complete.
describe('a stream whose continuation is not its rest', () => {
  beforeEach(async () => {
    upstream = await RawUpstream.start('engines');
  });

  const CONTINUATIONS: readonly {
    readonly name: string;
    readonly body: string;
    readonly header?: string;
  }[] = [
    {
      name: 'is text',
      body: ERROR_TEXT,
      header: 'Content-Type: text/plain\r\n',
    },
    {
      name: 'is text that looks like an event',
      body: LAST_EVENT,
      header: 'Content-Type: text/plain\r\n',
    },
    {name: 'has no event', body: ''},
    {name: 'has an error as JSON', body: '{"error":"unavailable"}'},
    {name: 'has an error as JSON with a blank line', body: '{"error":1}\n\n'},
    {name: 'has an error as an event without an id', body: ERROR_EVENT},
    {name: 'ends inside an event', body: CUT_EVENT},
    {name: 'ends inside its second event', body: `${LAST_EVENT}id: 4\nda`},
    {name: 'lacks events', body: AFTER_GAP},
    {name: 'has a second head', body: `${SECOND_HEAD}${ERROR_TEXT}`},
    {
      name: 'has a second head after an event',
      body: `${LAST_EVENT}${SECOND_HEAD}`,
    },
    {name: 'repeats what was sent, and no more', body: EVENTS},
  ];

  describe.each([
    {framing: 'with a length', send: sendWithLength},
    {framing: 'in chunks', send: sendInWholeChunks},
  ])('$framing', ({send}) => {
    it.each(CONTINUATIONS)(
      'is broken off if it $name',
      async ({body, header}) => {
        upstream.behaviors = [
          sendInChunks(EVENTS, socket => socket.resetAndDestroy()),
          send(body, header),
        ];
        const answer = await upstream.call('/resumed/1');
        expect(upstream.requests).toHaveLength(2);
        expect(clientEndOf(answer)).toBe('broken-off');
        expect([EVENTS, `${EVENTS}${LAST_EVENT}`]).toContain(answer.body);
      },
    );
  });

  it('goes on with its rest after other text without an id', async () => {
    upstream.behaviors = [
      sendInChunks(EVENTS, socket => socket.resetAndDestroy()),
      sendWithLength(`: comment\n\n${LAST_EVENT}`),
    ];
    const answer = await upstream.call('/resumed/1');
    expect(clientEndOf(answer)).toBe('framed-as-complete');
    expect(answer.body).toBe(`${EVENTS}${LAST_EVENT}`);
  });
});
