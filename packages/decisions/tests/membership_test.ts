/** Tests of membership and discovery. */
import {describe, expect, it} from 'vitest';

import {
  chooseBackup,
  discoverHosts,
  type Member,
  Membership,
  type MemberStatus,
  supersedes,
  SUSPICION_MILLISECONDS,
} from '../src/index.js';

function member(
  hostId: string,
  status: MemberStatus = 'serving',
  incarnation = 1,
  failureDomain = 'east',
): Member {
  const address = `${hostId}:1`;
  return {
    hostId,
    failureDomain,
    addresses: {callers: address, peers: address, operators: address},
    incarnation,
    status,
  };
}

describe('a member update', () => {
  it.each([
    {next: ['serving', 2], known: ['gone', 1], isApplied: true},
    {next: ['gone', 1], known: ['serving', 2], isApplied: false},
    {next: ['suspected', 1], known: ['serving', 1], isApplied: true},
    {next: ['serving', 1], known: ['suspected', 1], isApplied: false},
    {next: ['leaving', 1], known: ['suspected', 1], isApplied: true},
    {next: ['serving', 1], known: ['leaving', 1], isApplied: false},
    {next: ['serving', 1], known: ['serving', 1], isApplied: false},
  ] as const)(
    '$next replaces $known: $isApplied',
    ({next, known, isApplied}) => {
      const [nextStatus, nextIncarnation] = next;
      const [knownStatus, knownIncarnation] = known;
      expect(
        supersedes(
          member('a', nextStatus, nextIncarnation),
          member('a', knownStatus, knownIncarnation),
        ),
      ).toBe(isApplied);
    },
  );
});

describe('the membership list', () => {
  it('has the same state after any order of updates', () => {
    const updates = [
      member('b', 'serving', 1),
      member('b', 'suspected', 1),
      member('b', 'serving', 3),
      member('b', 'leaving', 2),
    ];
    const forward = new Membership(member('a'), 0);
    forward.merge(updates, 0);
    const backward = new Membership(member('a'), 0);
    backward.merge([...updates].reverse(), 0);
    expect(forward.find('b')).toEqual(backward.find('b'));
    expect(forward.find('b')?.status).toBe('serving');
  });

  it('refutes a wrong status of this host', () => {
    const membership = new Membership(member('a'), 0);
    membership.merge([member('a', 'gone', 5)], 10);
    expect(membership.own.status).toBe('serving');
    expect(membership.own.incarnation).toBeGreaterThan(5);
  });

  it('ignores updates on an earlier incarnation of this host', () => {
    const membership = new Membership(member('a', 'serving', 7), 0);
    membership.merge([member('a', 'gone', 5)], 10);
    expect(membership.own.incarnation).toBe(7);
  });

  it('marks a suspected host as gone only after the time to refute', () => {
    const membership = new Membership(member('a'), 0);
    membership.merge([member('b')], 0);
    membership.suspect('b', 100);
    membership.expire(100 + SUSPICION_MILLISECONDS - 1);
    expect(membership.find('b')?.status).toBe('suspected');
    membership.expire(100 + SUSPICION_MILLISECONDS);
    expect(membership.find('b')?.status).toBe('gone');
  });

  it('does not suspect a leaving host', () => {
    const membership = new Membership(member('a'), 0);
    membership.merge([member('b', 'leaving')], 0);
    membership.suspect('b', 100);
    expect(membership.find('b')?.status).toBe('leaving');
  });

  it('probes each other host once per round', () => {
    const membership = new Membership(member('a'), 0);
    membership.merge([member('b'), member('c'), member('d', 'gone')], 0);
    const probed = [1, 2].map(() => membership.nextProbe(() => 0.5)?.hostId);
    expect(probed.sort()).toEqual(['b', 'c']);
  });
});

describe('discovery', () => {
  const serving = [
    member('a', 'serving', 1, 'east'),
    member('b', 'serving', 1, 'west'),
    member('c', 'serving', 1, 'east'),
    member('d', 'serving', 1, 'west'),
  ];

  it('spreads clients over hosts and consecutive hosts over failure domains', () => {
    const firstHosts = new Set<string | undefined>();
    for (let caller = 0; caller < 50; caller += 1) {
      const hosts = discoverHosts(serving, `caller-${caller}`);
      firstHosts.add(hosts[0]?.hostId);
      expect(hosts[0]?.failureDomain).not.toBe(hosts[1]?.failureDomain);
    }
    expect([...firstHosts].sort()).toEqual(['a', 'b', 'c', 'd']);
  });

  it('chooses a backup in another failure domain', () => {
    for (let request = 0; request < 20; request += 1) {
      const front = member('a', 'serving', 1, 'east');
      const backup = chooseBackup(`r${request}`, front, serving);
      expect(backup?.failureDomain).toBe('west');
    }
  });

  it('finds no backup if all hosts are in one failure domain', () => {
    const front = member('a', 'serving', 1, 'east');
    const east = serving.filter(({failureDomain}) => failureDomain === 'east');
    expect(chooseBackup('r', front, east)).toBeUndefined();
  });
});
