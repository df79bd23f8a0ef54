/** Tests of which events continue a stream. */
import {describe, expect, it} from 'vitest';

import {EventOrder, type EventPlace, EventSplitter} from '../src/index.js';

/** Ids of the events of one attempt; null for an event without one. */
type Attempt = readonly (string | null)[];

function placesOf(
  attempts: readonly Attempt[],
  takenUpAfter?: string,
): readonly EventPlace[] {
  const order = new EventOrder(takenUpAfter);
  return attempts.flatMap(ids => {
    order.beginAttempt();
    return ids.map(id => order.place(id ?? undefined));
  });
}

describe('the events of a stream', () => {
  it.each<{
    readonly name: string;
    readonly attempts: readonly Attempt[];
    readonly takenUpAfter?: string;
    readonly places: readonly EventPlace[];
  }>([
    {
      name: 'follow each other in one answer, whatever their ids are',
      attempts: [['1', '2', '7', null, 'x', '8']],
      places: ['next', 'next', 'next', 'next', 'next', 'next'],
    },
    {
      name: 'continue after the last one',
      attempts: [
        ['1', '2'],
        ['3', '4'],
      ],
      places: ['next', 'next', 'next', 'next'],
    },
    {
      name: 'are not repeated by a continuation',
      attempts: [
        ['1', '2'],
        ['1', '2', '3'],
      ],
      places: ['next', 'next', 'skipped', 'skipped', 'next'],
    },
    {
      name: 'do not continue after a gap',
      attempts: [['1', '2', '3', '4', '5'], ['9']],
      places: ['next', 'next', 'next', 'next', 'next', 'after-gap'],
    },
    {
      name: 'do not continue after a gap behind a single event',
      attempts: [['1'], ['3']],
      places: ['next', 'after-gap'],
    },
    {
      name: 'continue by the step of their ids',
      attempts: [
        ['10', '20', '30'],
        ['40', '41'],
      ],
      places: ['next', 'next', 'next', 'next', 'next'],
    },
    {
      name: 'do not continue after a gap between ids of another step',
      attempts: [['10', '20', '30'], ['50']],
      places: ['next', 'next', 'next', 'after-gap'],
    },
    {
      name: 'continue anywhere if their ids have no common step',
      attempts: [['1', '4', '5'], ['9']],
      places: ['next', 'next', 'next', 'next'],
    },
    {
      name: 'continue anywhere if the step of their ids is not known',
      attempts: [['4'], ['9']],
      places: ['next', 'next'],
    },
    {
      name: 'that were taken up continue after the last one',
      takenUpAfter: '5',
      attempts: [['6'], ['7'], ['9']],
      places: ['next', 'next', 'after-gap'],
    },
    {
      name: 'without an id do not begin a continuation',
      attempts: [
        ['1', '2'],
        [null, '3', null],
      ],
      places: ['next', 'next', 'skipped', 'next', 'next'],
    },
    {
      name: 'begin anew after an attempt without any',
      attempts: [[], [null, '1']],
      places: ['next', 'next'],
    },
  ])('$name', ({attempts, takenUpAfter, places}) => {
    expect(placesOf(attempts, takenUpAfter)).toEqual(places);
  });

  it.each<{readonly ids: Attempt; readonly canContinue: boolean}>([
    {ids: [], canContinue: true},
    {ids: ['1', null], canContinue: true},
    {ids: [null], canContinue: false},
  ])('with the ids $ids can continue: $canContinue', ({ids, canContinue}) => {
    const order = new EventOrder();
    ids.forEach(id => order.place(id ?? undefined));
    expect(order.canContinue).toBe(canContinue);
  });
});

describe('bytes up to a blank line', () => {
  it.each([
    {bytes: 'id: 1\ndata: a\n\n', isWellFormed: true},
    {bytes: 'id:1\r\ndata:a\r\n\r\n', isWellFormed: true},
    {bytes: 'data\n\n', isWellFormed: true},
    {bytes: ': comment\n\n', isWellFormed: true},
    {bytes: 'event: error\ndata: x\n\n', isWellFormed: true},
    {bytes: 'x-weight-versions: 3\nid: 4\ndata: a\n\n', isWellFormed: true},
    {bytes: '\n\n', isWellFormed: true},
    {bytes: '{"error":"busy"}\n\n', isWellFormed: false},
    {bytes: 'service unavailable\n\n', isWellFormed: false},
    {
      bytes: 'HTTP/1.1 503 Service Unavailable\r\ndata: 1\r\n\r\n',
      isWellFormed: false,
    },
    {bytes: '<html>\nid: 1\n\n', isWellFormed: false},
    {bytes: 'content-type: text/plain\n\n', isWellFormed: false},
  ])('$bytes is an event: $isWellFormed', ({bytes, isWellFormed}) => {
    const events = new EventSplitter().push(Buffer.from(bytes));
    expect(events.map(event => event.isWellFormed)).toEqual([isWellFormed]);
  });
});
