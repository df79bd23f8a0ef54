/** Hosts that place requests for each other, for tests of their dispatchers. */
import {
  FleetHealth,
  type ListedUpstream,
  NamedRates,
  type PlacementDemand,
  UpstreamAnnouncements,
  UpstreamHealth,
  UpstreamList,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import {createEventLog, createMetrics} from '@lacewingwinch/observability';

import type {Placement} from '../src/routed_interface/placement/placement_result.js';
import {RoutedPlacement} from '../src/routed_interface/placement/routed_placement.js';
import {servingMember} from './host_fixtures.js';

/** The ids of all hosts. */
export const HOSTS = [
  'host-0',
  'host-1',
  'host-2',
  'host-3',
  'host-4',
  'host-5',
];
const events = createEventLog('test', 'error');

/** The hosts by id. */
export const hosts = new Map<string, RoutedPlacement>();

/** The clock reading of all hosts in milliseconds. */
export const clock = {now: 0};

/** The lists of upstreams by host. */
export const lists = new Map<string, UpstreamList>();

/** What upstreams announced, by the host to which they did. */
export const announcements = new Map<string, UpstreamAnnouncements>();

/** Returns an upstream as it is listed. */
export function upstream(upstreamId: string): ListedUpstream {
  return {
    upstreamId,
    service: 'engines',
    address: '',
    failureDomain: 'north',
    slots: 64,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
  };
}

/** Hosts that no other host reaches. */
export const cutOff = new Set<string>();

/** Calls the host whose id equals the address, without delay. */
const peers = {
  call: (address: string, _method: string, params: unknown) =>
    cutOff.has(address)
      ? Promise.reject(new Error('no answer'))
      : Promise.resolve(
          hosts
            .get(address)
            ?.onPlacementRequest(
              params as Parameters<RoutedPlacement['onPlacementRequest']>[0],
            ),
        ),
  notify: (address: string, _method: string, params: unknown) =>
    hosts
      .get(address)
      ?.onNotification(
        params as Parameters<RoutedPlacement['onNotification']>[0],
      ),
  close: () => undefined,
} as unknown as PeerClient;

/** Returns a new process of a host that lists `engines` engines. */
export function startHost(
  hostId: string,
  engines: number,
  isSpread = false,
): RoutedPlacement {
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
  lists.set(hostId, upstreams);
  const announced = new UpstreamAnnouncements();
  announcements.set(hostId, announced);
  return new RoutedPlacement({
    trialVersions: () => [],
    hostId,
    failureDomain: 'north',
    upstreams,
    health: new UpstreamHealth(),
    fleetHealth: new FleetHealth(),
    announcements: announced,
    namedRates: new NamedRates(),
    hostCounts: () => ({servingHosts: HOSTS.length, knownHosts: HOSTS.length}),
    peers,
    events,
    servingHosts: () => HOSTS.map(servingMember),
    dispatchingHosts: () => HOSTS.map(servingMember),
    clock: () => clock.now,
    cacheRetentionMilliseconds: 20_000,
    random: () => 0.5,
    hasSpreadPlacement: () => isSpread,
    metrics: createMetrics(),
  });
}

/** Starts all hosts anew. */
export function startHosts(engines: number, isSpread = false): void {
  hosts.clear();
  for (const hostId of HOSTS) {
    hosts.set(hostId, startHost(hostId, engines, isSpread));
  }
}

/** Returns a request with a shared prompt part and one of its own. */
export function demand(attemptId: string, shared: string): PlacementDemand {
  return {
    attemptId,
    parts: [
      {partId: shared, tokens: 10_000},
      {partId: attemptId, tokens: 2000},
    ],
    promptTokens: 12_000,
    priority: 1,
  };
}

/** Places a request that a host received; undefined unless it is placed. */
export async function placementAt(
  hostId: string,
  attemptId: string,
  shared: string,
): Promise<Placement | undefined> {
  const result = await hosts
    .get(hostId)
    ?.place('engines', demand(attemptId, shared), new Set());
  return result?.kind === 'placed' ? result : undefined;
}

/** Places a request that a host received, and returns its upstream. */
export async function placeAt(
  hostId: string,
  attemptId: string,
  shared: string,
): Promise<string> {
  const placement = await placementAt(hostId, attemptId, shared);
  return placement?.choice.upstream.upstreamId ?? '';
}
