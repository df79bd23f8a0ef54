/**
 * The engines of the model of a roll-out, as hosts choose between them.
 */
import type {UsableUpstream} from '@lacewingwinch/decisions';

const DOMAINS = 4;

/** Failures in a row after which an engine is not used for a while. */
const FAILURES_TO_EJECTION = 3;
const EJECTION_MILLISECONDS = 2000;

/** The load and health of all engines. */
export class RolloutEngines {
  private readonly load = new Map<string, number>();
  private readonly failuresInRow = new Map<string, number>();
  private readonly ejectedUntil = new Map<string, number>();

  /** Returns the requests in progress at an engine. */
  loadOf(upstreamId: string): number {
    return this.load.get(upstreamId) ?? 0;
  }

  /** Records that a request starts. */
  recordStart(upstreamId: string): void {
    this.load.set(upstreamId, this.loadOf(upstreamId) + 1);
  }

  /** Records that a request ends at `now`. */
  recordEnd(upstreamId: string, isFailed: boolean, now: number): void {
    this.load.set(upstreamId, this.loadOf(upstreamId) - 1);
    const failures = isFailed
      ? (this.failuresInRow.get(upstreamId) ?? 0) + 1
      : 0;
    this.failuresInRow.set(upstreamId, failures);
    if (failures >= FAILURES_TO_EJECTION) {
      this.ejectedUntil.set(upstreamId, now + EJECTION_MILLISECONDS);
    }
  }

  /** Takes the less loaded one of two engines, if possible sound ones. */
  place(
    allowed: readonly UsableUpstream[],
    now: number,
    random: () => number,
  ): UsableUpstream | undefined {
    const sound = allowed.filter(
      ({upstreamId}) => now >= (this.ejectedUntil.get(upstreamId) ?? 0),
    );
    const upstreams = sound.length > 0 ? sound : allowed;
    const draw = (): UsableUpstream | undefined =>
      upstreams[Math.floor(random() * upstreams.length)];
    const [left, right] = [draw(), draw()];
    return this.loadOf(left?.upstreamId ?? '') <=
      this.loadOf(right?.upstreamId ?? '')
      ? left
      : right;
  }
}

/** Returns an engine with a version. */
export function engineOf(
  service: string,
  softwareVersion: string,
  index: number,
): UsableUpstream {
  return {
    upstreamId: `${softwareVersion}-${index}`,
    service,
    softwareVersion,
    address: '',
    failureDomain: `domain-${index % DOMAINS}`,
    slots: 64,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
    knownSince: 0,
  };
}
