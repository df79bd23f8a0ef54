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

/** At which software version a stream may go on. */
export type Continuation =
  | {readonly kind: 'at-version'; readonly softwareVersion: string}
  /** The version is not known, and it is not guessed. */
  | {readonly kind: 'unknown'};

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
    return origins.every(origin => origin.service === service)
      ? onlyVersionOf(origins.map(({softwareVersion}) => softwareVersion))
      : {kind: 'unknown'};
  }
  return knowledge.some(({seen}) => seen.isComplete)
    ? onlyVersionOf(knowledge.flatMap(({seen}) => seen.versions))
    : {kind: 'unknown'};
}

function onlyVersionOf(versions: readonly string[]): Continuation {
  const [softwareVersion, ...others] = new Set(versions);
  return softwareVersion === undefined || others.length > 0
    ? {kind: 'unknown'}
    : {kind: 'at-version', softwareVersion};
}
