/** Orders, engines and results for the tests of roll-outs. */
import {
  type ResultSums,
  type RolloutOrder,
  timeBin,
  type UsableUpstream,
} from '../src/index.js';

/** The bounds of the deployment. */
export const BOUNDS = {
  exposureFraction: 0.1,
  exposureSlack: 50,
  rollbackMilliseconds: 5000,
};

/** The order of the version `v2`. */
export const ORDER: RolloutOrder = {
  orderId: 'order-1',
  position: 1,
  service: 'service',
  softwareVersion: 'v2',
  durationMilliseconds: 16_000,
};

/** Returns an engine that runs a version. */
export function engine(
  upstreamId: string,
  softwareVersion: string,
): UsableUpstream {
  return {
    upstreamId,
    service: 'service',
    softwareVersion,
    address: '',
    failureDomain: `domain-${upstreamId.slice(-1)}`,
    slots: 8,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}

/** Engines of the version that serves. */
export const OLD = [engine('old-0', 'v1'), engine('old-1', 'v1')];

/** Engines of the version that is ordered. */
export const NEW = [0, 1, 2, 3].map(index => engine(`new-${index}`, 'v2'));

/** Returns results whose times are all in one bin. */
export function results(
  answered: number,
  failed: number,
  {start = 100, slow = 0}: {start?: number; slow?: number} = {},
): ResultSums {
  const starts = Array.from({length: timeBin(start * 16) + 1}, () => 0);
  starts[timeBin(start)] = answered - slow;
  starts[timeBin(start * 16)] = slow;
  return {answered, failed, starts, gaps: []};
}
