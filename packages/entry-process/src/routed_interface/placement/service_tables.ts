/**
 * What this host knows of the requests at the upstreams of each service, and the
 * loads that dispatchers state to hosts in answers that they send anyway.
 */
import {
  PlacementTable,
  type RoutedShard,
  type ServiceTable,
  SpreadTable,
  type UpstreamList,
} from '@lacewingwinch/decisions';
import type {
  PlacementAnswer,
  PlacementRequest,
} from '@lacewingwinch/entry-hosts';

import type {PlacementCandidates} from './placement_candidates.js';

/** Milliseconds between two statements of a shard's loads to one host. */
const STATEMENT_PERIOD_MILLISECONDS = 1000;

/** Milliseconds between two looks at the features of a service. */
const CHECK_PERIOD_MILLISECONDS = 500;

/** Milliseconds for which the weight of a shard is kept. */
const WEIGHT_PERIOD_MILLISECONDS = 2000;

/** Step of the weight of a shard, as a share of its size. */
const WEIGHT_STEP_SHARE = 0.1;

/** Dependencies of `ServiceTables`. */
export interface ServiceTablesDependencies {
  readonly hostId: string;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  /**
   * Milliseconds for which a prompt part stays in a cache after its last use.
   */
  readonly cacheRetentionMilliseconds: number;
  readonly upstreams: UpstreamList;
  /** Returns whether the load of a service is spread by its expected value. */
  readonly hasSpreadPlacement: (service: string) => boolean;
}

/** The tables of the services, and the loads in them. */
export class ServiceTables {
  private readonly tables = new Map<string, ServiceTable>();
  /** Times at which the features of services were looked at last. */
  private readonly checkedAt = new Map<string, number>();
  private readonly weights = new WeakMap<
    RoutedShard,
    {readonly weight: number; readonly time: number}
  >();
  /** Times of the last statements, by shard and host. */
  private readonly statedAt = new Map<string, Map<string, number>>();

  constructor(private readonly dependencies: ServiceTablesDependencies) {}

  /** Tables by service. */
  get all(): ReadonlyMap<string, ServiceTable> {
    return this.tables;
  }

  /** Returns the table of `service`. */
  of(service: string): ServiceTable {
    const existing = this.tables.get(service);
    const now = this.dependencies.clock();
    if (existing !== undefined && !this.isReplaced(service, existing, now)) {
      return existing;
    }
    this.checkedAt.set(service, now);
    const created = this.createFrom(service, existing, now);
    this.tables.set(service, created);
    return created;
  }

  /** Returns the table that `of` would return, and keeps no new one. */
  peek(service: string): ServiceTable {
    const existing = this.tables.get(service);
    const now = this.dependencies.clock();
    const isKept =
      existing !== undefined &&
      !(
        this.isCheckDue(service, existing, now) &&
        this.dependencies.hasSpreadPlacement(service)
      );
    return isKept ? existing : this.createFrom(service, existing, now);
  }

  /**
   * Returns whether a table was created before the service was found large. The
   * number of failure domains is not known at first. A service that was found
   * large stays so while domains are lost.
   */
  private isReplaced(
    service: string,
    existing: ServiceTable,
    now: number,
  ): boolean {
    if (!this.isCheckDue(service, existing, now)) {
      return false;
    }
    this.checkedAt.set(service, now);
    return this.dependencies.hasSpreadPlacement(service);
  }

  private isCheckDue(
    service: string,
    existing: ServiceTable,
    now: number,
  ): boolean {
    const checkedAt = this.checkedAt.get(service) ?? -Infinity;
    return (
      !(existing instanceof SpreadTable) &&
      now - checkedAt >= CHECK_PERIOD_MILLISECONDS
    );
  }

  /** Returns whether the load of `service` is spread by its expected value. */
  isSpread(service: string): boolean {
    return this.of(service) instanceof SpreadTable;
  }

  /**
   * Returns the weight of a shard: what its upstreams can do, rounded so that
   * hosts that know the speeds about equally well agree.
   */
  weightOf(service: string, shard: RoutedShard): number {
    const now = this.dependencies.clock();
    const known = this.knownWeightOf(shard, now);
    if (known !== undefined) {
      return known;
    }
    const weight = computeWeight(this.of(service), shard, now);
    this.weights.set(shard, {weight, time: now});
    return weight;
  }

  /** Returns the weight that `weightOf` would return, and keeps none. */
  peekWeightOf(service: string, shard: RoutedShard): number {
    const now = this.dependencies.clock();
    return (
      this.knownWeightOf(shard, now) ??
      computeWeight(this.peek(service), shard, now)
    );
  }

  private knownWeightOf(shard: RoutedShard, now: number): number | undefined {
    const known = this.weights.get(shard);
    return known !== undefined && now - known.time < WEIGHT_PERIOD_MILLISECONDS
      ? known.weight
      : undefined;
  }

  /** Discards what is known of an upstream that left or restarted. */
  forgetUpstream(upstreamId: string): void {
    for (const table of this.tables.values()) {
      table.forgetUpstream(upstreamId);
    }
  }

  /** Adds the loads of the shard to an answer to a host that lacks them. */
  withLoads(
    {service, shardId, front}: PlacementRequest,
    answer: PlacementAnswer,
    candidates: PlacementCandidates,
  ): PlacementAnswer {
    const now = this.dependencies.clock();
    const byFront = this.statedAt.get(shardId) ?? new Map<string, number>();
    const statedAt = byFront.get(front) ?? -Infinity;
    const isDue = now - statedAt >= STATEMENT_PERIOD_MILLISECONDS;
    if (answer.kind !== 'chosen' || !isDue || !this.isSpread(service)) {
      return answer;
    }
    this.statedAt.set(shardId, byFront.set(front, now));
    const shard = candidates.shardsOf(service).find(({id}) => id === shardId);
    return {
      ...answer,
      loads: this.of(service).statementsOf(shard?.upstreams ?? [], now),
    };
  }

  /** Records the loads that a dispatcher stated, if any. */
  recordLoads(service: string, answer: PlacementAnswer | undefined): void {
    if (answer?.kind !== 'chosen' || answer.loads === undefined) {
      return;
    }
    const {upstreams, clock} = this.dependencies;
    this.of(service).recordStatements(
      // What another process did under the same id says nothing about this one.
      answer.loads.filter(
        ({upstreamId, bornAt}) => upstreams.find(upstreamId)?.bornAt === bornAt,
      ),
      clock(),
    );
  }

  /** Discards the statements to hosts and of shards that are gone. */
  forgetStatements(
    shardIds: ReadonlySet<string>,
    hostIds: ReadonlySet<string>,
  ): void {
    for (const [shardId, byFront] of this.statedAt) {
      if (!shardIds.has(shardId)) {
        this.statedAt.delete(shardId);
        continue;
      }
      for (const front of byFront.keys()) {
        if (!hostIds.has(front)) {
          byFront.delete(front);
        }
      }
    }
  }

  private createFrom(
    service: string,
    existing: ServiceTable | undefined,
    now: number,
  ): ServiceTable {
    const created = this.create(service);
    const {hostId} = this.dependencies;
    created.replaceRequests(hostId, existing?.requestsOf(hostId) ?? [], now);
    return created;
  }

  private create(service: string): ServiceTable {
    const {cacheRetentionMilliseconds, random, hasSpreadPlacement} =
      this.dependencies;
    return hasSpreadPlacement(service)
      ? new SpreadTable(cacheRetentionMilliseconds, random)
      : new PlacementTable(cacheRetentionMilliseconds);
  }
}

function computeWeight(
  table: ServiceTable,
  {upstreams}: RoutedShard,
  now: number,
): number {
  if (!(table instanceof SpreadTable)) {
    return upstreams.length;
  }
  const unit = Math.max(1, upstreams.length * WEIGHT_STEP_SHARE);
  const capacity = table.capacityOf(upstreams, now);
  return Math.max(1, Math.round(capacity / unit)) * unit;
}
