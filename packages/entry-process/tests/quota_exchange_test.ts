/** Tests of quota exchange between the hosts of a large fleet. */
import {quotaHolders, type WorkspaceQuota} from '@lacewingwinch/decisions';
import type {PeerClient, QuotaAnswer} from '@lacewingwinch/entry-hosts';
import {createEventLog} from '@lacewingwinch/observability';
import {beforeEach, describe, expect, it} from 'vitest';

import {QuotaExchange} from '../src/routed_interface/admission/quota_exchange.js';
import {servingMember} from './host_fixtures.js';

const HOSTS = Array.from({length: 40}, (_, index) => `host-${index}`);
const HOLDERS = quotaHolders('large', HOSTS);
const OTHERS = HOSTS.filter(hostId => !HOLDERS.includes(hostId));
const QUOTA: WorkspaceQuota = {
  unit: 'tokens',
  perSecond: 5000,
  burst: 5000,
  defaultTokens: 200,
};
/** One holder's part of the burst. */
const HOLDER_PART = QUOTA.burst / HOLDERS.length;

const events = createEventLog('test', 'error');
let hosts: Map<string, QuotaExchange>;
let unreachableHosts: Set<string>;
let now: number;
/** Addresses of the hosts that were called. */
let calls: string[];

/** State of a random generator that yields the same numbers in every run. */
let randomState = 1;
function random(): number {
  randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
  return randomState / 2 ** 32;
}

const peers = {
  call: (
    address: string,
    method: string,
    {workspace, amount}: {readonly workspace: string; readonly amount: number},
  ): Promise<QuotaAnswer | {readonly given: number}> => {
    calls.push(address);
    const host = hosts.get(address);
    if (host === undefined || unreachableHosts.has(address)) {
      return Promise.reject(new Error('cannot be reached'));
    }
    return Promise.resolve(
      method === 'quota.take'
        ? host.takeForPeer(workspace, QUOTA, amount)
        : {given: host.give(workspace, QUOTA, amount)},
    );
  },
  notify: (address: string, _method: string, params: unknown) => {
    const {workspace, amount} = params as {workspace: string; amount: number};
    hosts.get(address)?.giveBack(workspace, amount);
  },
  close: () => undefined,
} as unknown as PeerClient;

beforeEach(() => {
  randomState = 1;
  unreachableHosts = new Set();
  now = 0;
  calls = [];
  hosts = new Map(
    HOSTS.map(hostId => [
      hostId,
      new QuotaExchange({
        peers,
        events,
        hostId,
        startedAt: -10_000,
        clock: () => now,
        random,
        otherHosts: () =>
          HOSTS.filter(otherId => otherId !== hostId).map(servingMember),
        sharingHostIds: () => HOSTS,
        holderCandidates: () => HOSTS,
        slack: 0,
        isFirstStart: true,
      }),
    ]),
  );
});

async function take(
  hostId: string,
  amount: number,
): Promise<'taken' | 'used-up'> {
  return (await takeFrom(hostId, amount)).kind;
}

async function takeFrom(
  hostId: string,
  amount: number,
): ReturnType<QuotaExchange['take']> {
  const host = hosts.get(hostId);
  if (host === undefined) {
    throw new Error(`no host has the id ${hostId}`);
  }
  return host.take('large', QUOTA, amount);
}

describe('the quota of a workspace in a large fleet', () => {
  it('allows no more than its burst at once, whichever hosts take from it', async () => {
    let taken = 0;
    for (const hostId of [...OTHERS, ...HOLDERS, ...OTHERS]) {
      taken += (await take(hostId, 100)) === 'taken' ? 100 : 0;
    }
    expect(taken).toBeLessThanOrEqual(QUOTA.burst);
    expect(taken).toBeGreaterThan(QUOTA.burst * 0.9);
  });

  it.each([
    {name: 'one holder', lost: 1, verdict: 'taken'},
    {name: 'four holders', lost: 4, verdict: 'taken'},
    {name: 'every holder', lost: 5, verdict: 'used-up'},
  ])('without $name a request is $verdict', async ({lost, verdict}) => {
    HOLDERS.slice(0, lost).forEach(hostId => unreachableHosts.add(hostId));
    const results = await Promise.all(OTHERS.map(id => take(id, 10)));
    expect(results).toContain(verdict);
  });

  it('returns the time until the first of the tried holders has enough again', async () => {
    const [front = ''] = OTHERS;
    for (const holder of HOLDERS) {
      hosts.get(holder)?.takeForPeer('large', QUOTA, HOLDER_PART * 3);
    }
    const verdict = await takeFrom(front, HOLDER_PART);
    // Three parts were taken from one holder: two seconds to repay the debt,
    // one to refill.
    expect(verdict).toEqual({kind: 'used-up', waitMilliseconds: 3000});
  });

  it('costs its holders few calls while its workspace sends many times as much', async () => {
    const [front = ''] = OTHERS;
    for (const holder of HOLDERS) {
      hosts.get(holder)?.takeForPeer('large', QUOTA, HOLDER_PART * 3);
    }
    for (let request = 0; request < 1000; request += 1) {
      now += 1;
      await take(front, HOLDER_PART);
    }
    // Two calls in each 200 ms.
    expect(calls.length).toBeLessThanOrEqual(12);
  });

  it('is taken from a holder that answered before from one that did not', async () => {
    const [front = ''] = OTHERS;
    HOLDERS.slice(0, 4).forEach(hostId => unreachableHosts.add(hostId));
    for (let request = 0; request < 4; request += 1) {
      await take(front, 1);
    }
    calls = [];
    expect(await take(front, 1)).toBe('taken');
    expect(calls).toEqual([HOLDERS[4]]);
  });

  it('is refunded for requests that did not run', async () => {
    const [front = ''] = OTHERS;
    const verdicts = [];
    for (let index = 0; index < 20; index += 1) {
      verdicts.push(await takeFrom(front, HOLDER_PART));
    }
    expect(await take(front, HOLDER_PART)).toBe('used-up');
    for (const verdict of verdicts) {
      if (verdict.kind === 'taken') {
        verdict.giveBack();
      }
    }
    expect(await take(front, HOLDER_PART)).toBe('taken');
  });

  it('is transferred by holders only', () => {
    const [other = ''] = OTHERS;
    const [holder = ''] = HOLDERS;
    expect(hosts.get(other)?.give('large', QUOTA, 100)).toBe(0);
    expect(hosts.get(holder)?.give('large', QUOTA, 100)).toBe(100);
  });
});
