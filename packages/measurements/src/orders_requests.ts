/**
 * The requests of the model of ordered engines: kinds, sizes and arrivals.
 */
import type {EngineRequest} from './engine_request.js';
import {TOKENS_PER_MILLISECOND, USUAL_ENGINES} from './ordered_fleet.js';

/** Requests of the same size, objective and deadline. */
export interface RequestKind {
  readonly name: string;
  /** Share of all requests. */
  readonly share: number;
  readonly sharedTokens: number;
  /** Number of different shared parts. */
  readonly sharedParts: number;
  /** Mean tokens that no other request shares. */
  readonly ownTokens: number;
  readonly outputTokens: number;
  /** Milliseconds to the first token up to which an answer is on time. */
  readonly objective: number;
  /** Milliseconds that the client waits at most. */
  readonly deadline: number;
}

const MOST_URGENT_KIND: RequestKind = {
  name: 'large',
  share: 0.3,
  sharedTokens: 13_000,
  sharedParts: 90,
  ownTokens: 3700,
  outputTokens: 120,
  objective: 800,
  deadline: 8000,
};

/** The kinds, the most urgent one first. */
export const REQUEST_KINDS: readonly RequestKind[] = [
  MOST_URGENT_KIND,
  {
    name: 'middle',
    share: 0.2,
    sharedTokens: 6300,
    sharedParts: 150,
    ownTokens: 2900,
    outputTokens: 54,
    objective: 1200,
    deadline: 5000,
  },
  {
    name: 'small',
    share: 0.5,
    sharedTokens: 350,
    sharedParts: 350,
    ownTokens: 1100,
    outputTokens: 170,
    objective: 1500,
    deadline: 10_000,
  },
];

/** A request of the model. */
export interface ModelRequest extends EngineRequest {
  readonly kind: RequestKind;
  readonly arrivedAt: number;
}

/** Share of the shared parts that is read although some engine has them. */
const USUAL_MISS_SHARE = 0.25;

/**
 * Share of the time for which the usual engines are busy at a load of 1, without
 * their slow periods.
 */
const USUAL_UTILIZATION = 0.4;

/** Largest own part, as a multiple of the mean. */
const LARGEST_SIZE = 8;

/** Shape of the sizes of own parts: most are small, and a few are very large. */
const SIZE_EXPONENT = 1.3;

/** Makes the mean size 1. */
const SIZE_FACTOR = 0.86;

/** Returns the requests in a millisecond at a load of 1. */
export function usualRate(): number {
  const tokens = REQUEST_KINDS.reduce(
    (sum, {share, ownTokens, sharedTokens}) =>
      sum + share * (ownTokens + sharedTokens * USUAL_MISS_SHARE),
    0,
  );
  return (USUAL_ENGINES * TOKENS_PER_MILLISECOND * USUAL_UTILIZATION) / tokens;
}

/** Returns request number `index`, which arrives at `now`. */
export function makeOrderedRequest(
  index: number,
  now: number,
  random: () => number,
): ModelRequest {
  const kind = pickKind(random());
  const part = Math.floor(random() * kind.sharedParts);
  const size = SIZE_FACTOR * (-Math.log(1 - random())) ** SIZE_EXPONENT;
  const own = 1 + Math.round(kind.ownTokens * Math.min(LARGEST_SIZE, size));
  const id = `r${index}`;
  return {
    id,
    kind,
    arrivedAt: now,
    promptTokens: kind.sharedTokens + own,
    outputTokens: kind.outputTokens,
    parts: [
      {partId: `${kind.name}/${part}`, tokens: kind.sharedTokens},
      {partId: id, tokens: own},
    ],
    priority: REQUEST_KINDS.indexOf(kind),
  };
}

function pickKind(value: number): RequestKind {
  let left = value;
  for (const kind of REQUEST_KINDS.slice(1)) {
    left -= kind.share;
    if (left < 0) {
      return kind;
    }
  }
  return MOST_URGENT_KIND;
}
