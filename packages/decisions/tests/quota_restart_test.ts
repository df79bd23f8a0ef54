/** Replays the loss of all hosts against the quotas of workspaces. */
import {describe, expect, it} from 'vitest';

import {
  countSharingHosts,
  QuotaShare,
  RESTARTED_SHARE,
  type WorkspaceQuota,
} from '../src/index.js';

/** Hosts that take traffic at once; the others start later. */
const HOSTS = 8;
const SLACK = 190_000;
const WINDOW_MILLISECONDS = 8000;
const OVERRUN = 0.1;
const LOST_AT_MILLISECONDS = 4000;
/** Prompts and the tokens of their responses. */
const SIZES = [17_200, 9400, 1600];

interface Take {
  readonly quota: WorkspaceQuota;
  readonly size: number;
  readonly parts: number;
  readonly now: number;
}

interface Outcome {
  readonly admitted: number;
  /** Share of the requests of the first half second that are refused. */
  readonly refusedAtStart: number;
}

function quotaOf(perSecond: number): WorkspaceQuota {
  return {perSecond, burst: perSecond, unit: 'tokens', defaultTokens: 0};
}

/** Takes from one of `shares`, to which two others give what is missing. */
function take(
  shares: readonly QuotaShare[],
  index: number,
  {quota, size, parts, now}: Take,
): boolean {
  const [own, ...others] = [0, 1, 2].flatMap(
    offset => shares[(index + offset) % shares.length] ?? [],
  );
  if (own?.take('w', quota, size, parts, now) === 0) {
    return true;
  }
  const missing = size - Math.max(0, own?.levelOf('w') ?? 0);
  for (const other of others) {
    own?.receive('w', other.give('w', quota, missing, parts, now));
  }
  return own?.take('w', quota, size, parts, now) === 0;
}

/**
 * One workspace sends `load` times its quota to hosts that are all lost after
 * half of a window and start again after `down` milliseconds.
 */
function replay(quota: WorkspaceQuota, load: number, down: number): Outcome {
  const restartedAt = LOST_AT_MILLISECONDS + down;
  const before = sharesWith(1);
  const after = sharesWith(RESTARTED_SHARE);
  const meanSize = SIZES.reduce((sum, size) => sum + size) / SIZES.length;
  const gap = (meanSize * 1000) / (quota.perSecond * load);
  let admitted = 0;
  let sentAtStart = 0;
  let refusedAtStart = 0;
  for (let index = 0; index * gap < WINDOW_MILLISECONDS; index += 1) {
    const now = index * gap;
    if (now >= LOST_AT_MILLISECONDS && now < restartedAt) {
      continue;
    }
    const isRestarted = now >= restartedAt;
    const size = SIZES[index % SIZES.length] ?? 0;
    const shares = isRestarted ? after : before;
    const age = isRestarted ? now - restartedAt : Infinity;
    const parts = countSharingHosts(HOSTS, age);
    const isTaken = take(shares, index, {quota, size, parts, now});
    const isAtStart = isRestarted && age < 500;
    admitted += isTaken ? size : 0;
    sentAtStart += isAtStart ? 1 : 0;
    refusedAtStart += isAtStart && !isTaken ? 1 : 0;
  }
  return {admitted, refusedAtStart: refusedAtStart / sentAtStart};
}

function sharesWith(initialShare: number): readonly QuotaShare[] {
  return Array.from({length: HOSTS}, () => new QuotaShare(SLACK, initialShare));
}

describe('after the loss of all hosts, a quota', () => {
  it.each([
    {perSecond: 47_000, down: 300},
    {perSecond: 47_000, down: 1300},
    {perSecond: 200_000, down: 300},
    {perSecond: 1_300_000, down: 300},
    {perSecond: 1_300_000, down: 1300},
  ])('holds at 6 times its load: %o', ({perSecond, down}) => {
    const quota = quotaOf(perSecond);
    const {admitted} = replay(quota, 6, down);
    const allowed =
      ((perSecond * WINDOW_MILLISECONDS) / 1000 + quota.burst) * (1 + OVERRUN) +
      SLACK;
    expect(admitted).toBeLessThanOrEqual(allowed);
  });

  it.each([
    {perSecond: 200_000, load: 0.55},
    {perSecond: 1_300_000, load: 0.55},
    {perSecond: 1_300_000, load: 0.9},
  ])('lets the usual load pass: %o', ({perSecond, load}) => {
    expect(
      replay(quotaOf(perSecond), load, 1300).refusedAtStart,
    ).toBeLessThanOrEqual(0.15);
  });
});
