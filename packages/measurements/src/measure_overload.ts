/**
 * Measures behaviour under overload: retry amplification while half of the
 * upstreams fail, fairness among workspaces while one of them sends too many
 * requests, how closely hosts keep a shared limit, and who is served by the rule of
 * admission.
 */
import {decideRetry, LimitShares, RetryBudget} from '@lacewingwinch/decisions';

import {figureOf, percentile, renderFigure} from './figures.js';
import {measureAdmission} from './measure_admission.js';
import {exponential, randomFrom, SEEDS} from './random_numbers.js';
import {Simulation} from './simulate.js';
import {makeWorkload, WORKLOAD_SHAPES, type WorkloadShape} from './workload.js';

/** Virtual milliseconds of each run. */
const DURATION_MILLISECONDS = 60_000;

/** Requests per second in the retry measurement. */
const RETRY_REQUESTS_PER_SECOND = 200;

/** Fraction of the upstreams that fail. */
const FAILING_SHARE = 0.5;

/** Retries as a fraction of the first attempts. */
const RETRY_BUDGET_FRACTION = 0.1;

/**
 * Retries that the budget always allows: as many as one upstream runs requests
 * at once, so that all of them can be repeated when it fails.
 */
const MINIMUM_RETRIES = 16;

/** Load without the flood, as a fraction of the capacity. */
const BASE_LOAD = 0.6;

/** Load of the flooding workspace as a multiple of its usual load. */
const FLOOD_FACTOR = 10;

/** Limit that several hosts share, in requests per second. */
const LIMIT_REQUESTS_PER_SECOND = 100;

/** Number of hosts that share the limit. */
const LIMIT_HOST_COUNT = 8;

/** Measures retries, fairness and a shared limit under overload. */
export function measureOverload(): Promise<unknown> {
  const amplification = figureOf(SEEDS.map(measureAmplification));
  process.stdout.write(
    `attempts a request while half the upstreams fail: ${renderFigure(amplification, 3)}\n`,
  );
  const fairness = WORKLOAD_SHAPES.map(measureFairness);
  const limits = {
    connected: figureOf(SEEDS.map(seed => measureLimit(seed, false))),
    partitioned: figureOf(SEEDS.map(seed => measureLimit(seed, true))),
  };
  process.stdout.write(
    `requests a second let through of a limit of ${LIMIT_REQUESTS_PER_SECOND}, one host loaded: connected ${renderFigure(limits.connected, 1)}, ` +
      `in a partition ${renderFigure(limits.partitioned, 1)}\n`,
  );
  const admission = measureAdmission();
  return Promise.resolve({amplification, fairness, limits, admission});
}

function measureAmplification(seed: number): number {
  const random = randomFrom(seed);
  const budget = new RetryBudget();
  let requests = 0;
  let attempts = 0;
  for (
    let now = 0;
    now < DURATION_MILLISECONDS;
    now += exponential(random, RETRY_REQUESTS_PER_SECOND / 1000)
  ) {
    requests += 1;
    attempts += countAttempts(budget, now, random);
  }
  return attempts / requests;
}

function countAttempts(
  budget: RetryBudget,
  now: number,
  random: () => number,
): number {
  budget.addFirstAttempt(now);
  for (let attempts = 1; ; attempts += 1) {
    if (random() >= FAILING_SHARE) {
      return attempts;
    }
    const decision = decideRetry(
      {
        failure: {kind: 'connection-lost'},
        isIdempotent: true,
        attempts,
        maximumAttempts: 3,
        wasSent: true,
        deadline: Infinity,
      },
      now,
    );
    const isRepeated =
      decision.kind === 'try-again' &&
      budget.takeRetry(RETRY_BUDGET_FRACTION, MINIMUM_RETRIES, now);
    if (!isRepeated) {
      return attempts;
    }
  }
}

function measureFairness(shape: WorkloadShape): unknown {
  const ratios = SEEDS.map(seed => {
    const baseline = firstTokenP95OfOthers(shape, seed, 1);
    return firstTokenP95OfOthers(shape, seed, FLOOD_FACTOR) / baseline;
  });
  const ratio = figureOf(ratios);
  process.stdout.write(
    `${shape.name}: first token p95 of the others while one sends ${FLOOD_FACTOR} times its share, ` +
      `against quiet: ${renderFigure(ratio, 2)}\n`,
  );
  return {shape: shape.name, ratio};
}

/**
 * Returns the 95th percentile of the time to the first token of the other
 * workspaces while `workspace-3` sends `factor` times its usual load.
 */
function firstTokenP95OfOthers(
  shape: WorkloadShape,
  seed: number,
  factor: number,
): number {
  const random = randomFrom(seed);
  const floodingWorkspace = 'workspace-3';
  const base = makeWorkload(shape, BASE_LOAD, DURATION_MILLISECONDS, random);
  const extra = makeWorkload(
    shape,
    BASE_LOAD * (factor - 1),
    DURATION_MILLISECONDS,
    random,
  )
    .filter(({workspace}) => workspace === floodingWorkspace)
    .map(request => ({...request, id: `extra-${request.id}`}));
  const requests = [...base, ...extra].sort(
    (left, right) => left.arrivalTime - right.arrivalTime,
  );
  const {answered} = new Simulation({
    shape,
    requests,
    policy: 'dispatcher',
    movePolicy: 'cheapest',
    reclaims: [],
    random,
    maximumWait: 1000,
  }).run();
  const values = answered
    .filter(({request}) => request.workspace !== floodingWorkspace)
    .map(({firstTokenMilliseconds}) => firstTokenMilliseconds);
  return percentile(values, 0.95);
}

/**
 * Returns the requests per second that the limit admits when one host receives
 * all the traffic.
 */
function measureLimit(seed: number, isPartitioned: boolean): number {
  const random = randomFrom(seed);
  const hosts = Array.from({length: LIMIT_HOST_COUNT}, () => new LimitShares());
  const names = hosts.map((_, index) => String(index));
  let admittedRequests = 0;
  let nextExchangeTime = 0;
  for (
    let now = 0;
    now < DURATION_MILLISECONDS;
    now += exponential(random, (2 * LIMIT_REQUESTS_PER_SECOND) / 1000)
  ) {
    if (now >= nextExchangeTime) {
      nextExchangeTime = now + 200;
      exchangeTokens(hosts, names, isPartitioned, now);
    }
    if (
      hosts[0]?.take('w', LIMIT_REQUESTS_PER_SECOND, LIMIT_HOST_COUNT, now) ===
      true
    ) {
      admittedRequests += 1;
    }
  }
  return admittedRequests / (DURATION_MILLISECONDS / 1000);
}

function exchangeTokens(
  hosts: readonly LimitShares[],
  names: readonly string[],
  isPartitioned: boolean,
  now: number,
): void {
  const wanted = new Map(
    hosts.map((host, index) => [
      names[index] ?? '',
      host.wanted('w', LIMIT_REQUESTS_PER_SECOND, LIMIT_HOST_COUNT, now).wanted,
    ]),
  );
  const half = LIMIT_HOST_COUNT / 2;
  hosts.forEach((host, index) => {
    const reachable = new Map(
      [...wanted].filter(
        ([name]) =>
          name !== names[index] &&
          (!isPartitioned || Number(name) < half === index < half),
      ),
    );
    const transfers = host.give(
      'w',
      reachable,
      LIMIT_REQUESTS_PER_SECOND,
      LIMIT_HOST_COUNT,
      now,
    );
    for (const {to, tokens} of transfers) {
      hosts[Number(to)]?.receive('w', tokens, LIMIT_REQUESTS_PER_SECOND);
    }
  });
}
