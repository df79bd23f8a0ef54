/**
 * The properties of a simulated engine, and the parts of its model that do not
 * depend on requests: noise and the reports of its load.
 */

/** Properties of an engine. */
export interface EngineProfile {
  /** Requests that run at once. */
  readonly slots: number;
  /** Requests that wait for a slot; more are turned away. */
  readonly queueCapacity: number;
  /** Milliseconds of a decoding step with an empty batch. */
  readonly stepMilliseconds: number;
  /** Milliseconds that each request in the batch adds to a step. */
  readonly stepMillisecondsPerStream: number;
  /** Prompt tokens read per millisecond while nothing is decoded. */
  readonly prefillTokensPerMillisecond: number;
  /** Prompt tokens that are read within one step. */
  readonly chunkTokens: number;
  /** Tokens that running requests and cached prompt parts share. */
  readonly memoryTokens: number;
  /** Speed of the engine as a multiple of the speeds above. */
  readonly speedFactor: number;
  /** Slowness that passes; absent for none. */
  readonly noise?: EngineNoise;
  /** Slowness of an engine that is nearly full; absent for none. */
  readonly crowding?: EngineCrowding;
  /** Milliseconds from the start of the process until it accepts requests. */
  readonly startupMilliseconds: number;
  /** Age in milliseconds of the load that the engine reports. */
  readonly reportLagMilliseconds: number;
}

/** Slowness that passes by itself. */
export interface EngineNoise {
  /** Share of the periods in which the engine is slow. */
  readonly share: number;
  /** Duration of all work in a slow period, as a multiple of the usual one. */
  readonly slowdown: number;
  readonly periodMilliseconds: number;
}

/** Slowness of an engine that is nearly full. */
export interface EngineCrowding {
  /** Share of the slots from which on the engine is slow. */
  readonly fromShare: number;
  /** Duration of all work then, as a multiple of the usual one. */
  readonly slowdown: number;
}

/** Load of an engine as it reports it. */
export interface EngineReport {
  /** Requests that run. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly queued: number;
  /** Prompt tokens still to read for running and waiting requests. */
  readonly unreadTokens: number;
  /** Tokens of memory that cannot be freed. */
  readonly usedTokens: number;
}

/** Load of an engine without requests. */
export const IDLE_REPORT: EngineReport = {
  running: 0,
  queued: 0,
  unreadTokens: 0,
  usedTokens: 0,
};

/** The noise of one engine over virtual time. */
export class NoisePeriods {
  private isSlow: boolean;
  private periodEnd: number;

  constructor(
    private readonly noise: EngineNoise | undefined,
    private readonly random: () => number,
    now: number,
  ) {
    this.isSlow = false;
    // Periods of different engines end at different times.
    this.periodEnd =
      noise === undefined
        ? Infinity
        : now + random() * noise.periodMilliseconds;
  }

  /** Virtual time at which the slowdown may change; infinity without noise. */
  get nextChangeTime(): number {
    return this.periodEnd;
  }

  /** Duration of work now, as a multiple of the usual one. */
  get slowdown(): number {
    return this.isSlow && this.noise !== undefined ? this.noise.slowdown : 1;
  }

  /** Starts the next period if the current one has ended at `now`. */
  advance(now: number): void {
    if (this.noise !== undefined && now >= this.periodEnd) {
      this.isSlow = this.random() < this.noise.share;
      this.periodEnd += this.noise.periodMilliseconds;
    }
  }
}

/** The reports of one engine, which show its load as it was a while ago. */
export class LaggingReports {
  private readonly states: {
    readonly time: number;
    readonly report: EngineReport;
  }[] = [];

  constructor(private readonly lagMilliseconds: number) {}

  /** Records the load from `now` on. */
  record(report: EngineReport, now: number): void {
    if (this.states.at(-1)?.time === now) {
      this.states.pop();
    }
    this.states.push({time: now, report});
    this.discardBefore(now - this.lagMilliseconds);
  }

  /** Returns the load that the engine reports at `now`. */
  reportAt(now: number): EngineReport {
    this.discardBefore(now - this.lagMilliseconds);
    const [first] = this.states;
    return first !== undefined && first.time <= now - this.lagMilliseconds
      ? first.report
      : IDLE_REPORT;
  }

  /** Keeps of the states up to `time` only the last one. */
  private discardBefore(time: number): void {
    const next = this.states.findIndex(state => state.time > time);
    const outdated = (next < 0 ? this.states.length : next) - 1;
    if (outdated > 0) {
      this.states.splice(0, outdated);
    }
  }
}
