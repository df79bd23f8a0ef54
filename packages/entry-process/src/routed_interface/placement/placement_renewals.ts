/**
 * Renews the requests of this host at the dispatchers, which corrects the effect
 * of lost notifications.
 */
import type {
  Member,
  PlacedRequest,
  ServiceTable,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';

import {isAborted} from '../../util/is_aborted.js';
import {pause} from '../../util/pause.js';
import type {DispatcherCalls} from './dispatcher_calls.js';
import type {PlacementCandidates} from './placement_candidates.js';
import {type PlacementMetrics, recordLoadSpread} from './placement_metrics.js';
import type {ServiceTables} from './service_tables.js';
import type {ShardAdmissions} from './shard_admissions.js';

/** Milliseconds between two renewals. */
const RENEW_PERIOD_MILLISECONDS = 1000;

/** Dependencies of `PlacementRenewals`. */
export interface PlacementRenewalsDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  readonly tables: ServiceTables;
  readonly metrics: PlacementMetrics;
  readonly servingHosts: () => readonly Member[];
  readonly candidates: PlacementCandidates;
  readonly dispatchers: DispatcherCalls;
  readonly admissions: ShardAdmissions;
}

/** Renews requests, and discards what belongs to lost fronts and shards. */
export class PlacementRenewals {
  constructor(private readonly dependencies: PlacementRenewalsDependencies) {}

  /** Renews this host's requests at the dispatchers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {tables, candidates, dispatchers, admissions, servingHosts} =
      this.dependencies;
    while (!isAborted(signal)) {
      await pause(RENEW_PERIOD_MILLISECONDS, signal);
      for (const [service, table] of tables.all) {
        this.renew(service, table);
      }
      const shards = [...tables.all.keys()].flatMap(service =>
        candidates.shardsOf(service),
      );
      const shardIds = new Set(shards.map(({id}) => id));
      admissions.keepOnly(shardIds);
      dispatchers.keepOnly(shardIds);
      tables.forgetStatements(
        shardIds,
        new Set(servingHosts().map(({hostId}) => hostId)),
      );
    }
  }

  private renew(service: string, table: ServiceTable): void {
    const {hostId, peers, clock, candidates, dispatchers, metrics} =
      this.dependencies;
    for (const {id, upstreams} of candidates.shardsOf(service)) {
      if (dispatchers.dispatcherFor(id) !== undefined) {
        const loads = table.statementsOf(upstreams, clock());
        recordLoadSpread(metrics, service, loads);
      }
    }
    table.forgetSilentFronts(hostId, clock());
    const requests = table.requestsOf(hostId);
    for (const [address, assigned] of this.byDispatcher(service, requests)) {
      peers.notify(address, 'placement.renew', {
        service,
        front: hostId,
        requests: assigned,
      });
    }
  }

  /**
   * Returns the requests at each other dispatcher of `service`, by the
   * dispatcher's address.
   */
  private byDispatcher(
    service: string,
    requests: readonly PlacedRequest[],
  ): ReadonlyMap<string, readonly PlacedRequest[]> {
    const {candidates, dispatchers} = this.dependencies;
    const byAddress = new Map<string, PlacedRequest[]>();
    for (const {id, upstreams} of candidates.shardsOf(service)) {
      const dispatcher = dispatchers.otherDispatcherOf(id);
      if (dispatcher === undefined) {
        continue;
      }
      const address = dispatcher.addresses.peers;
      const members = new Set(upstreams.map(({upstreamId}) => upstreamId));
      const assigned = requests.filter(({upstreamId}) =>
        members.has(upstreamId),
      );
      byAddress.set(address, [...(byAddress.get(address) ?? []), ...assigned]);
    }
    return byAddress;
  }
}
