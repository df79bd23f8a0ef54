/** Tests of claims, execution rights and idempotency keys. */
import {describe, expect, it} from 'vitest';

import {
  type Claim,
  ClaimFold,
  ExecutionRight,
  keyAge,
  type Release,
} from '../src/index.js';

function claim(key: string, rightId: string): Claim {
  return {
    type: 'claim',
    key,
    fingerprint: 'f',
    holder: `holder of ${rightId}`,
    requestId: `request of ${rightId}`,
    rightId,
  };
}

function release(key: string, rightId: string): Release {
  return {type: 'release', key, rightId};
}

describe('the fold of the claim stream', () => {
  const cases: readonly {
    readonly name: string;
    readonly entries: readonly (Claim | Release)[];
    readonly winner: string | undefined;
  }[] = [
    {name: 'no claim', entries: [], winner: undefined},
    {name: 'one claim', entries: [claim('k', 'a')], winner: 'a'},
    {
      name: 'two claims',
      entries: [claim('k', 'a'), claim('k', 'b')],
      winner: 'a',
    },
    {
      name: 'a duplicate claim',
      entries: [claim('k', 'a'), claim('k', 'a'), claim('k', 'b')],
      winner: 'a',
    },
    {
      name: 'a claim after a release',
      entries: [claim('k', 'a'), release('k', 'a'), claim('k', 'b')],
      winner: 'b',
    },
    {
      name: 'a late copy of a released claim',
      entries: [claim('k', 'a'), release('k', 'a'), claim('k', 'a')],
      winner: undefined,
    },
    {
      name: 'a release that arrives before its claim',
      entries: [release('k', 'a'), claim('k', 'a'), claim('k', 'b')],
      winner: 'b',
    },
    {
      name: 'a release of a claim that lost',
      entries: [claim('k', 'a'), claim('k', 'b'), release('k', 'b')],
      winner: 'a',
    },
    {
      name: 'a claim of another key',
      entries: [claim('other', 'a'), claim('k', 'b')],
      winner: 'b',
    },
  ];

  it.each(cases)('decides $name', ({entries, winner}) => {
    const fold = new ClaimFold();
    entries.forEach((entry, offset) =>
      fold.fold({
        offset,
        time: offset,
        data: {type: 'batch', entries: [entry]},
      }),
    );
    expect(fold.winnerOf('k')?.claim.rightId).toBe(winner);
    const batched = new ClaimFold();
    batched.fold({offset: 0, time: 0, data: {type: 'batch', entries}});
    expect(batched.winnerOf('k')?.claim.rightId).toBe(winner);
  });

  it('ignores a record that was already folded', () => {
    const fold = new ClaimFold();
    const first = {type: 'batch', entries: [claim('k', 'a')]};
    fold.fold({offset: 0, time: 0, data: first});
    const second = {type: 'batch', entries: [release('k', 'a')]};
    fold.fold({offset: 0, time: 0, data: second});
    expect(fold.winnerOf('k')?.claim.rightId).toBe('a');
  });

  it('skips unknown records', () => {
    const fold = new ClaimFold();
    fold.fold({offset: 0, time: 0, data: {anything: 1}});
    expect(fold.readTo).toBe(0);
  });

  it('drops claims that are older than the window', () => {
    const fold = new ClaimFold();
    const old = {type: 'batch', entries: [claim('old', 'a')]};
    const fresh = {type: 'batch', entries: [claim('new', 'b')]};
    fold.fold({offset: 0, time: 1000, data: old});
    fold.fold({offset: 1, time: 2000, data: fresh});
    fold.forgetBefore(1500);
    expect(fold.winnerOf('old')).toBeUndefined();
    expect(fold.winnerOf('new')).toBeDefined();
  });
});

describe('an execution right', () => {
  it.each([
    {steps: ['consume'], results: [true]},
    {steps: ['consume', 'consume'], results: [true, false]},
    {steps: ['destroy', 'consume'], results: [true, false]},
    {steps: ['consume', 'destroy'], results: [true, false]},
  ] as const)('allows $steps only once', ({steps, results}) => {
    const right = new ExecutionRight('r');
    expect(steps.map(step => right[step]())).toEqual(results);
  });
});

describe('the age of an idempotency key', () => {
  const NOW = 1_800_000_000_000;
  const WINDOW = 3_600_000;

  function uuidAt(time: number): string {
    const hex = time.toString(16).padStart(12, '0');
    return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
  }

  it.each([
    {name: 'a fresh UUIDv7', key: uuidAt(NOW - 1000), kind: 'fresh'},
    {name: 'an old UUIDv7', key: uuidAt(NOW - WINDOW), kind: 'expired'},
    {
      name: 'a UUIDv7 that leaves the window within the clock tolerance',
      key: uuidAt(NOW - WINDOW + 29_000),
      kind: 'expired',
    },
    {
      name: 'a UUIDv7 from the future',
      key: uuidAt(NOW + 60_000),
      kind: 'expired',
    },
    {name: 'a plain key', key: 'booking-1', kind: 'unstated'},
    {
      name: 'a plain key with a stated time',
      key: 'booking-1',
      statedTime: NOW - 5,
      kind: 'fresh',
    },
    {
      name: 'a UUIDv7 that contradicts the stated time',
      key: uuidAt(NOW - WINDOW),
      statedTime: NOW,
      kind: 'expired',
    },
  ])('of $name is $kind', ({key, statedTime, kind}) => {
    expect(keyAge(key, statedTime, WINDOW, NOW)).toEqual({kind});
  });
});
