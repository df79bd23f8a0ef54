/**
 * The part that one host takes in roll-outs: it assigns its requests to software
 * versions and counts their results.
 */
import type {VersionConstraint} from '../placement/version_constraint.js';
import type {UsableUpstream} from '../upstreams/listed_upstream.js';
import type {RolloutBounds, RolloutOrder} from './rollout_order.js';
import {isExposureLeft} from './rollout_plan.js';
import {
  constraintExcept,
  constraintToNew,
  elapsedPartOf,
  hasEngines,
  isAlone,
  isInShare,
  type RolloutSteps,
  type VersionUse,
} from './rollout_steps.js';
import {addTime, timeWithoutReading} from './time_histogram.js';
import type {
  VersionResultCounts,
  VersionResultReport,
} from './version_result_report.js';

/** A request, as roll-outs see it. */
export interface VersionedRequest {
  readonly service: string;
  /** Whether it was assigned to the new version of a roll-out. */
  readonly isAssigned: boolean;
  /** Whether it continues a stream, which continues at its own version. */
  readonly isBound: boolean;
}

/** The state of the host on which an assignment depends. */
export interface VersionContext {
  /** Usable upstreams of the service, of all versions. */
  readonly upstreams: readonly UsableUpstream[];
  /** Time at which the orders were last confirmed as the newest. */
  readonly ordersReadAt: number;
  /** By the suspension-aware clock. */
  readonly now: number;
  /** In milliseconds since the epoch. */
  readonly trueTime: number;
}

/** An attempt at an upstream. */
export interface VersionAttempt {
  readonly service: string;
  readonly route: string;
  readonly upstream: Pick<UsableUpstream, 'softwareVersion' | 'upstreamId'>;
  /** Whether the host that placed it did not know all work at the engine. */
  readonly isGuess: boolean;
}

/** The beginning of an answer. */
export interface VersionStart extends VersionAttempt {
  readonly milliseconds: number;
  readonly tokensToRead: number;
}

/** The result of an attempt. */
export interface VersionResult extends VersionAttempt {
  /** An unfinished attempt has waited at least for the objective. */
  readonly outcome: 'answered' | 'failed' | 'unfinished';
  /** Time between two events of the answer; undefined without two events. */
  readonly gapMilliseconds: number | undefined;
}

/** Identity of the host and its bounds. */
export interface RolloutFrontOptions {
  readonly processId: string;
  readonly hostId: string;
  readonly steps: RolloutSteps;
  /** Returns the bounds; undefined if the deployment has none. */
  readonly bounds: () => RolloutBounds | undefined;
  /** Returns the number of hosts that share what a bad version may get. */
  readonly hostCount: () => number;
}

interface Counts {
  route: string;
  upstreamId: string | undefined;
  answered: number;
  failed: number;
  readonly starts: number[];
  readonly gaps: number[];
}

/** What was counted for one order. */
interface OrderCounts {
  readonly orderId: string;
  requests: number;
  assigned: number;
  readonly results: Map<string, Counts>;
}

/** Assigns the requests of one host to software versions. */
export class RolloutFront {
  private readonly countsByService = new Map<string, OrderCounts>();
  /** Requests in progress by service and version. */
  private readonly running = new Map<string, Map<string, number>>();

  constructor(private readonly options: RolloutFrontOptions) {}

  /** Returns whether a new request runs at the new version, and counts it. */
  assign(service: string, attemptId: string, context: VersionContext): boolean {
    const counts = this.countsOf(service);
    if (counts === undefined || this.options.bounds() === undefined) {
      return false;
    }
    const isAssigned = this.wouldAssign(service, attemptId, context);
    counts.requests += 1;
    counts.assigned += isAssigned ? 1 : 0;
    return isAssigned;
  }

  /** Returns what `assign` would return, and counts nothing. */
  wouldAssign(
    service: string,
    attemptId: string,
    {upstreams, now, trueTime}: VersionContext,
  ): boolean {
    const {steps, bounds, hostCount} = this.options;
    const limits = bounds();
    const order = this.openOrderOf(service);
    const use = steps.useOf(service, now);
    if (
      limits === undefined ||
      order === undefined ||
      use.kind !== 'shared' ||
      !isInShare(use, attemptId) ||
      !hasEngines(use, upstreams)
    ) {
      return false;
    }
    const known = this.countsByService.get(service);
    const counts =
      known?.orderId === order.orderId ? known : {requests: 0, assigned: 0};
    return (
      use.upstreamIds === undefined ||
      isExposureLeft(
        limits,
        {
          ...counts,
          requests: counts.requests + 1,
          elapsedPart: elapsedPartOf(use, trueTime),
        },
        hostCount(),
      )
    );
  }

  /** Returns the versions at which a request that is not bound may be placed. */
  constraintOf(
    request: VersionedRequest,
    context: VersionContext,
  ): VersionConstraint | undefined {
    const {steps, bounds} = this.options;
    if (bounds() !== undefined) {
      steps.recordListed(request.service, context.upstreams, context.now);
    }
    return this.peekConstraintOf(request, context);
  }

  /** Returns how the versions of a service may be used at `now`. */
  useOf(service: string, now: number): VersionUse {
    return this.options.steps.useOf(service, now);
  }

  /** Returns what `constraintOf` would return, and records no version. */
  peekConstraintOf(
    {service, isAssigned}: VersionedRequest,
    {upstreams, ordersReadAt, now}: VersionContext,
  ): VersionConstraint | undefined {
    const {steps, bounds} = this.options;
    if (bounds() === undefined) {
      return undefined;
    }
    const barred = steps.barredVersions(service, ordersReadAt, upstreams, now);
    const use = steps.useOf(service, now);
    switch (use.kind) {
      case 'free':
        return constraintExcept(barred);
      case 'ordered':
        return constraintExcept(
          isAlone(use, upstreams) ? barred : [use.softwareVersion, ...barred],
        );
      case 'withheld':
        return constraintExcept([use.softwareVersion, ...barred]);
      case 'shared':
        return (isAssigned || use.share === 1) && hasEngines(use, upstreams)
          ? constraintToNew(use)
          : constraintExcept([use.softwareVersion, ...barred]);
      case 'replaced': {
        const {softwareVersion, replacedVersions} = use;
        const isLeft = upstreams.some(upstream =>
          replacedVersions.includes(upstream.softwareVersion),
        );
        return isLeft
          ? {kind: 'only', softwareVersion}
          : constraintExcept(barred);
      }
    }
  }

  /** Returns whether a request may be sent to a version at this moment. */
  mayBeSent(
    request: VersionedRequest,
    softwareVersion: string,
    {upstreams, ordersReadAt, now}: VersionContext,
  ): boolean {
    const {steps, bounds} = this.options;
    const {service, isAssigned, isBound} = request;
    if (bounds() === undefined) {
      return true;
    }
    if (steps.barredVersions(service, ordersReadAt).includes(softwareVersion)) {
      return false;
    }
    const use = steps.useOf(service, now);
    switch (use.kind) {
      case 'free':
        return true;
      case 'ordered':
        return (
          softwareVersion !== use.softwareVersion || isAlone(use, upstreams)
        );
      case 'withheld':
        return softwareVersion !== use.softwareVersion;
      case 'shared': {
        if (isBound) {
          return true;
        }
        return softwareVersion === use.softwareVersion
          ? isAssigned || use.share === 1
          : use.share < 1 || !hasEngines(use, upstreams);
      }
      case 'replaced':
        return isBound || !use.replacedVersions.includes(softwareVersion);
    }
  }

  /** Records that a request is placed at a version. */
  recordBegun(service: string, softwareVersion: string): void {
    const versions = this.running.get(service) ?? new Map<string, number>();
    versions.set(softwareVersion, (versions.get(softwareVersion) ?? 0) + 1);
    this.running.set(service, versions);
  }

  /** Records that a request has ended at a version. */
  recordEnded(service: string, softwareVersion: string): void {
    const versions = this.running.get(service);
    const left = (versions?.get(softwareVersion) ?? 0) - 1;
    if (left > 0) {
      versions?.set(softwareVersion, left);
    } else {
      versions?.delete(softwareVersion);
    }
  }

  /**
   * Counts the beginning of an answer, at once: answers that begin late end late
   * as well.
   */
  recordStart(start: VersionStart, now: number): void {
    const {milliseconds, tokensToRead} = start;
    const sums = this.sumsOf(start, now);
    if (sums !== undefined && haveTimesMeaning(start, sums)) {
      addTime(sums.starts, timeWithoutReading(milliseconds, tokensToRead));
    }
  }

  /**
   * Counts a result while both versions have a share of the requests; returns
   * whether it was counted.
   */
  recordResult(result: VersionResult, now: number): boolean {
    const sums = this.sumsOf(result, now);
    if (sums === undefined) {
      return false;
    }
    switch (result.outcome) {
      case 'failed':
        sums.failed += 1;
        break;
      case 'answered':
        sums.answered += 1;
        break;
      case 'unfinished':
    }
    if (
      result.gapMilliseconds !== undefined &&
      haveTimesMeaning(result, sums)
    ) {
      addTime(sums.gaps, result.gapMilliseconds);
    }
    return true;
  }

  /** Returns the counts for an attempt; undefined if it does not count. */
  private sumsOf(
    {service, route, upstream}: VersionAttempt,
    now: number,
  ): Counts | undefined {
    const counts = this.countsOf(service);
    const use = this.options.steps.useOf(service, now);
    if (counts === undefined || use.kind !== 'shared') {
      return undefined;
    }
    const isNew = upstream.softwareVersion === use.softwareVersion;
    const upstreamId = isNew ? upstream.upstreamId : undefined;
    const key = JSON.stringify([route, upstreamId]);
    const sums = counts.results.get(key) ?? {
      route,
      upstreamId,
      answered: 0,
      failed: 0,
      starts: [],
      gaps: [],
    };
    counts.results.set(key, sums);
    return sums;
  }

  /** Returns what this host reports on the roll-outs that are in progress. */
  reports(now: number): readonly VersionResultReport[] {
    const {steps, processId, hostId, bounds} = this.options;
    if (bounds() === undefined || !steps.hasOpenOrder) {
      return [];
    }
    return steps.allOrders.flatMap(({service, orderId, softwareVersion}) => {
      const counts = this.countsOf(service);
      if (counts === undefined) {
        return [];
      }
      const use = steps.useOf(service, now);
      const isFollowing = use.kind === 'shared' || use.kind === 'replaced';
      const sequence = steps.recordOf(service)?.record.sequence ?? 0;
      return [
        {
          processId,
          hostId,
          service,
          orderId,
          sequence: isFollowing ? sequence : 0,
          runningElsewhere: this.runningBeside(service, softwareVersion),
          requests: counts.requests,
          assigned: counts.assigned,
          results: [...counts.results.values()].map(toReported),
        },
      ];
    });
  }

  /**
   * Returns the counts for the newest order of a service; undefined if the order
   * has been carried out or there is none.
   */
  private countsOf(service: string): OrderCounts | undefined {
    const order = this.openOrderOf(service);
    if (order === undefined) {
      this.countsByService.delete(service);
      return undefined;
    }
    const known = this.countsByService.get(service);
    if (known?.orderId === order.orderId) {
      return known;
    }
    const created = {
      orderId: order.orderId,
      requests: 0,
      assigned: 0,
      results: new Map<string, Counts>(),
    };
    this.countsByService.set(service, created);
    return created;
  }

  private openOrderOf(service: string): RolloutOrder | undefined {
    const {steps} = this.options;
    const order = steps.orderOf(service);
    return order !== undefined && steps.isOpen(order) ? order : undefined;
  }

  private runningBeside(service: string, softwareVersion: string): number {
    return [...(this.running.get(service) ?? [])]
      .filter(([version]) => version !== softwareVersion)
      .reduce((sum, [, count]) => sum + count, 0);
  }
}

/**
 * Returns whether the times of an attempt say something of its version. A guess
 * at the work before it assumes cached prompts, which engines of the new version
 * do not have at first, and leads to the same engine at every host.
 */
function haveTimesMeaning(
  {isGuess}: VersionAttempt,
  {upstreamId}: Counts,
): boolean {
  return upstreamId === undefined || !isGuess;
}

function toReported({upstreamId, ...counts}: Counts): VersionResultCounts {
  return upstreamId === undefined ? counts : {...counts, upstreamId};
}
