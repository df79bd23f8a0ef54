/**
 * The load of the placement model: three kinds of requests, most of whose
 * prompts are shared, and the engines that read them.
 */
import type {EngineProfile} from './engine_profile.js';

/** Requests with the same rank and sizes. */
export interface LoadKind {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /**
   * Requests per millisecond and engine at a load of 1, at which the tokens that
   * no other request shares are as many as the engines read.
   */
  readonly perMillisecondAndEngine: number;
  readonly sharedTokens: number;
  /** Number of different shared parts for each engine. */
  readonly sharedPartsPerEngine: number;
  /** Mean tokens of the part that no other request shares. */
  readonly ownTokens: number;
  /** Mean tokens of the output. */
  readonly output: number;
}

/** Engines that read 61 tokens in a millisecond. */
export const PLACEMENT_PROFILE: EngineProfile = {
  slots: 64,
  queueCapacity: 134,
  stepMilliseconds: 3.4,
  stepMillisecondsPerStream: 0.01,
  prefillTokensPerMillisecond: 61,
  chunkTokens: 2048,
  memoryTokens: 580_000,
  speedFactor: 1,
  startupMilliseconds: 0,
  reportLagMilliseconds: 0,
};

/** Shares of the requests by kind, and their sizes. */
const SHARES: readonly Omit<LoadKind, 'perMillisecondAndEngine'>[] = [
  {
    name: 'large',
    rank: 0,
    sharedTokens: 13_300,
    sharedPartsPerEngine: 9,
    ownTokens: 3720,
    output: 120,
  },
  {
    name: 'middle',
    rank: 1,
    sharedTokens: 6300,
    sharedPartsPerEngine: 15,
    ownTokens: 2890,
    output: 54,
  },
  {
    name: 'small',
    rank: 2,
    sharedTokens: 350,
    sharedPartsPerEngine: 35,
    ownTokens: 1110,
    output: 174,
  },
];

const REQUEST_SHARES: readonly number[] = [0.28, 0.22, 0.5];

const MEAN_OWN_TOKENS = SHARES.reduce(
  (sum, {ownTokens}, index) => sum + ownTokens * (REQUEST_SHARES[index] ?? 0),
  0,
);

/** The kinds of requests. */
export const PLACEMENT_KINDS: readonly LoadKind[] = SHARES.map(
  (kind, index) => ({
    ...kind,
    perMillisecondAndEngine:
      ((REQUEST_SHARES[index] ?? 0) *
        PLACEMENT_PROFILE.prefillTokensPerMillisecond) /
      MEAN_OWN_TOKENS,
  }),
);
