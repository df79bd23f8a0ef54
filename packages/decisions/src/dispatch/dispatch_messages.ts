/**
 * Messages between the fronts and the dispatcher of a shard.
 */
import type {HostClass} from '../configuration/configuration_objects.js';
import type {ErrorKind} from '../errors/error_kinds.js';

/** An upstream as the dispatcher sees it. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  /** IP number and port, as `127.0.0.1:8000`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly hostClass: HostClass;
  /** Price of an hour, in the operator's currency. */
  readonly pricePerHour: number;
  readonly isLeaving: boolean;
}

/** A front's request for a permit to use one upstream. */
export interface PermitAsk {
  readonly permitId: string;
  /** Entry host that asks. */
  readonly front: string;
  readonly service: string;
  readonly workspace: string;
  /** 0 (least urgent) to 9 (most urgent). */
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  /** Milliseconds that the ask may wait. */
  readonly maximumWait: number;
  /** Hash of each block of the prompt, chained from its start. */
  readonly prefixes: readonly string[];
  readonly hostClasses: readonly HostClass[];
  /** In order of preference; empty means any. */
  readonly failureDomains: readonly string[];
  /** Upstreams already tried. */
  readonly excluded: readonly string[];
  /** Whether the upstream may run nothing else meanwhile. */
  readonly isAlone: boolean;
}

/** A permit in use, as its front reports it. */
export interface HeldPermit {
  readonly permitId: string;
  readonly upstreamId: string;
  readonly isAlone: boolean;
  readonly workspace: string;
}

/** What a dispatcher is told. */
export type DispatchMessage =
  | {
      readonly kind: 'upstreams';
      readonly upstreams: readonly Upstream[];
      /** Calls that one upstream runs at once. */
      readonly concurrency: number;
    }
  | {readonly kind: 'leaving'; readonly upstreamId: string}
  | {readonly kind: 'ask'; readonly ask: PermitAsk}
  | {readonly kind: 'release'; readonly permitId: string}
  | {
      readonly kind: 'renew';
      readonly front: string;
      readonly permits: readonly HeldPermit[];
    }
  | {
      readonly kind: 'prefix-evicted';
      readonly upstreamId: string;
      readonly prefix: string;
    }
  | {readonly kind: 'tick'};

/** What a dispatcher decides. */
export type DispatchEffect =
  | {
      readonly kind: 'grant';
      readonly permitId: string;
      readonly upstream: Upstream;
      /** Milliseconds for which the ask waited. */
      readonly waited: number;
    }
  | {
      readonly kind: 'refuse';
      readonly permitId: string;
      readonly error: ErrorKind;
      readonly retryAfterSeconds: number;
    };
