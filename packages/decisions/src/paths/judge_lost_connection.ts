/**
 * Whether an upstream whose connections were all lost has ended, or the links of
 * this host were cut: which other hosts are queried, and what their answers show.
 *
 * Load pattern: an upstream crashes while other requests try it too, so that hosts
 * have failed to reach it lately; or all upstreams of a failure domain end at once;
 * or most hosts of a failure domain lose their links to every upstream.
 */
import type {Member} from '../membership/member.js';
import {shuffle} from '../util/shuffle.js';

/** What another host answers to the query which upstreams it reaches. */
export interface ReachReport {
  /** Those of the upstreams to which it could connect. */
  readonly reached: readonly string[];
  /** Whether it reaches no upstream at all, so that its answer means nothing. */
  readonly isCutOff: boolean;
  /** Those that it does not list; absent in answers of older builds. */
  readonly unlisted?: readonly string[];
}

/** What the answers of other hosts show of an upstream. */
export type ReachFinding =
  /** Another host does not reach it either. */
  | 'out-of-reach'
  /** Another host reaches it, or reaches it again. */
  | 'reached'
  /** No host with a sound link has answered. */
  | 'unknown';

/** The host that queries others. */
export interface QueryingHost {
  readonly failureDomain: string;
  /** Hosts that were queried before, or that reach no upstream. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Returns at most `count` of `hosts` to query. Hosts of other failure domains come
 * first, each of a domain of its own if possible, because those of one domain may
 * lose their links together.
 */
export function chooseWitnesses(
  hosts: readonly Member[],
  {failureDomain, excluded}: QueryingHost,
  count: number,
  random: () => number,
): readonly Member[] {
  const usable = shuffle(
    hosts.filter(({hostId}) => !excluded.has(hostId)),
    random,
  );
  const seen = new Set([failureDomain]);
  const first = usable.filter(host => {
    const isNew = !seen.has(host.failureDomain);
    seen.add(host.failureDomain);
    return isNew;
  });
  const rest = usable.filter(host => !first.includes(host));
  const isFar = (host: Member): boolean => host.failureDomain !== failureDomain;
  return [
    ...first,
    ...rest.filter(isFar),
    ...rest.filter(host => !isFar(host)),
  ].slice(0, count);
}

/** Returns what `reports` show of an upstream. */
export function findReach(
  upstreamId: string,
  reports: readonly ReachReport[],
): ReachFinding {
  if (reports.some(({reached}) => reached.includes(upstreamId))) {
    return 'reached';
  }
  const isOutOfReach = reports.some(
    ({isCutOff, unlisted = []}) => !isCutOff && !unlisted.includes(upstreamId),
  );
  return isOutOfReach ? 'out-of-reach' : 'unknown';
}

/** A process of an upstream to which the last connection was lost. */
export interface LostProcess {
  readonly upstreamId: string;
  /** IP address and port. */
  readonly address: string;
  /** Its start, as the list stated it; 0 if unknown. */
  readonly bornAt: number;
  /** See `UpstreamCrash`. */
  readonly runningSince: number;
}

/** An entry of the list of upstreams. */
export type ListedStart = Pick<
  LostProcess,
  'address' | 'bornAt' | 'upstreamId'
>;

/** Most by which the clocks of a host and an upstream differ, in milliseconds. */
const CLOCK_ERROR_MILLISECONDS = 500;

/**
 * Returns whether `listed` shows a process that has started in place of `lost`,
 * which has therefore ended: under its id, or at its address.
 */
export function isReplacedBy(lost: LostProcess, listed: ListedStart): boolean {
  const isAtItsPlace =
    listed.upstreamId === lost.upstreamId || listed.address === lost.address;
  return (
    isAtItsPlace &&
    listed.bornAt > lost.bornAt &&
    listed.bornAt > lost.runningSince + CLOCK_ERROR_MILLISECONDS
  );
}
