/** Tests of the explanation of placements. */
import {
  type AdmissionTerms,
  FleetHealth,
  type ListedUpstream,
  NamedRates,
  type PlacementDemand,
  rendezvousWinner,
  UpstreamAnnouncements,
  UpstreamHealth,
  UpstreamList,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import {createEventLog, createMetrics} from '@lacewingwinch/observability';
import fc from 'fast-check';
import {beforeEach, describe, expect, it} from 'vitest';

import type {Placement} from '../src/routed_interface/placement/placement_result.js';
import {
  RoutedPlacement,
  type RoutedPlacementDependencies,
} from '../src/routed_interface/placement/routed_placement.js';
import {servingMember} from './host_fixtures.js';
import {snapshotOf} from './state_snapshot.js';

const SERVICE = 'engines';
const events = createEventLog('test', 'error');

function upstream(upstreamId: string): ListedUpstream {
  return {
    upstreamId,
    service: SERVICE,
    address: '',
    failureDomain: 'north',
    slots: 4,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 5,
    isReclaimable: false,
    coldMilliseconds: 0,
  };
}

/** No host answers, and nothing may be sent while a request is explained. */
const peers = {
  call: () => Promise.reject(new Error('no answer')),
  notify: () => undefined,
  close: () => undefined,
} as unknown as PeerClient;

/** A host whose time and random numbers the test states. */
class ExplainingHost {
  now = 1000;
  random = 0.5;
  draws = 0;
  readonly dependencies: RoutedPlacementDependencies;
  readonly placement: RoutedPlacement;

  constructor(
    engines: number,
    options: {readonly isSpread?: boolean; readonly hosts?: readonly string[]},
  ) {
    const {isSpread = false, hosts = ['own']} = options;
    const upstreams = new UpstreamList();
    upstreams.replace(
      Array.from({length: engines}, (_, index) => ({
        kind: 'listed',
        upstream: upstream(`i-${index}`),
        heartbeat: undefined,
      })),
      {readTo: 1, relistedBy: -Infinity},
      0,
    );
    this.dependencies = {
      trialVersions: () => [],
      hostId: 'own',
      failureDomain: 'north',
      upstreams,
      health: new UpstreamHealth(),
      fleetHealth: new FleetHealth(),
      announcements: new UpstreamAnnouncements(),
      namedRates: new NamedRates(),
      hostCounts: () => ({servingHosts: 1, knownHosts: 1}),
      peers,
      events,
      servingHosts: () => hosts.map(servingMember),
      dispatchingHosts: () => hosts.map(servingMember),
      clock: () => this.now,
      cacheRetentionMilliseconds: 20_000,
      random: () => {
        this.draws += 1;
        return this.random;
      },
      hasSpreadPlacement: () => isSpread,
      metrics: createMetrics(),
    };
    this.placement = new RoutedPlacement(this.dependencies);
  }

  explain(
    request: PlacementDemand,
    terms?: AdmissionTerms,
  ): ReturnType<RoutedPlacement['explainer']['explain']> {
    const {random} = this;
    const draws = {upstream: random, jitter: random};
    return this.placement.explainer.explain(SERVICE, request, terms, draws);
  }

  /** Returns a copy of all that the host knows. */
  state(): unknown {
    const {health, fleetHealth, announcements, namedRates, upstreams} =
      this.dependencies;
    const {placement, draws} = this;
    return snapshotOf({
      placement,
      health,
      fleetHealth,
      announcements,
      namedRates,
      upstreams,
      draws,
    });
  }
}

function demand(attemptId: string, part: string, rank = 1): PlacementDemand {
  return {
    attemptId,
    parts: [
      {partId: part, tokens: 8000},
      {partId: attemptId, tokens: 2000},
    ],
    promptTokens: 10_000,
    priority: rank,
  };
}

const TERMS: AdmissionTerms = {
  objectiveMilliseconds: 400,
  millisecondsLeft: 6000,
  patienceMilliseconds: 2000,
  workspace: 'workspace',
};

/** Something that happens at a host. */
const happening = fc.record({
  kind: fc.constantFrom(
    'request',
    'request',
    'request',
    'request',
    'started',
    'ended',
    'unreachable',
    'refused',
    'paused',
    'limited',
    'brittle',
  ),
  milliseconds: fc.integer({min: 0, max: 400}),
  part: fc.integer({min: 0, max: 5}),
  rank: fc.integer({min: 0, max: 3}),
  random: fc.double({min: 0, max: 0.999, noNaN: true}),
  hasTerms: fc.boolean(),
});

type Happening =
  typeof happening extends fc.Arbitrary<infer Value> ? Value : never;

/** Lets something happen other than a request. */
function happen(
  host: ExplainingHost,
  {kind, part}: Happening,
  placements: Placement[],
): void {
  const {announcements, namedRates} = host.dependencies;
  const incarnation = {upstreamId: `i-${part}`, bornAt: 5};
  const oldest = placements[0];
  switch (kind) {
    case 'request':
      return;
    case 'started':
      oldest?.reportStarted();
      return;
    case 'ended':
      placements.shift()?.reportEnded('answered');
      return;
    case 'unreachable':
    case 'refused':
      placements.shift()?.reportEnded(kind);
      return;
    case 'paused': {
      const pause = {kind, milliseconds: 500} as const;
      announcements.record(incarnation, pause, host.now);
      return;
    }
    case 'limited':
    case 'brittle':
      namedRates.merge({
        ...incarnation,
        kind: kind === 'limited' ? 'requests' : 'refusals',
        perSecond: 4,
        at: host.now,
      });
  }
}

function comparable(result: {readonly kind: string} | undefined): unknown {
  if (result?.kind !== 'placed') {
    return result;
  }
  const {choice, promotedRank, returned} = result as Placement;
  // Only counting a grant says when it may be used.
  const estimate = {...choice, grantWaitMilliseconds: undefined};
  return {estimate, promotedRank, returned};
}

describe('the explanation of a placement', () => {
  it.each([
    {name: 'small service', engines: 4, isSpread: false, hosts: ['own']},
    {name: 'spread service', engines: 8, isSpread: true, hosts: ['own']},
    {name: 'several shards', engines: 80, isSpread: false, hosts: ['own']},
    {
      name: 'small service of a silent dispatcher',
      engines: 4,
      isSpread: false,
      hosts: ['own', 'other-1', 'other-2'],
    },
    {
      name: 'spread service of a silent dispatcher',
      engines: 8,
      isSpread: true,
      hosts: ['own', 'other-1', 'other-2'],
    },
  ])(
    'changes nothing, and says what the host then does: $name',
    async ({engines, isSpread, hosts}) => {
      const property = fc.asyncProperty(
        fc.array(happening, {minLength: 10, maxLength: 60}),
        async happenings => {
          const host = new ExplainingHost(engines, {isSpread, hosts});
          const placements: Placement[] = [];
          for (const [index, event] of happenings.entries()) {
            host.now += event.milliseconds;
            host.random = event.random;
            if (event.kind !== 'request') {
              happen(host, event, placements);
              continue;
            }
            const request = demand(`a-${index}`, `p-${event.part}`, event.rank);
            const terms = event.hasTerms
              ? {...TERMS, fingerprint: `f-${event.part}`}
              : undefined;
            const before = host.state();
            const {result} = host.explain(request, terms);
            expect(host.state()).toEqual(before);
            const placed = await host.placement.place(
              SERVICE,
              request,
              new Set(),
              terms,
            );
            expect(comparable(result)).toEqual(comparable(placed));
            if (placed?.kind === 'placed') {
              placements.push(placed);
            }
          }
        },
      );
      await fc.assert(property, {numRuns: 40});
    },
  );

  it('names the shares of near equals, which add up to 1', () => {
    const others = ['own', 'other-1', 'other-2', 'other-3'];
    const host = new ExplainingHost(8, {isSpread: true, hosts: others});
    const {explanation} = host.explain(demand('a', 'p'));
    const considered = explanation.shards[0]?.considered ?? [];
    const shares = considered.map(({share}) => share);
    expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1);
    expect(shares).toEqual([...shares].sort((left, right) => right - left));
  });

  it('names the dispatcher that decides instead of this host', () => {
    const others = ['other-1', 'other-2'];
    const host = new ExplainingHost(4, {hosts: others});
    const {explanation} = host.explain(demand('a', 'p'));
    expect(explanation.shards[0]?.decidedBy).toEqual({
      kind: 'other-host',
      hostId: rendezvousWinner('dispatcher/engines', others),
      isCalled: true,
    });
  });
});

describe('an upstream that is left out', () => {
  let host: ExplainingHost;

  beforeEach(() => {
    host = new ExplainingHost(4, {});
  });

  it.each([
    {
      name: 'it announced that it is leaving',
      arrange: ({announcements}: RoutedPlacementDependencies) =>
        announcements.record(upstream('i-0'), {kind: 'leaving'}, 1000),
      excluded: {upstreamId: 'i-0', reason: 'leaving'},
    },
    {
      name: 'it requested a pause',
      arrange: ({announcements}: RoutedPlacementDependencies) =>
        announcements.record(
          upstream('i-0'),
          {kind: 'paused', milliseconds: 300},
          1000,
        ),
      excluded: {upstreamId: 'i-0', reason: 'paused', milliseconds: 300},
    },
    {
      name: 'this host does not reach it',
      arrange: ({health}: RoutedPlacementDependencies) =>
        health.recordResult('i-0', 'unreachable', 1000),
      excluded: {upstreamId: 'i-0', reason: 'ejected-here'},
    },
    {
      name: 'no host reaches it',
      arrange: ({fleetHealth}: RoutedPlacementDependencies) =>
        fleetHealth.recordResult(
          {upstreamId: 'i-0', front: 'x', result: 'unreachable'},
          1000,
        ),
      excluded: {upstreamId: 'i-0', reason: 'ejected-for-all'},
    },
    {
      name: 'it is listed as leaving',
      arrange: ({upstreams}: RoutedPlacementDependencies) =>
        upstreams.apply(
          [
            {
              kind: 'listed',
              upstream: {...upstream('i-0'), isLeaving: true},
              heartbeat: 1,
            },
          ],
          {readTo: 2, relistedBy: -Infinity},
          1000,
        ),
      excluded: {upstreamId: 'i-0', reason: 'leaving'},
    },
  ])('has its reason: $name', ({arrange, excluded}) => {
    arrange(host.dependencies);
    const {explanation} = host.explain(demand('a', 'p'));
    const [shard] = explanation.shards;
    expect(shard?.excluded).toEqual([excluded]);
    expect(shard?.considered.length).toBe(3);
  });

  it.each([
    {kind: 'requests', reason: 'limit', perSecond: 0.5, milliseconds: 5000},
    {kind: 'refusals', reason: 'brittle', perSecond: 1, milliseconds: 1000},
  ] as const)(
    'has its reason: $reason',
    async ({kind, reason, perSecond, milliseconds}) => {
      host = new ExplainingHost(1, {});
      host.dependencies.namedRates.merge({
        kind,
        upstreamId: 'i-0',
        bornAt: 5,
        perSecond,
        at: 1000,
      });
      await host.placement.place(SERVICE, demand('first', 'p'), new Set());
      const {explanation} = host.explain(demand('second', 'p'));
      const time: unknown = expect.closeTo(milliseconds, 0);
      expect(explanation.result).toEqual({kind: 'limited', milliseconds: time});
      expect(explanation.shards[0]?.excluded).toEqual([
        {upstreamId: 'i-0', reason, milliseconds: time},
      ]);
    },
  );

  it('has its reason: its software version may not run the request', () => {
    const {explanation} = host.explain({
      ...demand('a', 'p'),
      versions: {kind: 'except', softwareVersion: 'v1'},
    });
    expect(explanation.result).toEqual({kind: 'none'});
    expect(explanation.shards[0]?.excluded).toContainEqual({
      upstreamId: 'i-3',
      reason: 'version',
    });
  });
});
