/**
 * Generates the faults of a run from its seed.
 */
import type {EngineBehavior, LinkCut} from '@lacewingwinch/stand-ins';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import {CROWD_KINDS, type CrowdKind} from './soak_crowds.js';

/** The ways in which a network link fails. */
const LINK_FAULTS = [
  'delay',
  'reset',
  'silence',
  'cut-to-server',
  'cut-to-client',
] as const;

/** A way in which a network link fails. */
export type LinkFault = (typeof LINK_FAULTS)[number];

const LINK_CUTS: readonly LinkCut[] = ['hang', 'refuse-new', 'reset'];

/** A way in which an upstream misbehaves while it is reachable. */
type EngineFault = Exclude<EngineBehavior, 'answer'>;

const ENGINE_FAULTS: readonly EngineFault[] = [
  'fail',
  'lose',
  'shed',
  'hang',
  'break-off',
  'busy',
  'answer-another',
  'answer-unsigned',
];

/** Faults that were added later; see `planFaults`. */
const LATER_ENGINE_FAULTS: readonly EngineFault[] = [
  'flood',
  'trickle',
  'answer-unframed',
  'break-off-unframed',
];

/** A fault. Targets are indexes that wrap around. */
export type Fault =
  /** The process gets SIGKILL and is restarted at the end of the fault. */
  | {readonly kind: 'kill'; readonly host: number}
  /** The process gets SIGSTOP, and SIGCONT at the end of the fault. */
  | {readonly kind: 'freeze'; readonly host: number}
  /** The process gets SIGTERM and is restarted after it has exited. */
  | {readonly kind: 'stop'; readonly host: number}
  /**
   * The time of day jumps by `step` milliseconds, and back at the end of the
   * fault.
   */
  | {readonly kind: 'clock'; readonly host: number; readonly step: number}
  /** The link from one host to the store fails. */
  | {
      readonly kind: 'store-link';
      readonly host: number;
      readonly fault: LinkFault;
    }
  /** The link from all hosts to one upstream fails. */
  | {
      readonly kind: 'engine-link';
      readonly engine: number;
      readonly fault: LinkFault;
    }
  | {
      readonly kind: 'engine';
      readonly engine: number;
      readonly fault: EngineFault;
    }
  | {readonly kind: 'store-down'}
  /** The store executes `count` writes without answering them. */
  | {readonly kind: 'store-loses'; readonly count: number}
  /** The store drops the history of the upstream list. */
  | {readonly kind: 'store-expires'}
  /**
   * The store is down and is restored from a copy of the start of the fault;
   * what operators and upstreams wrote since is written again.
   */
  | {readonly kind: 'store-comes-back'}
  /**
   * The upstream says in all its answers that it is leaving, and starts again
   * under its id at the end of the fault.
   */
  | {readonly kind: 'engine-leaves'; readonly engine: number}
  /** The upstream names a limit of requests a second in all its answers. */
  | {readonly kind: 'engine-limits'; readonly engine: number}
  /** Every model engine crashes when it begins to answer a certain part. */
  | {readonly kind: 'crashing-part'}
  /** Every second model engine starts again with another software version. */
  | {readonly kind: 'engine-versions'}
  /** The link from all other hosts to one host fails. */
  | {
      readonly kind: 'peer-link';
      readonly host: number;
      readonly fault: LinkFault;
    }
  /** The links from one host to all upstreams fail, and no other link. */
  | {
      readonly kind: 'upstream-links';
      readonly host: number;
      readonly form: LinkCut;
    }
  /** The upstream refuses every request and requests a pause. */
  | {readonly kind: 'engine-pauses'; readonly engine: number}
  /** Clients that do not behave come to one host. */
  | {readonly kind: 'crowd'; readonly host: number; readonly crowd: CrowdKind}
  /** A key is revoked permanently. */
  | {readonly kind: 'revoke'};

/** A fault and the time at which it starts. */
export interface PlannedFault {
  /** Milliseconds since the start of traffic. */
  readonly startsAtMilliseconds: number;
  /** Duration of the fault; faults of some kinds do not end. */
  readonly durationMilliseconds: number;
  readonly fault: Fault;
}

/** Period from the start of traffic in which faults start. */
export const FAULT_WINDOW_MILLISECONDS = 6000;

/**
 * Long enough for a lease (3,000 ms) or the revocation deadline (2,500 ms) to
 * expire during a fault.
 */
const MAXIMUM_DURATION_MILLISECONDS = 5500;
const MINIMUM_DURATION_MILLISECONDS = 200;

/** Maximum number of faults of the kinds that were added later. */
const MAXIMUM_LATER_FAULTS = 3;

const MINIMUM_FAULTS = 3;
const MAXIMUM_FAULTS = 9;

/** Maximum jump of the time of day in either direction. */
const MAXIMUM_CLOCK_STEP_MILLISECONDS = 5000;

/** Kinds to draw from; a kind that is listed twice is twice as likely. */
const WEIGHTED_FAULT_KINDS: readonly Fault['kind'][] = [
  'kill',
  'kill',
  'freeze',
  'freeze',
  'stop',
  'clock',
  'store-link',
  'store-link',
  'engine-link',
  'engine-link',
  'engine',
  'engine',
  'store-down',
  'store-loses',
  'store-expires',
  'revoke',
];

/** Kinds that were added later. */
const LATER_FAULT_KINDS: readonly Fault['kind'][] = [
  'store-comes-back',
  'engine-leaves',
  'engine-pauses',
  'engine',
];

/** Kinds that were added last. */
const LATEST_FAULT_KINDS: readonly Fault['kind'][] = [
  'engine-limits',
  'crashing-part',
  'engine-versions',
  'peer-link',
  'peer-link',
  'upstream-links',
  'upstream-links',
  'upstream-links',
];

/** Distances of the seeds from which the latest kinds and crowds are drawn. */
const LATEST_SEED_OFFSET = 1_000_000;
const CROWD_SEED_OFFSET = 2_000_000;

/** Maximum number of crowds. */
const MAXIMUM_CROWDS = 2;

/**
 * Number of target indexes to draw from. They wrap around at the number of
 * hosts or upstreams in the run.
 */
const TARGET_INDEXES = 60;

/**
 * Returns the faults of the run with `seed`, ordered by start time. Kinds that
 * were added later are drawn from a generator of their own, so that the other
 * faults of a seed stay the same.
 */
export function planFaults(seed: number): readonly PlannedFault[] {
  return [
    ...drawFaults(seed, {
      kinds: WEIGHTED_FAULT_KINDS,
      engineFaults: ENGINE_FAULTS,
      minimum: MINIMUM_FAULTS,
      maximum: MAXIMUM_FAULTS,
    }),
    ...drawFaults(-seed - 1, {
      kinds: LATER_FAULT_KINDS,
      engineFaults: LATER_ENGINE_FAULTS,
      minimum: 0,
      maximum: MAXIMUM_LATER_FAULTS,
    }),
    ...drawFaults(seed + LATEST_SEED_OFFSET, {
      kinds: LATEST_FAULT_KINDS,
      engineFaults: LATER_ENGINE_FAULTS,
      minimum: 0,
      maximum: MAXIMUM_LATER_FAULTS,
    }),
    ...drawFaults(seed + CROWD_SEED_OFFSET, {
      kinds: ['crowd'],
      engineFaults: [],
      minimum: 0,
      maximum: MAXIMUM_CROWDS,
    }),
  ].sort(
    (left, right) => left.startsAtMilliseconds - right.startsAtMilliseconds,
  );
}

interface FaultRange {
  readonly kinds: readonly Fault['kind'][];
  readonly engineFaults: readonly EngineFault[];
  readonly minimum: number;
  readonly maximum: number;
}

function drawFaults(seed: number, range: FaultRange): readonly PlannedFault[] {
  const generator = xoroshiro128plus(seed);
  const draw = (from: number, to: number): number =>
    uniformInt(generator, from, to);
  const pick = <T>(from: readonly T[]): T =>
    from[draw(0, from.length - 1)] as T;
  const count = draw(range.minimum, range.maximum);
  return Array.from({length: count}, (): PlannedFault => {
    const target = draw(0, TARGET_INDEXES - 1);
    return {
      startsAtMilliseconds: draw(0, FAULT_WINDOW_MILLISECONDS),
      durationMilliseconds: draw(
        MINIMUM_DURATION_MILLISECONDS,
        MAXIMUM_DURATION_MILLISECONDS,
      ),
      fault: createFault(pick(range.kinds), target, draw, pick, range),
    };
  });
}

function createFault(
  kind: Fault['kind'],
  target: number,
  draw: (from: number, to: number) => number,
  pick: <T>(from: readonly T[]) => T,
  {engineFaults}: FaultRange,
): Fault {
  switch (kind) {
    case 'kill':
    case 'freeze':
    case 'stop':
      return {kind, host: target};
    case 'clock':
      return {
        kind,
        host: target,
        step: draw(
          -MAXIMUM_CLOCK_STEP_MILLISECONDS,
          MAXIMUM_CLOCK_STEP_MILLISECONDS,
        ),
      };
    case 'store-link':
      return {kind, host: target, fault: pick(LINK_FAULTS)};
    case 'engine-link':
      return {kind, engine: target, fault: pick(LINK_FAULTS)};
    case 'engine':
      return {kind, engine: target, fault: pick(engineFaults)};
    case 'store-loses':
      return {kind, count: draw(1, 3)};
    case 'peer-link':
      return {kind, host: target, fault: pick(LINK_FAULTS)};
    case 'upstream-links':
      return {kind, host: target, form: pick(LINK_CUTS)};
    case 'crowd':
      return {kind, host: target, crowd: pick(CROWD_KINDS)};
    case 'engine-leaves':
    case 'engine-pauses':
    case 'engine-limits':
      return {kind, engine: target};
    case 'store-down':
    case 'store-expires':
    case 'store-comes-back':
    case 'crashing-part':
    case 'engine-versions':
    case 'revoke':
      return {kind};
  }
}

/** Returns `faults` with a stop and a new start of each host in turn. */
export function withReplacements(
  faults: readonly PlannedFault[],
  hosts: number,
): readonly PlannedFault[] {
  const stops = Array.from({length: hosts}, (_, host): PlannedFault => ({
    fault: {kind: 'stop', host},
    startsAtMilliseconds: (host * FAULT_WINDOW_MILLISECONDS) / hosts,
    durationMilliseconds: 0,
  }));
  return [...faults, ...stops].sort(
    (left, right) => left.startsAtMilliseconds - right.startsAtMilliseconds,
  );
}
