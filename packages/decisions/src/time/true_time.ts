/**
 * True time as the hosts agree on it. Answers clocks whose time of day jumps
 * by seconds on some hosts: the median of what the hosts say is not moved by a
 * minority.
 */

/** Milliseconds after which what another host said is too old to count. */
const STALE_MILLISECONDS = 15_000;

interface Sample {
  /** Time of day less the steady time of this host, by the other's clock. */
  readonly offset: number;
  readonly takenAt: number;
}

/** Samples of the time of day of other hosts. */
export class TrueTime {
  private readonly samples = new Map<string, Sample>();

  /** Notes that `hostId` had the time of day `timeOfDay` at `steady`. */
  note(hostId: string, timeOfDay: number, steady: number): void {
    this.samples.set(hostId, {
      offset: timeOfDay - steady,
      takenAt: steady,
    });
  }

  /** Milliseconds since the epoch, by the median of the hosts. */
  now(ownTimeOfDay: number, steady: number): number {
    const offsets = [...this.samples.values()]
      .filter(({takenAt}) => steady - takenAt < STALE_MILLISECONDS)
      .map(({offset}) => offset);
    offsets.push(ownTimeOfDay - steady);
    offsets.sort((left, right) => left - right);
    const middle = offsets[Math.floor((offsets.length - 1) / 2)] ?? 0;
    return steady + middle;
  }
}
