/**
 * The prompt parts of which a host knows sound runs.
 */

/** Duration of a generation; an entry is kept for one to two of them. */
const GENERATION_MILLISECONDS = 30_000;

/** Largest size of a generation: 10 s of 400 requests a second with two parts. */
const MAXIMUM_PARTS_PER_GENERATION = 8192;

/** The sound runs with a part. */
export interface SoundRuns {
  /** Time of the latest one. */
  readonly latestAt: number;
  readonly count: number;
}

/** Sound parts of one host, in two generations. */
export class SoundParts {
  private current = new Map<string, SoundRuns>();
  private previous = new Map<string, SoundRuns>();
  /** Time at which the current generation began. */
  private since = 0;

  /** Records that a run with the part `key` was sound at `time`. */
  add(key: string, time: number): void {
    this.rotateGenerations(time);
    const known = this.current.get(key);
    if (
      known !== undefined ||
      this.current.size < MAXIMUM_PARTS_PER_GENERATION
    ) {
      this.current.set(key, {
        latestAt: Math.max(known?.latestAt ?? time, time),
        count: (known?.count ?? 0) + 1,
      });
    }
  }

  /** Returns the sound runs with a part; undefined without one. */
  find(key: string): SoundRuns | undefined {
    const current = this.current.get(key);
    const previous = this.previous.get(key);
    return current === undefined
      ? previous
      : {
          latestAt: current.latestAt,
          count: current.count + (previous?.count ?? 0),
        };
  }

  private rotateGenerations(now: number): void {
    const age = now - this.since;
    if (age < GENERATION_MILLISECONDS) {
      return;
    }
    this.previous =
      age < 2 * GENERATION_MILLISECONDS
        ? this.current
        : new Map<string, SoundRuns>();
    this.current = new Map<string, SoundRuns>();
    this.since = now;
  }
}
