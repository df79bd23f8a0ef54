/**
 * Retry amplification in a failure of half the upstreams, fairness among
 * workspaces while one floods, and the total of a shared limit.
 */
import {decideRetry, LimitShares, RetryBudget} from '@lacewingwinch/decisions';

import {figureOf, percentile, renderFigure} from './figures.js';
import {exponential, randomFrom, SEEDS} from './random_numbers.js';
import {Simulation} from './simulate.js';
import {makeWorkload, type Shape, SHAPES} from './workload.js';

const DURATION = 60_000;

/** Requests a second of the retry measurement. */
const RETRY_RATE = 200;

/** Failing share of the upstreams, and the retry budget. */
const FAILING_SHARE = 0.5;
const BUDGET_FRACTION = 0.1;

/** Calls that one upstream runs at once, which the budget never falls below. */
const MINIMUM_RETRIES = 16;

/** Load of the quiet workspaces, and how many times its share one sends. */
const QUIET_LOAD = 0.6;
const FLOOD_FACTOR = 10;

/** The limit that several hosts share, in requests a second. */
const LIMIT = 100;
const LIMIT_HOSTS = 8;

/** Measures overload. */
export function measureOverload(): Promise<unknown> {
  const amplification = figureOf(SEEDS.map(measureAmplification));
  process.stdout.write(
    `attempts a request while half the upstreams fail: ${renderFigure(amplification, 3)}\n`,
  );
  const fairness = SHAPES.map(measureFairness);
  const limits = {
    connected: figureOf(SEEDS.map(seed => measureLimit(seed, false))),
    partitioned: figureOf(SEEDS.map(seed => measureLimit(seed, true))),
  };
  process.stdout.write(
    `requests a second let through of a limit of ${LIMIT}, one host loaded: connected ${renderFigure(limits.connected, 1)}, ` +
      `in a partition ${renderFigure(limits.partitioned, 1)}\n`,
  );
  return Promise.resolve({amplification, fairness, limits});
}

function measureAmplification(seed: number): number {
  const random = randomFrom(seed);
  const budget = new RetryBudget();
  let requests = 0;
  let attempts = 0;
  for (
    let now = 0;
    now < DURATION;
    now += exponential(random, RETRY_RATE / 1000)
  ) {
    requests += 1;
    attempts += attemptsOf(budget, now, random);
  }
  return attempts / requests;
}

function attemptsOf(
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
      budget.takeFurtherAttempt(BUDGET_FRACTION, MINIMUM_RETRIES, now);
    if (!isRepeated) {
      return attempts;
    }
  }
}

function measureFairness(shape: Shape): unknown {
  const ratios = SEEDS.map(seed => {
    const quiet = quietP95(shape, seed, 1);
    return quietP95(shape, seed, FLOOD_FACTOR) / quiet;
  });
  const ratio = figureOf(ratios);
  process.stdout.write(
    `${shape.name}: first token p95 of the others while one sends ${FLOOD_FACTOR} times its share, ` +
      `against quiet: ${renderFigure(ratio, 2)}\n`,
  );
  return {shape: shape.name, ratio};
}

/** First token p95 of the other workspaces while `workspace-3` floods. */
function quietP95(shape: Shape, seed: number, factor: number): number {
  const random = randomFrom(seed);
  const flooder = 'workspace-3';
  const base = makeWorkload(shape, QUIET_LOAD, DURATION, random);
  const extra = makeWorkload(shape, QUIET_LOAD * (factor - 1), DURATION, random)
    .filter(({workspace}) => workspace === flooder)
    .map(request => ({...request, id: `extra-${request.id}`}));
  const requests = [...base, ...extra].sort(
    (left, right) => left.arrival - right.arrival,
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
    .filter(({request}) => request.workspace !== flooder)
    .map(({firstToken}) => firstToken);
  return percentile(values, 0.95);
}

/** Requests a second let through when one host gets all of the traffic. */
function measureLimit(seed: number, isPartitioned: boolean): number {
  const random = randomFrom(seed);
  const hosts = Array.from({length: LIMIT_HOSTS}, () => new LimitShares());
  const names = hosts.map((_, index) => String(index));
  let passed = 0;
  let nextExchange = 0;
  for (
    let now = 0;
    now < DURATION;
    now += exponential(random, (2 * LIMIT) / 1000)
  ) {
    if (now >= nextExchange) {
      nextExchange = now + 200;
      exchangeTokens(hosts, names, isPartitioned, now);
    }
    if (hosts[0]?.take('w', LIMIT, LIMIT_HOSTS, now) === true) {
      passed += 1;
    }
  }
  return passed / (DURATION / 1000);
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
      host.wanted('w', LIMIT, LIMIT_HOSTS, now).wanted,
    ]),
  );
  const half = LIMIT_HOSTS / 2;
  hosts.forEach((host, index) => {
    const reachable = new Map(
      [...wanted].filter(
        ([name]) =>
          name !== names[index] &&
          (!isPartitioned || Number(name) < half === index < half),
      ),
    );
    const transfers = host.give('w', reachable, LIMIT, LIMIT_HOSTS, now);
    for (const {to, tokens} of transfers) {
      hosts[Number(to)]?.receive('w', tokens, LIMIT);
    }
  });
}
