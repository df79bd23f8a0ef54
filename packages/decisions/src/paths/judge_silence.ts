/**
 * Which upstreams are tried because requests to them are silent. A sound upstream
 * may be silent for a second or longer, so that silence is a reason to look and
 * no reason to end a request.
 */

/** A request that was sent to an upstream and has no end yet. */
export interface OpenRequest {
  readonly upstreamId: string;
  readonly sentAt: number;
}

/** What is known of the signs of life of upstreams. */
export interface SignsOfLife {
  /** Time of the last sign of life of any upstream. */
  readonly anyReachedAt: number;
  reachedAt(upstreamId: string): number;
  /** Time of the last trial because of silence. */
  triedAt(upstreamId: string): number;
}

/**
 * Silence of every upstream after which the host doubts its links: in calm
 * operation some stream brings an event meanwhile.
 */
const SILENCE_OF_ALL_MILLISECONDS = 400;

/** Silence of one upstream after which the host doubts its link to it. */
const SILENCE_OF_ONE_MILLISECONDS = 2000;

/** Least time between two trials of an upstream because of silence. */
const TRIAL_INTERVAL_MILLISECONDS = 2000;

/** Largest number of upstreams that are tried at once. */
const MAXIMUM_TRIALS = 3;

/** Returns the upstreams to which a connection is tried now. */
export function upstreamsToTry(
  requests: readonly OpenRequest[],
  signs: SignsOfLife,
  now: number,
): readonly string[] {
  const areAllSilent = now - signs.anyReachedAt >= SILENCE_OF_ALL_MILLISECONDS;
  const patience = areAllSilent
    ? SILENCE_OF_ALL_MILLISECONDS
    : SILENCE_OF_ONE_MILLISECONDS;
  const silent = requests.filter(
    ({upstreamId, sentAt}) =>
      now - sentAt >= patience &&
      now - signs.reachedAt(upstreamId) >= patience &&
      now - signs.triedAt(upstreamId) >= TRIAL_INTERVAL_MILLISECONDS,
  );
  return [...new Set(silent.map(({upstreamId}) => upstreamId))].slice(
    0,
    MAXIMUM_TRIALS,
  );
}

/**
 * Returns whether a request whose upstream is out of this host's reach, and in
 * reach of another host, has brought nothing since the path was last sound.
 */
export function isCutOffRequest(
  {upstreamId, sentAt}: OpenRequest,
  signs: Pick<SignsOfLife, 'reachedAt'>,
  now: number,
): boolean {
  return (
    now - Math.max(sentAt, signs.reachedAt(upstreamId)) >=
    SILENCE_OF_ALL_MILLISECONDS
  );
}
