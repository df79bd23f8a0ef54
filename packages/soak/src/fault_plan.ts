/**
 * The faults of one run, drawn from its seed.
 */
import type {EngineBehavior} from '@lacewingwinch/stand-ins';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Ways in which a link fails. */
const LINK_FAULTS = [
  'delay',
  'reset',
  'silence',
  'cut-to-server',
  'cut-to-client',
] as const;

/** A way in which a link fails. */
export type LinkFault = (typeof LINK_FAULTS)[number];

/** A way in which an upstream answers while it fails. */
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

/** What happens. Targets are indexes; they wrap around. */
export type Fault =
  /** SIGKILL, and a new start after `milliseconds`. */
  | {readonly kind: 'kill'; readonly host: number}
  /** SIGSTOP, and SIGCONT after `milliseconds`. */
  | {readonly kind: 'freeze'; readonly host: number}
  /** SIGTERM, and a new start after the end. */
  | {readonly kind: 'stop'; readonly host: number}
  /** The time of day jumps, and back after `milliseconds`. */
  | {readonly kind: 'clock'; readonly host: number; readonly step: number}
  /** The link of a host to the store. */
  | {
      readonly kind: 'store-link';
      readonly host: number;
      readonly fault: LinkFault;
    }
  /** The link of all hosts to an upstream. */
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
  /** The store does `count` writes without an answer. */
  | {readonly kind: 'store-loses'; readonly count: number}
  /** The history of the list of upstreams is dropped. */
  | {readonly kind: 'store-expires'}
  /** A key is taken away; for good. */
  | {readonly kind: 'revoke'};

/** A fault and when it strikes. */
export interface PlannedFault {
  /** Milliseconds from the start of traffic. */
  readonly at: number;
  /** For how long, where it ends. */
  readonly milliseconds: number;
  readonly fault: Fault;
}

/** Milliseconds within which faults begin. */
export const FAULT_MILLISECONDS = 6000;

/** Longest fault: a lease (3,000 ms) or the time for a revocation (2,500 ms) runs out. */
const LONGEST_MILLISECONDS = 5500;
const SHORTEST_MILLISECONDS = 200;

const FEWEST_FAULTS = 3;
const MOST_FAULTS = 9;

/** Most milliseconds by which a time of day jumps. */
const LARGEST_STEP_MILLISECONDS = 5000;

const KINDS: readonly Fault['kind'][] = [
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

/** Targets are drawn from so many and wrap around to what there is. */
const TARGETS = 60;

/** The faults of the run with `seed`, in the order in which they strike. */
export function planFaults(seed: number): readonly PlannedFault[] {
  const generator = xoroshiro128plus(seed);
  const draw = (from: number, to: number): number =>
    uniformInt(generator, from, to);
  const pick = <T>(from: readonly T[]): T =>
    from[draw(0, from.length - 1)] as T;
  const count = draw(FEWEST_FAULTS, MOST_FAULTS);
  const planned = Array.from({length: count}, (): PlannedFault => {
    const target = draw(0, TARGETS - 1);
    return {
      at: draw(0, FAULT_MILLISECONDS),
      milliseconds: draw(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS),
      fault: faultOf(pick(KINDS), target, draw, pick),
    };
  });
  return planned.sort((left, right) => left.at - right.at);
}

function faultOf(
  kind: Fault['kind'],
  target: number,
  draw: (from: number, to: number) => number,
  pick: <T>(from: readonly T[]) => T,
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
        step: draw(-LARGEST_STEP_MILLISECONDS, LARGEST_STEP_MILLISECONDS),
      };
    case 'store-link':
      return {kind, host: target, fault: pick(LINK_FAULTS)};
    case 'engine-link':
      return {kind, engine: target, fault: pick(LINK_FAULTS)};
    case 'engine':
      return {kind, engine: target, fault: pick(ENGINE_FAULTS)};
    case 'store-loses':
      return {kind, count: draw(1, 3)};
    case 'store-down':
    case 'store-expires':
    case 'revoke':
      return {kind};
  }
}
