/** Tests of the framing and the end of answers. */
import {describe, expect, it} from 'vitest';

import {
  type AnswerEnd,
  type AnswerEndVerdict,
  type BodyFraming,
  bodyFramingOf,
  type FramingHeaders,
  judgeAnswerEnd,
} from '../src/index.js';

describe('the framing of a body', () => {
  it.each<{
    readonly name: string;
    readonly headers: FramingHeaders;
    readonly framing: BodyFraming;
  }>([
    {name: 'no headers', headers: {}, framing: 'connection'},
    {
      name: 'a length',
      headers: {'content-length': '0'},
      framing: 'length',
    },
    {
      name: 'chunks',
      headers: {'transfer-encoding': 'Chunked '},
      framing: 'chunks',
    },
    {
      name: 'chunks as the last of two codings',
      headers: {'transfer-encoding': 'gzip, chunked'},
      framing: 'chunks',
    },
    {
      name: 'codings in two headers',
      headers: {'transfer-encoding': ['gzip', 'chunked']},
      framing: 'chunks',
    },
    {
      name: 'chunks before another coding',
      headers: {'transfer-encoding': 'chunked, gzip'},
      framing: 'connection',
    },
    {
      name: 'a coding that only contains the word',
      headers: {'transfer-encoding': 'unchunked'},
      framing: 'connection',
    },
  ])('with $name is $framing', ({headers, framing}) => {
    expect(bodyFramingOf(headers)).toBe(framing);
  });
});

describe('the end of an answer', () => {
  const AFTER_EVENTS = {events: 3, isContinuation: false, isJoined: false};
  const BEFORE_EVENTS = {events: 0, isContinuation: false, isJoined: false};
  const NOTHING_LEFT = {events: 0, isContinuation: true, isJoined: false};
  const NOTHING_JOINED = {events: 0, isContinuation: true, isJoined: true};
  const EVENTS_JOINED = {events: 2, isContinuation: true, isJoined: true};

  it.each<AnswerEnd & {readonly verdict: AnswerEndVerdict}>([
    {
      framing: 'length',
      pendingBytes: 0,
      ...BEFORE_EVENTS,
      verdict: 'complete',
    },
    {
      framing: 'length',
      pendingBytes: 5,
      ...AFTER_EVENTS,
      verdict: 'broken-off',
    },
    ...(['length', 'chunks', 'connection'] as const).map(framing => ({
      framing,
      pendingBytes: 0,
      ...NOTHING_JOINED,
      verdict: 'broken-off' as const,
    })),
    {
      framing: 'length',
      pendingBytes: 0,
      ...EVENTS_JOINED,
      verdict: 'complete',
    },
    {
      framing: 'connection',
      pendingBytes: 0,
      ...EVENTS_JOINED,
      verdict: 'unconfirmed',
    },
    {
      framing: 'chunks',
      pendingBytes: 0,
      ...BEFORE_EVENTS,
      verdict: 'complete',
    },
    {
      framing: 'chunks',
      pendingBytes: 5,
      ...AFTER_EVENTS,
      verdict: 'broken-off',
    },
    {
      framing: 'connection',
      pendingBytes: 0,
      ...AFTER_EVENTS,
      verdict: 'unconfirmed',
    },
    {
      framing: 'connection',
      pendingBytes: 5,
      ...AFTER_EVENTS,
      verdict: 'broken-off',
    },
    {
      framing: 'connection',
      pendingBytes: 0,
      ...BEFORE_EVENTS,
      verdict: 'broken-off',
    },
    {
      framing: 'connection',
      pendingBytes: 0,
      ...NOTHING_LEFT,
      verdict: 'unconfirmed',
    },
  ])(
    'framed by $framing with $pendingBytes bytes after $events events is $verdict',
    ({verdict, ...end}) => {
      expect(judgeAnswerEnd(end)).toBe(verdict);
    },
  );
});
