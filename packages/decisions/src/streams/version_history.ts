/**
 * The software versions of a service over time, as the store keeps them. A stream
 * begins at a listed version, so that the history names every version that can have
 * begun one, also if all hosts end: while none runs, no stream begins.
 *
 * It is written when a version comes or goes. It proves nothing after the store came
 * back from an older copy, which may lack versions, or beside hosts that do not
 * write it.
 */
import {z} from 'zod';

const VERSION_PERIOD_SCHEMA = z
  .object({
    softwareVersion: z.string(),
    /** Time at which it was last listed; absent while it is. */
    listedUntil: z.number().optional(),
  })
  .readonly();

const VERSION_HISTORY_SCHEMA = z
  .object({
    service: z.string(),
    /** Era of the store in which it was written. */
    era: z.number(),
    /** Time since which no version is missing; absent if it is not known. */
    completeSince: z.number().optional(),
    versions: z.array(VERSION_PERIOD_SCHEMA).readonly(),
  })
  .readonly();

/** A version and until when it was listed. */
export type VersionPeriod = z.infer<typeof VERSION_PERIOD_SCHEMA>;

/** The versions of one service; times in milliseconds since the epoch. */
export type VersionHistory = z.infer<typeof VERSION_HISTORY_SCHEMA>;

/** Decodes a history from the store; undefined if it is malformed. */
export function decodeVersionHistory(
  value: Buffer,
): VersionHistory | undefined {
  try {
    const parsed = VERSION_HISTORY_SCHEMA.safeParse(
      JSON.parse(value.toString()),
    );
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** What one host knows of the versions of a service. */
export interface KnownVersions {
  readonly service: string;
  /** Present era of the store. */
  readonly era: number;
  /** Versions that are listed now. */
  readonly listed: ReadonlySet<string>;
  /** Versions that are not listed any more, and when they last were. */
  readonly lastListed: ReadonlyMap<string, number>;
  /** Time since which this host knows every version; undefined if it does not. */
  readonly completeSince: number | undefined;
}

/** Milliseconds without a listing after which a version has gone. */
const GONE_MILLISECONDS = 3000;

/** Difference between two times of a last listing that matters. */
const TIME_TOLERANCE_MILLISECONDS = 2000;

/** Milliseconds for which a version that has gone is kept. */
const RETENTION_MILLISECONDS = 600_000;

/**
 * Returns the history that replaces `recorded`, the one in the store; undefined if
 * that one is up to date.
 */
export function reviseVersionHistory(
  recorded: VersionHistory | undefined,
  known: KnownVersions,
  now: number,
): VersionHistory | undefined {
  const trusted = recorded?.era === known.era ? recorded : undefined;
  const names = new Set([
    ...known.listed,
    ...known.lastListed.keys(),
    ...(recorded?.versions.map(({softwareVersion}) => softwareVersion) ?? []),
  ]);
  const versions = [...names].sort().flatMap(softwareVersion => {
    const period = recorded?.versions.find(
      version => version.softwareVersion === softwareVersion,
    );
    return revisePeriod(softwareVersion, period, known, now);
  });
  const completeSince =
    known.completeSince === undefined
      ? undefined
      : Math.min(trusted?.completeSince ?? Infinity, known.completeSince);
  const revised: VersionHistory = {
    service: known.service,
    era: known.era,
    ...(completeSince !== undefined && {completeSince}),
    versions,
  };
  return trusted !== undefined && isUpToDate(trusted, revised)
    ? undefined
    : revised;
}

function revisePeriod(
  softwareVersion: string,
  recorded: VersionPeriod | undefined,
  {listed, lastListed}: KnownVersions,
  now: number,
): readonly VersionPeriod[] {
  if (listed.has(softwareVersion)) {
    return [{softwareVersion}];
  }
  const lastListedAt = lastListed.get(softwareVersion);
  const isOpen = recorded !== undefined && recorded.listedUntil === undefined;
  if (isOpen && (lastListedAt ?? Infinity) > now - GONE_MILLISECONDS) {
    return [recorded];
  }
  const listedUntil = Math.max(
    recorded?.listedUntil ?? -Infinity,
    lastListedAt ?? -Infinity,
  );
  return listedUntil > now - RETENTION_MILLISECONDS
    ? [{softwareVersion, listedUntil}]
    : [];
}

/** Returns whether `recorded` states what `revised` does, in as far as it matters. */
function isUpToDate(
  recorded: VersionHistory,
  revised: VersionHistory,
): boolean {
  return (
    (recorded.completeSince === undefined) ===
      (revised.completeSince === undefined) &&
    revised.versions.every(period =>
      recorded.versions.some(known => isSamePeriod(known, period)),
    )
  );
}

function isSamePeriod(left: VersionPeriod, right: VersionPeriod): boolean {
  const {listedUntil: leftUntil = Infinity} = left;
  const {listedUntil: rightUntil = Infinity} = right;
  return (
    left.softwareVersion === right.softwareVersion &&
    (leftUntil === rightUntil ||
      Math.abs(leftUntil - rightUntil) <= TIME_TOLERANCE_MILLISECONDS)
  );
}
