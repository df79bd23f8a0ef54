/** Tests of how many requests brittle upstreams get. */
import {describe, expect, it} from 'vitest';

import {BrittleRooms, type BrittleUpstream} from '../src/index.js';

const UPSTREAM: BrittleUpstream = {
  upstreamId: 'i-1',
  bornAt: 100,
  slots: 8,
  refusalsPerSecond: 4,
  running: 0,
  share: 1,
};

/** Wait that means that there is no room. */
const FULL_MILLISECONDS = 1000;

function upstreamWith(overrides: Partial<BrittleUpstream>): BrittleUpstream {
  return {...UPSTREAM, ...overrides};
}

describe('a brittle upstream', () => {
  it.each<{
    readonly name: string;
    /** Requests in progress beside which each one was refused, and when. */
    readonly refusals: readonly (readonly [at: number, running: number])[];
    readonly upstream: Partial<BrittleUpstream>;
    readonly now: number;
    readonly wait: number;
  }>([
    {name: 'that refused none', refusals: [], upstream: {}, now: 0, wait: 0},
    {
      name: 'with all slots in use',
      refusals: [],
      upstream: {running: 8},
      now: 0,
      wait: FULL_MILLISECONDS,
    },
    {
      name: 'that refused one a moment ago gets none',
      refusals: [[0, 5]],
      upstream: {running: 0},
      now: 900,
      wait: FULL_MILLISECONDS,
    },
    {
      name: 'gets some again a second later',
      refusals: [[0, 5]],
      upstream: {running: 4},
      now: 1000,
      wait: 0,
    },
    {
      name: 'gets no more than before the refusal',
      refusals: [[0, 5]],
      upstream: {running: 5},
      now: 999,
      wait: FULL_MILLISECONDS,
    },
    {
      name: 'gets one more to see whether there is room again',
      refusals: [[0, 5]],
      upstream: {running: 5},
      now: 1000,
      wait: 0,
    },
    {
      name: 'gets one at least',
      refusals: [[0, 0]],
      upstream: {running: 0},
      now: 1000,
      wait: 0,
    },
    {
      name: 'gets a share of its room from a host that may not be the only one',
      refusals: [],
      upstream: {running: 3, share: 0.4},
      now: -1,
      wait: 0,
    },
    {
      name: 'starts anew as a new incarnation',
      refusals: [[0, 1]],
      upstream: {running: 5, bornAt: 200},
      now: 10,
      wait: 0,
    },
  ])('$name', ({refusals, upstream, now, wait}) => {
    const rooms = new BrittleRooms();
    refusals.forEach(([at, running]) =>
      rooms.recordRefusal(upstreamWith({running}), at),
    );
    expect(rooms.waitFor(upstreamWith(upstream), now)).toBe(wait);
  });

  it('gets few requests at once, since none of their refusals is known', () => {
    const rooms = new BrittleRooms();
    expect(rooms.take(UPSTREAM, 0)).toBe(0);
    expect(rooms.take(UPSTREAM, 0)).toBe(25);
    expect(rooms.take(UPSTREAM, 0)).toBe(50);
    expect(rooms.waitFor(UPSTREAM, 0)).toBe(FULL_MILLISECONDS);
    expect(rooms.waitFor(UPSTREAM, 75)).toBe(0);
  });

  it('that tolerates a single refusal gets nothing that is sent after a refusal is known', () => {
    const rooms = new BrittleRooms();
    const upstream = upstreamWith({refusalsPerSecond: 1.5});
    expect(rooms.take(upstream, 0)).toBe(0);
    expect(rooms.waitFor(upstream, 10)).toBe(FULL_MILLISECONDS);
    expect(rooms.waitFor(upstream, 50)).toBe(0);
  });

  it('tries one more than its room now and then', () => {
    const rooms = new BrittleRooms();
    const full = upstreamWith({running: 5});
    rooms.recordRefusal(full, 0);
    expect(rooms.take(full, 1000)).toBe(0);
    rooms.recordRefusal(full, 1020);
    expect(rooms.waitFor(full, 1100)).toBe(FULL_MILLISECONDS);
    expect(rooms.waitFor(upstreamWith({running: 4}), 1100)).toBe(0);
    expect(rooms.take(full, 2020)).toBe(0);
    expect(rooms.waitFor(full, 2100)).toBe(FULL_MILLISECONDS);
    expect(rooms.waitFor(full, 2220)).toBe(0);
    expect(rooms.waitFor(upstreamWith({running: 6}), 2220)).toBe(
      FULL_MILLISECONDS,
    );
  });

  /**
   * Offers a request each millisecond for `seconds` and returns the refusals in
   * any second and the share of the room that was used. Refusals are known 20 ms
   * later.
   */
  function play(
    refusalsPerSecond: number,
    rooms: readonly number[],
  ): {
    readonly mostRefusals: number;
    readonly usedShare: number;
  } {
    const placing = new BrittleRooms();
    const inProgress: number[] = [];
    const refusedAt: number[] = [];
    const known: {readonly at: number; readonly sentAt: number}[] = [];
    let unknownRefusals = 0;
    let served = 0;
    let capacity = 0;
    for (let now = 0; now < rooms.length * 1000; now += 1) {
      const room = rooms[Math.floor(now / 1000)] ?? 0;
      capacity += room / EXECUTION_MILLISECONDS;
      while ((inProgress[0] ?? Infinity) <= now) {
        inProgress.shift();
        served += 1;
      }
      while ((known[0]?.at ?? Infinity) <= now) {
        known.shift();
        unknownRefusals -= 1;
        const running = inProgress.length + unknownRefusals;
        placing.recordRefusal(
          upstreamWith({running, refusalsPerSecond, slots: 64}),
          now,
        );
      }
      const running = inProgress.length + unknownRefusals;
      const upstream = upstreamWith({running, refusalsPerSecond, slots: 64});
      if (placing.waitFor(upstream, now) > 0) {
        continue;
      }
      placing.take(upstream, now);
      if (inProgress.length < room) {
        inProgress.push(now + EXECUTION_MILLISECONDS);
        continue;
      }
      refusedAt.push(now);
      unknownRefusals += 1;
      known.push({at: now + 20, sentAt: now});
    }
    const mostRefusals = Math.max(
      0,
      ...refusedAt.map(
        from =>
          refusedAt.filter(time => time >= from && time < from + 1000).length,
      ),
    );
    return {mostRefusals, usedShare: served / capacity};
  }
  const EXECUTION_MILLISECONDS = 400;

  it.each([
    {refusalsPerSecond: 1, rooms: [6, 6, 6, 6, 6, 6, 6, 6, 6, 6]},
    {refusalsPerSecond: 4, rooms: [6, 6, 6, 6, 6, 6, 6, 6, 6, 6]},
    {refusalsPerSecond: 4, rooms: [8, 8, 8, 3, 3, 3, 3, 8, 8, 8, 8, 8]},
    {refusalsPerSecond: 10, rooms: [30, 30, 30, 5, 5, 5, 5, 5, 5, 5, 5, 5]},
  ])(
    'turns no more than $refusalsPerSecond a second away under any load: room $rooms',
    ({refusalsPerSecond, rooms}) => {
      const {mostRefusals, usedShare} = play(refusalsPerSecond, rooms);
      expect(mostRefusals).toBeLessThanOrEqual(refusalsPerSecond);
      expect(usedShare).toBeGreaterThan(0.6);
    },
  );
});
