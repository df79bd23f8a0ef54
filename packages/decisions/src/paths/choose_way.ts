/**
 * The ways from this host to an upstream, and which of them an attempt takes next
 * as long as no byte of it has reached the upstream.
 */
import type {Member} from '../membership/member.js';

/** How an attempt gets to its upstream. */
export type Way =
  | {readonly kind: 'direct'}
  /** Through another entry host. */
  | {readonly kind: 'carried'; readonly carrier: Member};

/** The ways that an attempt has taken without reaching its upstream. */
export interface TriedWays {
  readonly isDirectTried: boolean;
  readonly triedHosts: ReadonlySet<string>;
}

/** What this host knows of the ways to an upstream. */
export interface KnownWays {
  /** Whether attempts start over this host's own link. */
  readonly isDirect: boolean;
  /** The next host that may carry the attempt, if there is one. */
  readonly carrier: Member | undefined;
}

/** Ways of an attempt that has not begun. */
export const NO_WAYS_TRIED: TriedWays = {
  isDirectTried: false,
  triedHosts: new Set(),
};

/** Largest number of hosts that are requested to relay one attempt. */
const MAXIMUM_CARRIERS = 3;

/** Returns the next way of an attempt; undefined if none is left. */
export function chooseWay(
  {isDirect, carrier}: KnownWays,
  {isDirectTried, triedHosts}: TriedWays,
): Way | undefined {
  if (isDirect && !isDirectTried) {
    return {kind: 'direct'};
  }
  if (carrier !== undefined && triedHosts.size < MAXIMUM_CARRIERS) {
    return {kind: 'carried', carrier};
  }
  return isDirectTried ? undefined : {kind: 'direct'};
}

/** Returns the tried ways with `way` added. */
export function withTriedWay(tried: TriedWays, way: Way): TriedWays {
  switch (way.kind) {
    case 'direct':
      return {...tried, isDirectTried: true};
    case 'carried':
      return {
        ...tried,
        triedHosts: new Set([...tried.triedHosts, way.carrier.hostId]),
      };
  }
}
