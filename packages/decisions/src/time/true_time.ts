/**
 * An estimate of the true time from the clocks of all hosts. The time of day
 * can jump by seconds on some hosts; the median is not affected by a minority.
 */

/** Milliseconds after which the sample of another host is ignored. */
const SAMPLE_RETENTION_MILLISECONDS = 15_000;

interface Sample {
  /** The other host's time of day minus the steady time of this host. */
  readonly offset: number;
  readonly takenAt: number;
}

/** The latest time of day of each other host. */
export class TrueTime {
  private readonly samples = new Map<string, Sample>();

  /** Records the time of day of `hostId` at the steady time `steady`. */
  recordSample(hostId: string, timeOfDay: number, steady: number): void {
    this.samples.set(hostId, {
      offset: timeOfDay - steady,
      takenAt: steady,
    });
  }

  /** Returns the median time of the hosts, in milliseconds since the epoch. */
  now(ownTimeOfDay: number, steady: number): number {
    const offsets = [...this.samples.values()]
      .filter(({takenAt}) => steady - takenAt < SAMPLE_RETENTION_MILLISECONDS)
      .map(({offset}) => offset);
    offsets.push(ownTimeOfDay - steady);
    offsets.sort((left, right) => left - right);
    const medianOffset = offsets[Math.floor((offsets.length - 1) / 2)] ?? 0;
    return steady + medianOffset;
  }
}
