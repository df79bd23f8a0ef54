/** Tests of the places that refused requests get. */
import {beforeEach, describe, expect, it} from 'vitest';

import {
  type PlaceCapacity,
  type RefusedRequest,
  ReturnPlaces,
} from '../src/index.js';

const REQUEST: RefusedRequest = {
  fingerprint: 'a',
  rank: 1,
  tokens: 1000,
  millisecondsLeft: 9000,
};

/** Reads the prompt of `REQUEST` in half a second. */
const CAPACITY: PlaceCapacity = {lane: 1, tokensPerMillisecond: 2};

const OTHERWISE = 700;

let places: ReturnPlaces;

function refuse(
  overrides: Partial<RefusedRequest> = {},
  now = 0,
): ReturnType<ReturnPlaces['refuse']> {
  return places.refuse({...REQUEST, ...overrides}, CAPACITY, OTHERWISE, now);
}

beforeEach(() => {
  places = new ReturnPlaces();
});

describe('places', () => {
  it('follow each other as the shard reads what was promised', () => {
    const times = ['a', 'b', 'c'].map(fingerprint => refuse({fingerprint}));
    expect(times).toEqual([
      {milliseconds: 200, isPlace: true},
      {milliseconds: 700, isPlace: true},
      {milliseconds: 1200, isPlace: true},
    ]);
  });

  it('are not promised beyond the time for which clients wait', () => {
    for (let index = 0; index < 6; index += 1) {
      refuse({fingerprint: `other-${index}`});
    }
    expect(refuse()).toEqual({milliseconds: OTHERWISE, isPlace: false});
    expect(refuse({fingerprint: 'long', millisecondsLeft: 20_000})).toEqual({
      milliseconds: 3200,
      isPlace: true,
    });
  });

  it('are not promised where another shard may promise one', () => {
    const request = {...REQUEST, millisecondsLeft: 20_000};
    expect(places.refuse(request, undefined, OTHERWISE, 0)).toEqual({
      milliseconds: OTHERWISE,
      isPlace: false,
    });
    expect(places.find('a', 800).kind).toBe('without-place');
  });

  it.each([
    {returnsAt: 50, kind: 'early'},
    {returnsAt: 195, kind: 'at-place'},
    {returnsAt: 1200, kind: 'at-place'},
    {returnsAt: 1300, kind: 'without-place'},
    {returnsAt: 5000, kind: 'new'},
  ])('are $kind for a return after $returnsAt ms', ({returnsAt, kind}) => {
    refuse();
    expect(places.find('a', returnsAt).kind).toBe(kind);
  });

  it('do not become better by early and repeated returns', () => {
    refuse();
    refuse({fingerprint: 'b'});
    for (let now = 10; now < 190; now += 10) {
      expect(refuse({}, now)).toEqual({milliseconds: 200 - now, isPlace: true});
    }
    expect(refuse({fingerprint: 'c'}, 190).milliseconds).toBe(1010);
  });

  it('keep the time of the first refusal', () => {
    refuse();
    refuse({}, 1500);
    expect(places.find('a', 2000)).toMatchObject({waitedMilliseconds: 2000});
  });

  it.each([
    {name: 'before they are due', rank: 1, until: 100, now: 0, tokens: 0},
    {name: 'when they are due', rank: 1, until: 300, now: 0, tokens: 1000},
    {
      name: 'against less urgent ones',
      rank: 2,
      until: 300,
      now: 0,
      tokens: 1000,
    },
    {name: 'against more urgent ones', rank: 0, until: 300, now: 0, tokens: 0},
    {name: 'after they lapsed', rank: 1, until: 1300, now: 1250, tokens: 0},
  ])('reserve $tokens tokens $name', ({rank, until, now, tokens}) => {
    refuse();
    expect(places.reservedTokens(rank, until, now)).toBe(tokens);
  });

  it('reserve nothing for a request that was admitted', () => {
    refuse();
    places.release('a');
    expect(places.reservedTokens(1, 300, 0)).toBe(0);
    expect(places.find('a', 200).kind).toBe('new');
  });

  it('are remembered for a bounded number of requests', () => {
    for (let index = 0; index < 3000; index += 1) {
      refuse({fingerprint: `${index}`});
    }
    const known = Array.from({length: 3000}, (_, index) =>
      places.find(`${index}`, 1),
    ).filter(({kind}) => kind !== 'new');
    expect(known).toHaveLength(2000);
  });
});
