/** Tests of the decision whether an upstream ended or a link was cut. */
import {describe, expect, it} from 'vitest';

import {
  chooseWitnesses,
  findReach,
  isReplacedBy,
  type ListedStart,
  type Member,
  type ReachReport,
} from '../src/index.js';

function host(hostId: string, failureDomain: string): Member {
  const addresses = {callers: '', peers: hostId, operators: ''};
  return {hostId, failureDomain, addresses, incarnation: 1, status: 'serving'};
}

describe('the hosts that are queried', () => {
  it.each<{
    readonly name: string;
    readonly hosts: readonly Member[];
    readonly excluded?: readonly string[];
    readonly chosen: readonly (readonly string[])[];
  }>([
    {name: 'are none if there is no other', hosts: [], chosen: [[]]},
    {
      name: 'are the only other one, in whatever domain',
      hosts: [host('a', 'own')],
      chosen: [['a']],
    },
    {
      name: 'come from other domains first',
      hosts: [host('a', 'own'), host('b', 'north'), host('c', 'own')],
      chosen: [
        ['a', 'b'],
        ['b', 'c'],
      ],
    },
    {
      name: 'come from domains of their own',
      hosts: [host('a', 'north'), host('b', 'north'), host('c', 'south')],
      chosen: [
        ['a', 'c'],
        ['b', 'c'],
      ],
    },
    {
      name: 'are not queried twice',
      hosts: [host('a', 'north'), host('b', 'south'), host('c', 'own')],
      excluded: ['a', 'b'],
      chosen: [['c']],
    },
  ])('$name', ({hosts, excluded = [], chosen}) => {
    const self = {failureDomain: 'own', excluded: new Set(excluded)};
    for (const random of [0, 0.3, 0.6, 0.99]) {
      const ids = chooseWitnesses(hosts, self, 2, () => random).map(
        ({hostId}) => hostId,
      );
      expect(chosen).toContainEqual([...ids].sort());
    }
  });
});

describe('an upstream', () => {
  it.each<{
    readonly name: string;
    readonly reports: readonly ReachReport[];
    readonly finding: string;
  }>([
    {name: 'is unknown without an answer', reports: [], finding: 'unknown'},
    {
      name: 'is out of reach if a host with a sound link does not reach it',
      reports: [
        {reached: [], isCutOff: true},
        {reached: [], isCutOff: false},
      ],
      finding: 'out-of-reach',
    },
    {
      name: 'is reached if any host does',
      reports: [
        {reached: [], isCutOff: false},
        {reached: ['i'], isCutOff: false},
      ],
      finding: 'reached',
    },
    {
      name: 'is unknown to hosts that are cut off',
      reports: [{reached: [], isCutOff: true}],
      finding: 'unknown',
    },
    {
      name: 'is unknown to hosts that do not list it',
      reports: [{reached: [], isCutOff: false, unlisted: ['i']}],
      finding: 'unknown',
    },
  ])('$name', ({reports, finding}) => {
    expect(findReach('i', reports)).toBe(finding);
  });
});

describe('a process that is lost', () => {
  const LOST = {
    upstreamId: 'i',
    address: '10.0.0.1:80',
    bornAt: 1000,
    runningSince: 5000,
  };

  it.each<{
    readonly name: string;
    readonly listed: ListedStart;
    readonly isReplaced: boolean;
  }>([
    {
      name: 'by its own entry',
      listed: {upstreamId: 'i', address: '10.0.0.1:80', bornAt: 1000},
      isReplaced: false,
    },
    {
      name: 'by a later start under its id',
      listed: {upstreamId: 'i', address: '10.0.0.2:80', bornAt: 9000},
      isReplaced: true,
    },
    {
      name: 'by a later start at its address',
      listed: {upstreamId: 'j', address: '10.0.0.1:80', bornAt: 9000},
      isReplaced: true,
    },
    {
      name: 'by a start that was known late and came before its connection',
      listed: {upstreamId: 'i', address: '10.0.0.1:80', bornAt: 4900},
      isReplaced: false,
    },
    {
      name: 'by another upstream',
      listed: {upstreamId: 'j', address: '10.0.0.2:80', bornAt: 9000},
      isReplaced: false,
    },
    {
      name: 'by an entry without a start',
      listed: {upstreamId: 'j', address: '10.0.0.1:80', bornAt: 0},
      isReplaced: false,
    },
  ])('is replaced $name: $isReplaced', ({listed, isReplaced}) => {
    expect(isReplacedBy(LOST, listed)).toBe(isReplaced);
  });
});
