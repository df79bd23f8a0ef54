/**
 * Patterns of load that exceed the capacity of a shard, as data.
 */

/** Requests with the same rank, sizes and objectives. */
export interface RequestKind {
  readonly name: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Requests per second at a load of 1. */
  readonly perSecond: number;
  /** Tokens of the shared part of each prompt. */
  readonly sharedTokens: number;
  /** Number of different shared parts. */
  readonly sharedParts: number;
  /** Mean tokens of the part that no other request shares. */
  readonly ownTokens: number;
  /** Milliseconds to the first event up to which an answer is on time. */
  readonly objective: number;
  /** Milliseconds that the client waits at most. */
  readonly deadline: number;
}

/** What clients do after a refusal. */
export type RefusedClients = 'abusive' | 'never-return' | 'patient';

/** A pattern of load. */
export interface OverloadPattern {
  readonly name: string;
  readonly engines: number;
  readonly kinds: readonly RequestKind[];
  /** Load before the pattern, as a share of the capacity. */
  readonly usualLoad: number;
  /** Returns the load of a kind while the pattern applies. */
  readonly factorOf: (kind: RequestKind) => number;
  readonly clients: RefusedClients;
  /** Share of the engines that are lost during the pattern. */
  readonly lostShare: number;
  readonly hasLargestPromptsOnly: boolean;
  /** Returns the workspace of a request from a random number. */
  readonly workspaceOf: (value: number, isInPattern: boolean) => string;
}

/** Engines of a shard. */
const ENGINES = 12;

/** The most urgent requests are large and have the shortest objective. */
export const URGENT_LARGE_KINDS: readonly RequestKind[] = [
  kindOf('urgent', 0, 4000, 800, 8000),
  kindOf('middle', 1, 2900, 1200, 5000),
  kindOf('least', 2, 1100, 1500, 10_000),
];

/** The least urgent requests are large and have the longest objective. */
export const URGENT_SMALL_KINDS: readonly RequestKind[] = [
  kindOf('urgent', 0, 1100, 1000, 12_000),
  kindOf('middle', 1, 2900, 1200, 6000),
  kindOf('least', 2, 3700, 3000, 12_000),
];

/**
 * Returns a kind that needs a third of the capacity of 12 engines which read
 * 40 tokens in a millisecond.
 */
function kindOf(
  name: string,
  rank: number,
  ownTokens: number,
  objective: number,
  deadline: number,
): RequestKind {
  return {
    name,
    rank,
    perSecond: (ENGINES * 40_000) / ownTokens / 3,
    sharedTokens: ownTokens * 3,
    sharedParts: 24,
    ownTokens,
    objective,
    deadline,
  };
}

/** Number of workspaces, which send equally many requests. */
const WORKSPACES = 8;

const BASE: Omit<OverloadPattern, 'name'> = {
  engines: ENGINES,
  kinds: URGENT_LARGE_KINDS,
  usualLoad: 0.6,
  factorOf: () => 1,
  clients: 'patient',
  lostShare: 0,
  hasLargestPromptsOnly: false,
  workspaceOf: value => `workspace-${Math.floor(value * WORKSPACES)}`,
};

/** Returns a pattern with all kinds at `load`, as a share of the capacity. */
export function steadyPattern(
  load: number,
  kinds: readonly RequestKind[],
): OverloadPattern {
  const percent = Math.round(load * 100);
  return {
    ...BASE,
    kinds,
    name: `all at ${percent}%, urgent requests ${kinds === URGENT_LARGE_KINDS ? 'large' : 'small'}`,
    factorOf: () => load,
  };
}

/** Share of a workspace that sends seven times as much as each other one. */
const BURSTING_SHARE = 7 / (7 + WORKSPACES - 1);

/** The patterns besides a steady load. */
export const OVERLOAD_PATTERNS: readonly OverloadPattern[] = [
  {...BASE, name: 'every kind bursts to 2.5', factorOf: () => 1.5},
  {
    ...BASE,
    name: 'the least urgent kind bursts',
    factorOf: ({rank}) => (rank === 2 ? 4 : 0.6),
  },
  {
    ...BASE,
    name: 'one workspace sends 7 times its usual',
    factorOf: () => 0.6 * (14 / 8),
    workspaceOf: (value, isInPattern) =>
      isInPattern && value < BURSTING_SHARE
        ? 'workspace-0'
        : `workspace-${1 + (Math.floor(value * 997) % (WORKSPACES - 1))}`,
  },
  {
    ...BASE,
    name: 'largest prompts only',
    factorOf: () => 0.5,
    hasLargestPromptsOnly: true,
  },
  {
    ...BASE,
    name: 'half of the engines are lost in a burst',
    factorOf: () => 1,
    lostShare: 0.5,
  },
  {
    ...BASE,
    name: 'clients retry at once and often',
    factorOf: () => 1.5,
    clients: 'abusive',
  },
  {
    ...BASE,
    name: 'refused clients never return',
    factorOf: () => 1.5,
    clients: 'never-return',
  },
];
