/** Tests of the check of promises: what is allowed, and what is not. */
import {describe, expect, it} from 'vitest';

import {
  checkPromises,
  type SeenCall,
  type SeenRun,
  type Violation,
} from '../src/index.js';

const CALL: SeenCall = {
  attemptId: 'a',
  kind: 'once',
  key: 'lasting',
  sentAt: 5000,
  status: 200,
  body: 'answer-of-i-1 for a',
  isComplete: true,
  isSigned: true,
  answeredAttemptId: 'a',
};

const EVENTS = [1, 2, 3].map(id => `id: ${id}\ndata: event-${id} for a\n\n`);

const STREAM: SeenCall = {...CALL, kind: 'stream', body: EVENTS.join('')};

function runOf(calls: readonly SeenCall[], changes: Partial<SeenRun>): SeenRun {
  return {
    calls,
    ran: ['a'],
    reports: [],
    revokedAt: undefined,
    revokedKey: 'revoked',
    revocationMilliseconds: 2500,
    streamEvents: EVENTS.length,
    ...changes,
  };
}

describe('a run is allowed', () => {
  it.each<{
    readonly name: string;
    readonly call?: SeenCall;
    readonly run?: Partial<SeenRun>;
  }>([
    {name: 'with a whole answer'},
    {name: 'with a whole stream', call: STREAM},
    {
      name: 'with a stream that breaks off and says so',
      call: {...STREAM, body: EVENTS[0] ?? '', isComplete: false},
    },
    {
      name: 'with a request that may be repeated and ran twice',
      call: {...CALL, kind: 'again'},
      run: {ran: ['a', 'a']},
    },
    {name: 'with a refusal', call: {...CALL, status: 503}, run: {ran: []}},
    {
      name: 'with an outcome that is not known',
      call: {...CALL, status: 502},
    },
    {
      name: 'with a key that is refused in time',
      call: {...CALL, key: 'revoked'},
      run: {revokedAt: 2500},
    },
    {
      name: 'with a report that came twice',
      run: {
        reports: [
          {window: 1, counts: '{"one":2}'},
          {window: 1, counts: '{"one":2}'},
        ],
      },
    },
  ])('$name', ({call = CALL, run = {}}) => {
    expect(checkPromises(runOf([call], run))).toEqual([]);
  });
});

describe('a run breaks', () => {
  it.each<{
    readonly promise: Violation['promise'];
    readonly name: string;
    readonly call?: SeenCall;
    readonly run?: Partial<SeenRun>;
  }>([
    {
      promise: 'twice',
      name: 'by a second run of what may run once',
      run: {ran: ['a', 'a']},
    },
    {
      promise: 'refused-and-ran',
      name: 'by a refusal of what ran',
      call: {...CALL, status: 503},
    },
    {
      promise: 'answer-of-another',
      name: 'by the name of another attempt',
      call: {...CALL, answeredAttemptId: 'b'},
    },
    {
      promise: 'answer-of-another',
      name: 'by the body for another attempt',
      call: {...CALL, body: 'answer-of-i-1 for b'},
    },
    {
      promise: 'unsigned-success',
      name: 'by a success of its own',
      call: {...CALL, isSigned: false},
    },
    {
      promise: 'stream-not-whole',
      name: 'by a stream that ends early and looks complete',
      call: {...STREAM, body: EVENTS.slice(0, 2).join('')},
    },
    {
      promise: 'stream-not-whole',
      name: 'by a stream with an event missing',
      call: {
        ...STREAM,
        body: `${EVENTS[0] ?? ''}${EVENTS[2] ?? ''}`,
        isComplete: false,
      },
    },
    {
      promise: 'stream-not-whole',
      name: 'by a stream with an event twice',
      call: {
        ...STREAM,
        body: `${EVENTS[0] ?? ''}${EVENTS[0] ?? ''}`,
        isComplete: false,
      },
    },
    {
      promise: 'revoked-key-served',
      name: 'by a key that is taken away for long',
      call: {...CALL, key: 'revoked'},
      run: {revokedAt: 2499},
    },
    {
      promise: 'two-reports',
      name: 'by two contents for one window',
      run: {
        reports: [
          {window: 1, counts: '{"one":2}'},
          {window: 1, counts: '{"one":3}'},
        ],
      },
    },
  ])('"$promise" $name', ({promise, call = CALL, run = {}}) => {
    const found = checkPromises(runOf([call], run));
    expect(found.map(one => one.promise)).toEqual([promise]);
  });
});
