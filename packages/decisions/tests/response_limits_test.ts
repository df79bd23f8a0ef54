/** Tests of the limits on responses of upstreams in trouble. */
import {describe, expect, it} from 'vitest';

import {
  eventPatienceMilliseconds,
  findStreamFault,
  hasExcessiveFraming,
  MAXIMUM_EVENT_BYTES,
} from '../src/index.js';

describe('a response', () => {
  it.each([
    {name: 'of headers alone', received: 16_384, body: 0, isExcessive: false},
    {
      name: 'with a large body',
      received: 1e9 + 500,
      body: 1e9,
      isExcessive: false,
    },
    {
      name: 'in chunks of one byte',
      received: 600_000,
      body: 100_000,
      isExcessive: false,
    },
    {
      name: 'with framing without end',
      received: 70_000,
      body: 10,
      isExcessive: true,
    },
  ])('$name', ({received, body, isExcessive}) => {
    expect(hasExcessiveFraming(received, body)).toBe(isExcessive);
  });
});

describe('the patience with an event', () => {
  it.each([
    {name: 'is two seconds at least', objective: 100, gap: 100, expected: 2000},
    {name: 'is four objectives', objective: 900, gap: 100, expected: 3600},
    {name: 'is eight gaps', objective: 100, gap: 400, expected: 3200},
    {
      name: 'needs no stated gap',
      objective: 900,
      gap: undefined,
      expected: 3600,
    },
  ])('$name', ({objective, gap, expected}) => {
    expect(
      eventPatienceMilliseconds({
        objectiveMilliseconds: objective,
        eventGapMilliseconds: gap,
      }),
    ).toBe(expected);
  });
});

describe('a pending event', () => {
  it.each([
    {name: 'that is small and new', bytes: 10, age: 0, fault: undefined},
    {name: 'within the patience', bytes: 10, age: 2000, fault: undefined},
    {
      name: 'beyond the patience',
      bytes: 10,
      age: 2001,
      fault: 'event-too-slow',
    },
    {
      name: 'of the maximum size',
      bytes: MAXIMUM_EVENT_BYTES,
      age: 0,
      fault: undefined,
    },
    {
      name: 'beyond the maximum size',
      bytes: MAXIMUM_EVENT_BYTES + 1,
      age: 0,
      fault: 'event-too-large',
    },
  ])('$name', ({bytes, age, fault}) => {
    expect(findStreamFault({bytes, since: 1000}, 2000, 1000 + age)).toBe(fault);
  });
});
