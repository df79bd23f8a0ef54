/**
 * What one host knows of roll-outs, and the software versions at which it may
 * therefore run a request. A host that does not know the present step of a
 * roll-out sends nothing to the new version.
 */
import type {VersionConstraint} from '../placement/version_constraint.js';
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import {hashBucket} from '../util/rendezvous_hash.js';
import type {RolloutOrder} from './rollout_order.js';
import {PERMIT_MILLISECONDS} from './rollout_plan.js';
import {
  isOpenRollout,
  type RolloutRecord,
  versionsGivenUp,
} from './rollout_record.js';

/** Hash buckets by which requests are assigned to versions. */
const SHARE_BUCKETS = 10_000;

/** A record and the time at which a store reader first saw it. */
export interface SeenRecord {
  readonly record: RolloutRecord;
  /** By this host's suspension-aware clock. */
  readonly seenAt: number;
}

/** How the versions of a service may be used at present. */
export type VersionUse =
  /** No order is known. */
  | {readonly kind: 'free'}
  /** An order is known, but not whether its version serves already. */
  | {readonly kind: 'ordered'; readonly softwareVersion: string}
  /** The new version gets nothing. */
  | {readonly kind: 'withheld'; readonly softwareVersion: string}
  /** A share of the requests runs at the new version. */
  | {
      readonly kind: 'shared';
      readonly softwareVersion: string;
      readonly orderId: string;
      readonly share: number;
      /** Engines that get them; undefined for all of the version. */
      readonly upstreamIds: readonly string[] | undefined;
      /** True time of the time limit. */
      readonly deadline: number;
      readonly durationMilliseconds: number;
    }
  /** Versions that were replaced get nothing. */
  | {
      readonly kind: 'replaced';
      readonly softwareVersion: string;
      readonly replacedVersions: readonly string[];
    };

/** The orders and records that one host knows. */
export class RolloutSteps {
  private readonly orders = new Map<string, RolloutOrder>();
  private readonly records = new Map<string, SeenRecord>();
  /** Time at which each version was first seen, by service. */
  private readonly firstSeen = new Map<string, Map<string, number>>();
  /** The lists whose versions have been recorded. */
  private readonly recordedLists = new WeakSet<readonly UsableUpstream[]>();

  /** Accepts an order unless a later one is known; returns whether it is new. */
  acceptOrder(order: RolloutOrder): boolean {
    const known = this.orders.get(order.service);
    if (known !== undefined && known.position >= order.position) {
      return false;
    }
    this.orders.set(order.service, order);
    return known?.orderId !== order.orderId;
  }

  /**
   * Accepts a record that a store reader first saw at `seenAt`, unless a newer one
   * is known; returns whether it is new.
   */
  acceptRecord(record: RolloutRecord, seenAt: number): boolean {
    const known = this.records.get(record.service);
    if (known !== undefined && known.record.sequence >= record.sequence) {
      if (known.record.sequence === record.sequence && seenAt < known.seenAt) {
        this.records.set(record.service, {...known, seenAt});
      }
      return false;
    }
    this.records.set(record.service, {record, seenAt});
    return true;
  }

  /** Returns the newest order of a service. */
  orderOf(service: string): RolloutOrder | undefined {
    return this.orders.get(service);
  }

  /** Returns the newest record of a service. */
  recordOf(service: string): SeenRecord | undefined {
    return this.records.get(service);
  }

  /** The newest order of each service. */
  get allOrders(): readonly RolloutOrder[] {
    return [...this.orders.values()];
  }

  /** The newest record of each service. */
  get allRecords(): readonly SeenRecord[] {
    return [...this.records.values()];
  }

  /** Whether an order has not been carried out, as far as this host knows. */
  get hasOpenOrder(): boolean {
    return this.allOrders.some(order => this.isOpen(order));
  }

  /** Returns whether an order has not been carried out. */
  isOpen({service, orderId}: RolloutOrder): boolean {
    const record = this.records.get(service)?.record;
    return record?.orderId !== orderId || isOpenRollout(record);
  }

  /**
   * Returns the versions of `service` whose engines exist for the sake of a
   * roll-out that has not been completed.
   */
  trialVersions(service: string): readonly string[] {
    const order = this.orders.get(service);
    const record = this.records.get(service)?.record;
    const barred = this.givenUpVersions(service);
    const isCompleted =
      record?.phase === 'completed' && record.orderId === order?.orderId;
    return order === undefined || isCompleted
      ? barred
      : [...barred, order.softwareVersion];
  }

  /** Returns the versions of `service` whose engines stop, as all has moved. */
  replacedVersions(service: string): readonly string[] {
    const record = this.records.get(service)?.record;
    return record?.phase === 'completed' ? record.replacedVersions : [];
  }

  /** Returns how the versions of `service` may be used at `now`. */
  useOf(service: string, now: number): VersionUse {
    const order = this.orders.get(service);
    const seen = this.records.get(service);
    if (order === undefined && seen === undefined) {
      return {kind: 'free'};
    }
    if (
      seen === undefined ||
      (order !== undefined && order.orderId !== seen.record.orderId)
    ) {
      const softwareVersion = order?.softwareVersion ?? '';
      return {kind: 'ordered', softwareVersion};
    }
    return useByRecord(seen, now);
  }

  /**
   * Records which versions are listed at `now`. The versions of the first list
   * have served before.
   */
  recordListed(
    service: string,
    upstreams: readonly UsableUpstream[],
    now: number,
  ): void {
    if (this.recordedLists.has(upstreams)) {
      return;
    }
    this.recordedLists.add(upstreams);
    const known = this.firstSeen.get(service);
    const versions = known ?? new Map<string, number>();
    for (const {softwareVersion} of upstreams) {
      if (!versions.has(softwareVersion)) {
        versions.set(softwareVersion, known === undefined ? -Infinity : now);
      }
    }
    if (upstreams.length > 0) {
      this.firstSeen.set(service, versions);
    }
  }

  /**
   * Returns the time at which a version was first listed; -Infinity for those of
   * the first list.
   */
  firstSeenAt(service: string, softwareVersion: string): number {
    return this.firstSeen.get(service)?.get(softwareVersion) ?? -Infinity;
  }

  /**
   * Returns the versions of `service` that get no request, besides the new one of
   * a roll-out: those of earlier roll-outs, and those that no known order names
   * and that were listed after the orders were last read, at `ordersReadAt`.
   * Versions of `unrecorded` upstreams are regarded as if they were recorded at
   * `now`.
   */
  barredVersions(
    service: string,
    ordersReadAt: number,
    unrecorded: readonly UsableUpstream[] = [],
    now = ordersReadAt,
  ): readonly string[] {
    const ordered = this.orders.get(service)?.softwareVersion;
    const known = this.firstSeen.get(service);
    const added =
      known === undefined || now <= ordersReadAt
        ? []
        : unrecorded
            .map(({softwareVersion}) => softwareVersion)
            .filter(version => !known.has(version));
    const unconfirmed = [
      ...[...(known ?? [])]
        .filter(([, seenAt]) => seenAt > ordersReadAt)
        .map(([version]) => version),
      ...added,
    ].filter(version => version !== ordered);
    return [...new Set([...this.givenUpVersions(service), ...unconfirmed])];
  }

  private givenUpVersions(service: string): readonly string[] {
    const order = this.orders.get(service);
    const record = this.records.get(service)?.record;
    return order === undefined
      ? (record?.barredVersions ?? [])
      : versionsGivenUp(order, record);
  }
}

function useByRecord({record, seenAt}: SeenRecord, now: number): VersionUse {
  const {softwareVersion, orderId} = record;
  switch (record.phase) {
    case 'rolled-back':
      return {kind: 'withheld', softwareVersion};
    case 'completed': {
      const {replacedVersions} = record;
      return {kind: 'replaced', softwareVersion, replacedVersions};
    }
    case 'testing':
    case 'moving': {
      const {share} = record;
      if (now - seenAt > PERMIT_MILLISECONDS || share === 0) {
        return {kind: 'withheld', softwareVersion};
      }
      const upstreamIds =
        record.phase === 'testing' ? record.upstreamIds : undefined;
      const {deadline, durationMilliseconds} = record;
      return {
        kind: 'shared',
        softwareVersion,
        orderId,
        share,
        upstreamIds,
        deadline,
        durationMilliseconds,
      };
    }
  }
}

/** Returns whether a share of the requests includes that of `attemptId`. */
export function isInShare(
  {orderId, share}: Extract<VersionUse, {kind: 'shared'}>,
  attemptId: string,
): boolean {
  const bucket = hashBucket(`${orderId}/${attemptId}`, SHARE_BUCKETS);
  return bucket < share * SHARE_BUCKETS;
}

/** Returns the part of the time until the time limit that has passed. */
export function elapsedPartOf(
  {deadline, durationMilliseconds}: Extract<VersionUse, {kind: 'shared'}>,
  trueTime: number,
): number {
  return 1 - (deadline - trueTime) / durationMilliseconds;
}

/** Returns the constraint of a request that runs at the new version. */
export function constraintToNew(
  use: Extract<VersionUse, {kind: 'shared'}>,
): VersionConstraint {
  const {softwareVersion, upstreamIds} = use;
  return {
    kind: 'only',
    softwareVersion,
    ...(upstreamIds !== undefined && {upstreamIds}),
  };
}

/**
 * Returns the constraint of a request that does not run at `softwareVersions`;
 * undefined if there are none.
 */
export function constraintExcept(
  softwareVersions: readonly string[],
): VersionConstraint | undefined {
  const [softwareVersion, ...furtherVersions] = softwareVersions;
  return softwareVersion === undefined
    ? undefined
    : {
        kind: 'except',
        softwareVersion,
        ...(furtherVersions.length > 0 && {furtherVersions}),
      };
}

/** Returns whether no engine of another version is listed. */
export function isAlone(
  {softwareVersion}: Extract<VersionUse, {kind: 'ordered'}>,
  upstreams: readonly UsableUpstream[],
): boolean {
  return upstreams.every(
    upstream => upstream.softwareVersion === softwareVersion,
  );
}

/** Returns whether an engine is listed that gets a share of the requests. */
export function hasEngines(
  {softwareVersion, upstreamIds}: Extract<VersionUse, {kind: 'shared'}>,
  upstreams: readonly UsableUpstream[],
): boolean {
  return upstreams.some(
    upstream =>
      upstream.softwareVersion === softwareVersion &&
      (upstreamIds?.includes(upstream.upstreamId) ?? true),
  );
}
