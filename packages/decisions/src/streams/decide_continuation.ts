/**
 * The software version at which a stream may go on. What two versions produce
 * does not fit together, and engines do not check it.
 */
import type {SeenVersions} from './software_versions.js';
import type {StreamOrigin} from './stream_origins.js';

/** What one host knows of the origin of a stream. */
export interface OriginKnowledge {
  readonly origin?: StreamOrigin;
  /** The versions that the host has seen for as long as a stream lasts. */
  readonly seen: SeenVersions;
}

/** Why the software version that began a stream is not known. */
export type UnknownCause =
  /** Records of its origin contradict each other, or name another service. */
  | 'contradictory-records'
  /** Versions may have been listed that no host knows. */
  | 'incomplete-history'
  /** Each of several versions may have begun it, or none is known. */
  | 'ambiguous-history';

/** At which software version a stream may go on. */
export type Continuation =
  | {
      readonly kind: 'at-version';
      readonly softwareVersion: string;
      /** What shows it: a record of its origin, or the history of versions. */
      readonly basis: 'history' | 'record';
    }
  /** The version is not known, and it is not guessed. */
  | {readonly kind: 'unknown'; readonly cause: UnknownCause};

/** Clients take up a stream within the time for which its rule keeps them. */
const LIFETIME_TIMEOUTS = 2;

/** Returns the milliseconds for which a stream of a rule may be taken up. */
export function streamLifetimeMilliseconds(rule: {
  readonly timeoutMilliseconds: number;
}): number {
  return rule.timeoutMilliseconds * LIFETIME_TIMEOUTS;
}

/** Decides by what some hosts know of a stream of `service`. */
export function decideContinuation(
  service: string,
  knowledge: readonly OriginKnowledge[],
): Continuation {
  const origins = knowledge.flatMap(({origin}) => origin ?? []);
  if (origins.length > 0) {
    const recorded = onlyOf(
      origins.map(({softwareVersion}) => softwareVersion),
    );
    return recorded !== undefined &&
      origins.every(origin => origin.service === service)
      ? {kind: 'at-version', softwareVersion: recorded, basis: 'record'}
      : {kind: 'unknown', cause: 'contradictory-records'};
  }
  if (!knowledge.some(({seen}) => seen.isComplete)) {
    return {kind: 'unknown', cause: 'incomplete-history'};
  }
  const listed = onlyOf(knowledge.flatMap(({seen}) => seen.versions));
  return listed === undefined
    ? {kind: 'unknown', cause: 'ambiguous-history'}
    : {kind: 'at-version', softwareVersion: listed, basis: 'history'};
}

/** Returns the only one of `versions`; undefined if there are others or none. */
function onlyOf(versions: readonly string[]): string | undefined {
  const [version, ...others] = new Set(versions);
  return others.length === 0 ? version : undefined;
}
