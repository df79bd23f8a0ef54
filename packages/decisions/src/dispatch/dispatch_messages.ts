/**
 * The messages between the fronts and the dispatcher of a shard.
 */
import type {HostClass} from '../configuration/configuration_objects.js';
import type {ErrorKind} from '../errors/error_kinds.js';

/** The properties of an upstream that the dispatcher uses. */
export interface Upstream {
  readonly id: string;
  readonly service: string;
  /** IP address and port, such as `127.0.0.1:8000`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly hostClass: HostClass;
  /** Price per hour, in the operator's currency. */
  readonly pricePerHour: number;
  readonly isLeaving: boolean;
}

/** A front's request for a permit to use one upstream. */
export interface PermitRequest {
  readonly permitId: string;
  /** Entry host that sent the request. */
  readonly front: string;
  readonly service: string;
  readonly workspace: string;
  /** 0 (least urgent) to 9 (most urgent). */
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  /** Milliseconds that the request may wait for a slot. */
  readonly maximumWait: number;
  /** Hash of each block of the prompt and all blocks before it. */
  readonly prefixes: readonly string[];
  readonly hostClasses: readonly HostClass[];
  /** Allowed failure domains in order of preference; empty allows any. */
  readonly failureDomains: readonly string[];
  /** IDs of upstreams that were already tried. */
  readonly excluded: readonly string[];
  /** Whether the call must be the only one that the upstream runs. */
  readonly isAlone: boolean;
}

/** A permit in use, as reported by its front. */
export interface HeldPermit {
  readonly permitId: string;
  readonly upstreamId: string;
  readonly isAlone: boolean;
  readonly workspace: string;
}

/** A message to a dispatcher. */
export type DispatchMessage =
  | {
      readonly kind: 'upstreams';
      readonly upstreams: readonly Upstream[];
      /** Number of calls that one upstream runs concurrently. */
      readonly concurrency: number;
    }
  | {readonly kind: 'leaving'; readonly upstreamId: string}
  | {readonly kind: 'request'; readonly request: PermitRequest}
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

/** A decision of a dispatcher on one permit request. */
export type DispatchEffect =
  | {
      readonly kind: 'grant';
      readonly permitId: string;
      readonly upstream: Upstream;
      /** Milliseconds for which the request waited. */
      readonly waited: number;
    }
  | {
      readonly kind: 'refuse';
      readonly permitId: string;
      readonly error: ErrorKind;
      readonly retryAfterSeconds: number;
    };
