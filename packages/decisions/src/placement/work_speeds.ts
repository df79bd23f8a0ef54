/**
 * The speed at which the upstreams of a service do one kind of work, learned
 * from the results of requests. Upstreams differ for good, and each one is slow
 * at times. A sample therefore counts for the lasting speed only as far as it is
 * independent of the sample before, and for the passing slowness only as long as
 * such slowness lasts.
 */

/** A kind of work, and how far its durations are apart. */
export interface WorkKind {
  /** Milliseconds for a unit of work before anything was measured. */
  readonly usualMilliseconds: number;
  /**
   * Standard deviation of the logarithm of the duration between upstreams,
   * before any was measured.
   */
  readonly spread: number;
  /** The same between two samples of one upstream. */
  readonly noise: number;
  /** Milliseconds by which the start and end of a sample may be wrong. */
  readonly jitterMilliseconds: number;
  /** Milliseconds of the way to an upstream and back. */
  readonly overheadMilliseconds: number;
}

/** Reading prompts; the unit is a token. */
export const PROMPT_WORK: WorkKind = {
  usualMilliseconds: 1 / 40,
  spread: 0.5,
  noise: 0.35,
  jitterMilliseconds: 10,
  overheadMilliseconds: 15,
};

/** Producing an answer after its first token; the unit is an answer. */
export const DECODE_WORK: WorkKind = {
  usualMilliseconds: 500,
  spread: 0.4,
  noise: 1.2,
  jitterMilliseconds: 10,
  overheadMilliseconds: 0,
};

/** Serving a request of a service without prompts; the unit is a request. */
export const PLAIN_WORK: WorkKind = {
  usualMilliseconds: 50,
  spread: 0.4,
  noise: 0.6,
  jitterMilliseconds: 8,
  overheadMilliseconds: 0,
};

/** Work that an upstream has done. */
export interface WorkSample {
  readonly units: number;
  readonly milliseconds: number;
  /**
   * Whether the time began with the placement at an idle upstream, so that it
   * contains the way there and back.
   */
  readonly isFromIdle: boolean;
}

/** The speed of an upstream, as far as it is known. */
export interface WorkSpeed {
  /** Milliseconds for a unit of work now. */
  readonly millisecondsNow: number;
  /** Milliseconds for a unit of work on average. */
  readonly lastingMilliseconds: number;
  /** Standard deviation of the logarithm of the lasting duration. */
  readonly uncertainty: number;
}

/** A lasting speed that one host reports to another one. */
export type SpeedStatement = Pick<
  WorkSpeed,
  'lastingMilliseconds' | 'uncertainty'
>;

/** Time constant of slowness that passes. */
const PASSING_MILLISECONDS = 400;

/**
 * Time constant with which a speed that is not measured approaches that of the
 * other upstreams, so that one that was slow gets work again.
 */
const FORGETTING_MILLISECONDS = 30_000;

/** Least share of a sample that counts, however soon it follows another one. */
const MINIMUM_INDEPENDENCE = 0.05;

/**
 * Largest logarithm by which a sample may differ from what is expected. Larger
 * ones come from work that was not known, such as a part that was evicted.
 */
const MAXIMUM_DEVIATION = 1.2;

/** Weight of the newest sample in the passing slowness. */
const NEWEST_PASSING_WEIGHT = 0.6;

/**
 * Least part of the expected duration that is taken for work, however much of
 * the sample is overhead.
 */
const MINIMUM_WORK_SHARE = 0.4;

/** Smallest standard deviation assumed between the upstreams of a service. */
const MINIMUM_SPREAD = 0.2;

/**
 * Milliseconds for which a computed speed is kept. A dispatcher queries the
 * speeds of all engines some hundred times a second.
 */
const COMPUTED_MILLISECONDS = 25;

interface Learned {
  /** Logarithm of the lasting milliseconds for a unit. */
  mean: number;
  variance: number;
  /** Logarithm of the passing slowness at the last sample. */
  passing: number;
  sampledAt: number;
}

/** The speeds of the upstreams of one service. */
export class WorkSpeeds {
  private readonly learned = new Map<string, Learned>();
  /** Speeds that were computed a moment ago, by upstream. */
  private readonly computed = new Map<
    string,
    {readonly speed: WorkSpeed; readonly time: number}
  >();
  private prior: Pick<Learned, 'mean' | 'variance'> | undefined;

  constructor(private readonly kind: WorkKind) {}

  /** Returns the speed of an upstream at `now`. */
  speedOf(upstreamId: string, now: number): WorkSpeed {
    const computed = this.recentlyComputed(upstreamId, now);
    if (computed !== undefined) {
      return computed;
    }
    this.prior ??= this.currentPrior();
    const speed = this.computeSpeed(upstreamId, now);
    this.computed.set(upstreamId, {speed, time: now});
    return speed;
  }

  /** Returns what `speedOf` would return, and does not keep it. */
  peekSpeedOf(upstreamId: string, now: number): WorkSpeed {
    return (
      this.recentlyComputed(upstreamId, now) ??
      this.computeSpeed(upstreamId, now)
    );
  }

  private recentlyComputed(
    upstreamId: string,
    now: number,
  ): WorkSpeed | undefined {
    const computed = this.computed.get(upstreamId);
    return computed !== undefined &&
      Math.abs(now - computed.time) < COMPUTED_MILLISECONDS
      ? computed.speed
      : undefined;
  }

  private computeSpeed(upstreamId: string, now: number): WorkSpeed {
    const learned = this.learned.get(upstreamId);
    const {mean, variance} = this.lastingAt(learned, now);
    const lastingMilliseconds = Math.exp(mean);
    return {
      millisecondsNow:
        learned === undefined
          ? lastingMilliseconds
          : lastingMilliseconds * Math.exp(passingAt(learned, now)),
      lastingMilliseconds,
      uncertainty: Math.sqrt(variance),
    };
  }

  /** Records work that an upstream has done. */
  record(upstreamId: string, sample: WorkSample, now: number): void {
    const {noise, jitterMilliseconds, overheadMilliseconds} = this.kind;
    const before = this.learned.get(upstreamId);
    const learned = this.lastingAt(before, now);
    const elapsed =
      before === undefined ? Infinity : Math.max(0, now - before.sampledAt);
    const expected = sample.units * Math.exp(learned.mean);
    const milliseconds = Math.max(
      1e-3,
      expected * MINIMUM_WORK_SHARE,
      sample.milliseconds - (sample.isFromIdle ? overheadMilliseconds : 0),
    );
    const sampleVariance = noise ** 2 + (jitterMilliseconds / expected) ** 2;
    const independence = Math.max(
      MINIMUM_INDEPENDENCE,
      1 - Math.exp(-elapsed / PASSING_MILLISECONDS),
    );
    const {variance} = learned;
    const gain = variance / (variance + sampleVariance / independence);
    const value = Math.log(milliseconds / sample.units);
    const mean = learned.mean + gain * bounded(value - learned.mean);
    const passingBefore = before === undefined ? 0 : passingAt(before, now);
    const passing = bounded(value - mean) * (noise ** 2 / sampleVariance);
    this.learned.set(upstreamId, {
      mean,
      variance: variance * (1 - gain),
      passing:
        passingBefore + (passing - passingBefore) * NEWEST_PASSING_WEIGHT,
      sampledAt: now,
    });
    this.computed.delete(upstreamId);
    this.prior = undefined;
  }

  /** Takes over what another host knows, if it is more certain. */
  merge(upstreamId: string, statement: SpeedStatement, now: number): void {
    const variance = statement.uncertainty ** 2;
    const own = this.learned.get(upstreamId);
    const isUsable = statement.lastingMilliseconds > 0 && variance > 0;
    if (!isUsable || (own !== undefined && own.variance <= variance)) {
      return;
    }
    this.learned.set(upstreamId, {
      mean: Math.log(statement.lastingMilliseconds),
      variance,
      passing: own?.passing ?? 0,
      sampledAt: own?.sampledAt ?? now,
    });
    this.computed.delete(upstreamId);
    this.prior = undefined;
  }

  /** Returns what is known of the lasting speed; undefined if nothing is. */
  statementOf(upstreamId: string): SpeedStatement | undefined {
    const learned = this.learned.get(upstreamId);
    return learned === undefined
      ? undefined
      : {
          lastingMilliseconds: Math.exp(learned.mean),
          uncertainty: Math.sqrt(learned.variance),
        };
  }

  /** Discards what is known of an upstream that left or restarted. */
  forget(upstreamId: string): void {
    this.learned.delete(upstreamId);
    this.computed.delete(upstreamId);
    this.prior = undefined;
  }

  private lastingAt(
    learned: Learned | undefined,
    now: number,
  ): Pick<Learned, 'mean' | 'variance'> {
    const prior = this.currentPrior();
    if (learned === undefined) {
      return prior;
    }
    const elapsed = Math.max(0, now - learned.sampledAt);
    const kept = Math.exp(-elapsed / FORGETTING_MILLISECONDS);
    return {
      mean: prior.mean + (learned.mean - prior.mean) * kept,
      variance: prior.variance + (learned.variance - prior.variance) * kept,
    };
  }

  /** Returns what to expect of an upstream, by the others of the service. */
  private currentPrior(): Pick<Learned, 'mean' | 'variance'> {
    return this.prior ?? priorOf([...this.learned.values()], this.kind);
  }
}

function passingAt({passing, sampledAt}: Learned, now: number): number {
  return (
    passing * Math.exp(-Math.max(0, now - sampledAt) / PASSING_MILLISECONDS)
  );
}

function bounded(deviation: number): number {
  return Math.min(MAXIMUM_DEVIATION, Math.max(-MAXIMUM_DEVIATION, deviation));
}

/** Returns the mean and variance among the upstreams that were measured. */
function priorOf(
  learned: readonly Learned[],
  {usualMilliseconds, spread}: WorkKind,
): Pick<Learned, 'mean' | 'variance'> {
  if (learned.length === 0) {
    return {mean: Math.log(usualMilliseconds), variance: spread ** 2};
  }
  const weights = learned.map(({variance}) => 1 / (variance + spread ** 2));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const weightedSum = (valueOf: (item: Learned) => number): number =>
    learned.reduce(
      (sum, item, index) => sum + valueOf(item) * (weights[index] ?? 0),
      0,
    );
  const mean = weightedSum(item => item.mean) / total;
  const between = weightedSum(item => (item.mean - mean) ** 2) / total;
  // A few upstreams say little of how far the others are apart.
  const known = learned.length / (learned.length + 2);
  return {
    mean,
    variance: Math.max(
      MINIMUM_SPREAD ** 2,
      between * known + spread ** 2 * (1 - known),
    ),
  };
}
