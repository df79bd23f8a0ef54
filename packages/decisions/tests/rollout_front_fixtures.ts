/** The records and the part of one host in a roll-out, for its tests. */
import {
  RolloutFront,
  type RolloutOrder,
  type RolloutRecord,
  type RolloutSteps,
  type UsableUpstream,
} from '../src/index.js';
import {BOUNDS} from './rollout_fixtures.js';

/** The order of the version `v2`. */
export const ORDER: RolloutOrder = {
  orderId: 'order-1',
  position: 10,
  service: 'service',
  softwareVersion: 'v2',
  durationMilliseconds: 16_000,
};

function engine(upstreamId: string, softwareVersion: string): UsableUpstream {
  return {
    upstreamId,
    service: 'service',
    softwareVersion,
    address: '',
    failureDomain: 'north',
    slots: 8,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}

/** The engines before the version is listed. */
export const OLD: readonly UsableUpstream[] = [engine('old', 'v1')];

/** The engines once it is listed. */
export const BOTH: readonly UsableUpstream[] = [...OLD, engine('new', 'v2')];

/** What all records of the order have in common. */
export const COMMON = {
  orderId: 'order-1',
  service: 'service',
  softwareVersion: 'v2',
  durationMilliseconds: 16_000,
  sequence: 4,
  deadline: 16_000,
  barredVersions: [],
} as const;

/** Returns the record of a test. */
export function testing(overrides: object = {}): RolloutRecord {
  return {
    ...COMMON,
    phase: 'testing',
    share: 0.1,
    upstreamIds: ['new'],
    ...overrides,
  };
}

/** Returns the part of the one host, which follows `steps`. */
export function createFront(
  steps: RolloutSteps,
  bounds: () => typeof BOUNDS | undefined = () => BOUNDS,
): RolloutFront {
  return new RolloutFront({
    processId: 'process',
    hostId: 'host',
    steps,
    bounds,
    hostCount: () => 1,
  });
}
