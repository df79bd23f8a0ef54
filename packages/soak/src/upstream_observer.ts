/**
 * What the upstreams of a run saw of limits, crashing parts and software versions.
 */
import type {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';

import type {ObservedLimit} from './check_guarantees.js';
import type {PlannedFault} from './fault_plan.js';
import {CRASHING_MARK} from './soak_clients.js';

/** Time after which hosts must keep to a limit, or refuse a crashing part. */
const REACTION_MILLISECONDS = 3000;

const WINDOW_MILLISECONDS = 4000;
const TOLERATED_SHARE = 1.5;
const TOLERATED_REQUESTS = 5;

/** Crashes after which a part must be refused. */
const NOTICED_CRASHES = 5;

/** Requests with the part that each host or the fleet may still send. */
const TOLERATED_CRASHING_REQUESTS = 3;

/** A limit that an upstream named. */
export interface NamedLimit {
  readonly engine: RoutedEngineStandIn;
  readonly requestsPerSecond: number;
  /** Milliseconds since the epoch. */
  readonly from: number;
  readonly to: number;
}

/** Returns the most requests in a window while each limit was named. */
export function observeLimits(
  limits: readonly NamedLimit[],
): readonly ObservedLimit[] {
  return limits.map(({engine, requestsPerSecond, from, to}) => {
    const counted = engine.arrivals.filter(
      time => time > from + REACTION_MILLISECONDS && time < to,
    );
    const most = Math.max(
      0,
      ...counted.map(
        start =>
          counted.filter(
            time => time >= start && time < start + WINDOW_MILLISECONDS,
          ).length,
      ),
    );
    const tolerated =
      (requestsPerSecond * TOLERATED_SHARE * WINDOW_MILLISECONDS) / 1000 +
      TOLERATED_REQUESTS;
    return {upstreamId: engine.upstreamId, most, tolerated};
  });
}

/**
 * Returns the requests with the crashing part that reached engines late. Each
 * fault of a host, its links or the store excuses one more.
 */
export function observeCrashing(
  engines: readonly RoutedEngineStandIn[],
  faults: readonly PlannedFault[],
): {readonly executed: number; readonly tolerated: number} {
  const crashes = engines
    .flatMap(engine => engine.crashes)
    .sort((left, right) => left - right);
  const fifth = crashes[NOTICED_CRASHES - 1] ?? Infinity;
  const late = engines
    .flatMap(engine => engine.ran)
    .filter(
      ({attemptId, at}) =>
        attemptId.includes(CRASHING_MARK) && at > fifth + REACTION_MILLISECONDS,
    );
  const excusing = faults.filter(({fault}) => 'host' in fault).length;
  return {
    executed: late.length,
    tolerated: TOLERATED_CRASHING_REQUESTS + excusing,
  };
}

/** Returns the attempts whose stream went on at another software version. */
export function observeMixedVersions(
  engines: readonly RoutedEngineStandIn[],
): readonly string[] {
  const versions = new Map<string, Set<string>>();
  const inOrder = engines
    .flatMap(({ran}) => ran)
    .sort((left, right) => left.at - right.at);
  for (const {attemptId, isContinuation, softwareVersion} of inOrder) {
    const known = versions.get(attemptId) ?? new Set<string>();
    versions.set(
      attemptId,
      isContinuation ? known.add(softwareVersion) : new Set([softwareVersion]),
    );
  }
  return [...versions]
    .filter(([, seen]) => seen.size > 1)
    .map(([attemptId]) => attemptId);
}
