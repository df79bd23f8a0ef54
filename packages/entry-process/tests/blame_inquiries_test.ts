/**
 * Tests of the inquiries into lost connections. Crashes were not counted while the
 * hosts that could confirm them counted as cut off, or had failed to carry a request.
 */
import type {ListedStart, Member, ReachReport} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {BlameInquiries} from '../src/paths/blame_inquiries.js';
import {ReachQueries} from '../src/paths/reach_queries.js';
import {servingMember} from './host_fixtures.js';

/** How another host answers; undefined for one that does not. */
type Witness = ReachReport | undefined;

const UPSTREAM = 'i';
const ADDRESS = '10.0.0.1:80';
const DOWN: ReachReport = {reached: [], isCutOff: false};
const REACHED: ReachReport = {reached: [UPSTREAM], isCutOff: false};
const CUT_OFF: ReachReport = {reached: [], isCutOff: true};

/** Milliseconds within which the inquiries of a test end. */
const LONGEST_MILLISECONDS = 20_000;

const LOST = {
  upstreamId: UPSTREAM,
  address: ADDRESS,
  bornAt: 1000,
  runningSince: 2000,
  time: 3000,
};

let queried: string[];
let listed: readonly ListedStart[];

beforeEach(() => {
  vi.useFakeTimers({now: 0});
  queried = [];
  listed = [LOST];
});

afterEach(() => {
  vi.useRealTimers();
});

function createInquiries(
  witnesses: Readonly<Record<string, Witness>>,
  cutOff: readonly string[] = [],
  isReachedHere = false,
): BlameInquiries {
  const hosts: readonly Member[] = Object.keys(witnesses).map(servingMember);
  const peers = {
    call: (address: string) => {
      queried.push(address);
      const answer = witnesses[address];
      return answer === undefined
        ? new Promise((_, reject) => {
            setTimeout(() => reject(new Error('no answer')), 500);
          })
        : Promise.resolve(answer);
    },
  } as unknown as PeerClient;
  const events = {write: () => undefined};
  return new BlameInquiries({
    events,
    queries: new ReachQueries({
      failureDomain: 'north',
      peers,
      events,
      random: () => 0,
      otherHosts: () => hosts,
      isCutOff: hostId => cutOff.includes(hostId),
      onAnswer: () => undefined,
    }),
    clock: () => Date.now(),
    canConnect: () => Promise.resolve(isReachedHere),
    listed: () => listed,
  });
}

describe('an upstream whose connections were lost', () => {
  it.each<{
    readonly name: string;
    readonly witnesses: Readonly<Record<string, Witness>>;
    /** Hosts that said lately to reach no upstream. */
    readonly cutOff?: readonly string[];
    readonly isReachedHere?: boolean;
    /** What the list shows later in its place. */
    readonly startedLater?: ListedStart;
    readonly hasEnded: boolean;
  }>([
    {
      name: 'that this host reaches',
      witnesses: {},
      isReachedHere: true,
      hasEnded: true,
    },
    {
      name: 'that another host does not reach either',
      witnesses: {a: DOWN},
      hasEnded: true,
    },
    {
      name: 'that another host reaches, as this one is cut off',
      witnesses: {a: REACHED, b: REACHED},
      hasEnded: false,
    },
    {
      name: 'while every other host said lately to be cut off',
      witnesses: {a: DOWN, b: DOWN},
      cutOff: ['a', 'b'],
      hasEnded: true,
    },
    {
      name: 'while the hosts that are queried first are frozen',
      witnesses: {a: undefined, b: undefined, c: DOWN, d: DOWN},
      hasEnded: true,
    },
    {
      name: 'while all others are cut off',
      witnesses: {a: CUT_OFF, b: CUT_OFF},
      hasEnded: false,
    },
    {
      name: 'while all others are cut off, and that starts again',
      witnesses: {a: CUT_OFF, b: CUT_OFF},
      startedLater: {...LOST, bornAt: 4000},
      hasEnded: true,
    },
    {
      name: 'that is back before another host is queried',
      witnesses: {a: REACHED},
      startedLater: {...LOST, bornAt: 4000},
      hasEnded: true,
    },
    {
      name: 'that is back under another id',
      witnesses: {a: REACHED},
      startedLater: {upstreamId: 'j', address: ADDRESS, bornAt: 4000},
      hasEnded: true,
    },
    {
      name: 'without any other host, and that starts again',
      witnesses: {},
      startedLater: {...LOST, bornAt: 4000},
      hasEnded: true,
    },
    {
      name: 'whose start was known late',
      witnesses: {a: REACHED},
      startedLater: {...LOST, bornAt: 1900},
      hasEnded: false,
    },
  ])('$name has ended: $hasEnded', async testCase => {
    const {witnesses, cutOff, isReachedHere, startedLater} = testCase;
    const inquiries = createInquiries(witnesses, cutOff, isReachedHere);
    const hasEnded = inquiries.hasEnded(LOST);
    await vi.advanceTimersByTimeAsync(2500);
    listed = startedLater === undefined ? listed : [startedLater];
    await vi.advanceTimersByTimeAsync(LONGEST_MILLISECONDS);
    expect(await hasEnded).toBe(testCase.hasEnded);
  });

  // Guards against the loss of a process that was judged by that of the one before.
  it.each<{
    readonly name: string;
    readonly second: typeof LOST | undefined;
    readonly inquiries: number;
  }>([
    {name: 'alone', second: undefined, inquiries: 1},
    {
      name: 'and again over a connection that was opened before',
      second: {...LOST, runningSince: 2900, time: 3050},
      inquiries: 1,
    },
    {
      name: 'and again over one that was opened since',
      second: {...LOST, runningSince: 3010, time: 3050},
      inquiries: 2,
    },
    {
      name: 'and then at another address',
      second: {...LOST, address: '10.0.0.1:81'},
      inquiries: 2,
    },
  ])('$name takes $inquiries inquiries', async ({second, inquiries: count}) => {
    const inquiries = createInquiries({a: undefined});
    void inquiries.hasEnded(LOST);
    if (second !== undefined) {
      void inquiries.hasEnded(second);
    }
    await vi.advanceTimersByTimeAsync(100);
    expect(queried).toHaveLength(count);
  });

  it('is inquired into once for all requests that were lost with it', async () => {
    const inquiries = createInquiries({a: DOWN, b: DOWN, c: DOWN});
    const results = Promise.all(
      Array.from({length: 50}, () => inquiries.hasEnded(LOST)),
    );
    await vi.advanceTimersByTimeAsync(LONGEST_MILLISECONDS);
    expect(await results).toEqual(Array.from({length: 50}, () => true));
    expect(queried).toHaveLength(2);
  });
});
