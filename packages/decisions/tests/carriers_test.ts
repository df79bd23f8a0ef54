/** Tests of the hosts that relay attempts, and of the way of an attempt. */
import {describe, expect, it} from 'vitest';

import {
  type CarrierResult,
  Carriers,
  chooseWay,
  type Member,
  NO_WAYS_TRIED,
  withoutCutOff,
  withTriedWay,
} from '../src/index.js';

function member(hostId: string, failureDomain = 'north'): Member {
  return {
    hostId,
    failureDomain,
    addresses: {callers: '', peers: '', operators: '', relay: hostId},
    incarnation: 1,
    status: 'serving',
  };
}

describe('carriers', () => {
  const hosts = [member('near'), member('far', 'south')];
  const attempt = {
    upstreamId: 'a',
    failureDomain: 'north',
    triedHosts: new Set<string>(),
  };

  it.each<{
    readonly name: string;
    readonly results: readonly (readonly [string, CarrierResult])[];
    readonly now: number;
    readonly chosen: string | undefined;
    readonly isElsewhere: boolean;
  }>([
    {
      name: 'near first',
      results: [],
      now: 0,
      chosen: 'near',
      isElsewhere: false,
    },
    {
      name: 'not one that did not reach the upstream',
      results: [['near', 'out-of-reach']],
      now: 999,
      chosen: 'far',
      isElsewhere: true,
    },
    {
      name: 'again after a second',
      results: [['near', 'out-of-reach']],
      now: 1000,
      chosen: 'near',
      isElsewhere: false,
    },
    {
      name: 'not one that declined, which says nothing of the upstream',
      results: [['near', 'declined']],
      now: 500,
      chosen: 'far',
      isElsewhere: false,
    },
    {
      name: 'not one that is cut off, which cannot know',
      results: [['near', 'cut-off']],
      now: 2000,
      chosen: 'far',
      isElsewhere: false,
    },
    {
      name: 'none if all failed',
      results: [
        ['near', 'cut-off'],
        ['far', 'unreachable'],
      ],
      now: 500,
      chosen: undefined,
      isElsewhere: false,
    },
    {
      name: 'one that has carried since',
      results: [
        ['near', 'cut-off'],
        ['near', 'carried'],
      ],
      now: 500,
      chosen: 'near',
      isElsewhere: false,
    },
  ])('$name', ({results, now, chosen, isElsewhere}) => {
    const carriers = new Carriers();
    results.forEach(([host, result]) =>
      carriers.recordResult(host, 'a', result, 0),
    );
    const random = (): number => 0;
    expect(carriers.choose(hosts, attempt, now, random)?.hostId).toBe(chosen);
    expect(carriers.isOutOfReachElsewhere(hosts, 'a', now)).toBe(isElsewhere);
  });

  it('must have an address for attempts of others', () => {
    const addresses = {callers: '', peers: '', operators: ''};
    const old = [{...member('near'), addresses}];
    expect(new Carriers().choose(old, attempt, 0, () => 0)).toBeUndefined();
  });
});

describe('the way of an attempt', () => {
  const near = {kind: 'carried', carrier: member('near')} as const;
  const far = {kind: 'carried', carrier: member('far')} as const;
  const direct = {kind: 'direct'} as const;

  it.each([
    {
      name: 'direct',
      isDirect: true,
      carrier: near.carrier,
      tried: [],
      way: direct,
    },
    {
      name: 'through another host after it',
      isDirect: true,
      carrier: near.carrier,
      tried: [direct],
      way: near,
    },
    {
      name: 'through another host at once if the path has failed',
      isDirect: false,
      carrier: near.carrier,
      tried: [],
      way: near,
    },
    {
      name: 'direct if no host relays',
      isDirect: false,
      carrier: undefined,
      tried: [],
      way: direct,
    },
    {
      name: 'none if no host relays after it',
      isDirect: false,
      carrier: undefined,
      tried: [direct],
      way: undefined,
    },
    {
      name: 'no fourth host',
      isDirect: false,
      carrier: far.carrier,
      tried: [
        direct,
        near,
        {kind: 'carried', carrier: member('b')} as const,
        {kind: 'carried', carrier: member('c')} as const,
      ],
      way: undefined,
    },
  ])('$name', ({isDirect, carrier, tried, way}) => {
    expect(
      chooseWay({isDirect, carrier}, tried.reduce(withTriedWay, NO_WAYS_TRIED)),
    ).toEqual(way);
  });
});

describe('the hosts that are named to clients', () => {
  it.each([
    {cutOff: ['a'], named: ['b', 'c', 'd', 'e']},
    {cutOff: ['a', 'b'], named: ['c', 'd', 'e']},
    {cutOff: ['a', 'b', 'c'], named: ['a', 'b', 'c', 'd', 'e']},
  ])('are $named if $cutOff are cut off', ({cutOff, named}) => {
    const serving = ['a', 'b', 'c', 'd', 'e'].map(id => member(id));
    expect(
      withoutCutOff(serving, ({hostId}) => cutOff.includes(hostId)).map(
        ({hostId}) => hostId,
      ),
    ).toEqual(named);
  });
});
