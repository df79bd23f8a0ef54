/**
 * Runs whose end does not show whether their upstream lives on, because their
 * answers end with the connection. Such a run was sound if the upstream lives some
 * time after it began to answer.
 */

/** An incarnation of an upstream. */
export interface UpstreamOfRun {
  readonly upstreamId: string;
  readonly bornAt: number;
  readonly service: string;
  readonly address: string;
}

/** A run that ended. */
export interface UnconfirmedRun extends UpstreamOfRun {
  readonly parts: readonly string[];
  /** Clock reading at its end. */
  readonly endedAt: number;
  /** Clock reading from which a sign of life shows that the run was sound. */
  readonly soundFrom: number;
}

/** Largest number of runs that are kept. */
const MAXIMUM_RUNS = 256;

/** Milliseconds for which a sign of life is awaited. */
const PATIENCE_MILLISECONDS = 10_000;

/** Dependencies of `UnconfirmedRuns`. */
export interface UnconfirmedRunsDependencies {
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns whether an upstream runs. */
  readonly isAlive: (upstream: UpstreamOfRun) => Promise<boolean>;
  /** Called with a run that was sound, and the milliseconds since. */
  readonly onSound: (run: UnconfirmedRun, millisecondsAgo: number) => void;
}

/** The runs of one entry host that await a sign of life of their upstream. */
export class UnconfirmedRuns {
  /** Oldest first. */
  private runs: readonly UnconfirmedRun[] = [];
  private isConnecting = false;

  constructor(private readonly dependencies: UnconfirmedRunsDependencies) {}

  /**
   * Adds a run. If `isUrgent`, a sign of life of the upstream is requested as soon
   * as one counts.
   */
  add(run: UnconfirmedRun, isUrgent: boolean): void {
    this.runs = [...this.runs.slice(-MAXIMUM_RUNS + 1), run];
    if (isUrgent) {
      const wait = Math.max(0, run.soundFrom - this.dependencies.clock());
      setTimeout(() => void this.askForSignOfLife(run), wait).unref();
    }
  }

  /**
   * Records that an upstream lives, whose process has run for `milliseconds` or
   * longer. Another process may have started under its id since a run ended, which
   * the list does not show yet.
   */
  recordSignOfLife(
    {upstreamId, bornAt}: Pick<UpstreamOfRun, 'bornAt' | 'upstreamId'>,
    milliseconds: number,
  ): void {
    const now = this.dependencies.clock();
    this.confirm(
      run =>
        run.upstreamId === upstreamId &&
        run.bornAt === bornAt &&
        now - milliseconds <= run.endedAt,
      now,
    );
  }

  private confirm(
    isOfLivingProcess: (run: UnconfirmedRun) => boolean,
    now: number,
  ): void {
    if (this.runs.length === 0) {
      return;
    }
    const {onSound} = this.dependencies;
    const isSound = (run: UnconfirmedRun): boolean =>
      now >= run.soundFrom && isOfLivingProcess(run);
    const soundRuns = this.runs.filter(isSound);
    this.runs = this.runs.filter(
      run => !isSound(run) && now - run.soundFrom < PATIENCE_MILLISECONDS,
    );
    soundRuns.forEach(run => onSound(run, now - run.soundFrom));
  }

  /**
   * Connects to the upstream of a run, unless it has answered since or another
   * connection is under way.
   */
  private async askForSignOfLife(run: UnconfirmedRun): Promise<void> {
    if (!this.runs.includes(run) || this.isConnecting) {
      return;
    }
    this.isConnecting = true;
    const isAlive = await this.dependencies.isAlive(run);
    this.isConnecting = false;
    if (isAlive) {
      const {upstreamId, bornAt} = run;
      // An upstream that crashed is not back so soon.
      this.confirm(
        other => other.upstreamId === upstreamId && other.bornAt === bornAt,
        this.dependencies.clock(),
      );
    }
  }
}
