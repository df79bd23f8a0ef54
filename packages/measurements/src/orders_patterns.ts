/**
 * Patterns of load and trouble under which engines are ordered, as data.
 */

/** What happens at a time of a pattern. */
export type Trouble =
  | {
      readonly kind: 'crash';
      readonly atSeconds: number;
      readonly share: number;
    }
  | {
      readonly kind: 'reclaim';
      readonly atSeconds: number;
      readonly domain: string;
      /** Seconds for which no reclaimable engines are to be had anywhere. */
      readonly drySeconds: number;
    }
  | {
      readonly kind: 'slow';
      readonly atSeconds: number;
      readonly share: number;
      readonly factor: number;
    }
  | {
      readonly kind: 'orders';
      readonly atSeconds: number;
      readonly fault: 'carried-out-late' | 'none' | 'unanswered';
    }
  /** Another host takes over, seconds after the holder was killed. */
  | {
      readonly kind: 'holder-killed';
      readonly atSeconds: number;
      readonly seconds: number;
    };

/** A pattern of load and trouble. */
export interface OrdersPattern {
  readonly name: string;
  /**
   * Returns the load at a time: at 1, the engines of the first minute are busy
   * for 0.6 of their time if three of four shared prompt parts are cached.
   */
  readonly loadAt: (seconds: number) => number;
  readonly troubles: readonly Trouble[];
}

/** Seconds of each run. */
export const RUN_SECONDS = 80;

/** Milliseconds of notice before a failure domain is reclaimed. */
export const RECLAIM_NOTICE_MILLISECONDS = 1900;

function swinging(mean: number): OrdersPattern['loadAt'] {
  return seconds => mean * (1 + 0.3 * Math.sin((2 * Math.PI * seconds) / 40));
}

/** Two failure domains within six seconds, and none to be had for longer. */
const TWO_DOMAINS: readonly Trouble[] = [
  {kind: 'reclaim', atSeconds: 30, domain: 'east', drySeconds: 13},
  {kind: 'reclaim', atSeconds: 36, domain: 'south', drySeconds: 12},
];

/** The patterns by which rules of ordering are compared. */
export const ORDERS_PATTERNS: readonly OrdersPattern[] = [
  {name: 'calm at 30%', loadAt: () => 0.3, troubles: []},
  {name: 'calm at 60%', loadAt: () => 0.6, troubles: []},
  {name: 'swing of 30% in 40 s', loadAt: swinging(0.8), troubles: []},
  {
    name: 'burst to 1.7 after a calm stretch',
    loadAt: seconds => (seconds >= 40 && seconds < 46 ? 0.6 * 1.7 : 0.6),
    troubles: [],
  },
  {
    name: 'two domains reclaimed, nothing else to be had',
    loadAt: swinging(0.8),
    troubles: TWO_DOMAINS,
  },
  {
    name: 'reclaimed again during recovery',
    loadAt: swinging(0.8),
    troubles: [
      ...TWO_DOMAINS,
      {kind: 'reclaim', atSeconds: 50, domain: 'west', drySeconds: 7},
    ],
  },
  {
    name: 'orders unanswered, then carried out late',
    loadAt: swinging(0.8),
    troubles: [
      {kind: 'orders', atSeconds: 20, fault: 'unanswered'},
      {kind: 'orders', atSeconds: 26, fault: 'carried-out-late'},
      ...TWO_DOMAINS,
      {kind: 'orders', atSeconds: 34, fault: 'none'},
    ],
  },
  {
    name: 'holder killed during a reclaim',
    loadAt: swinging(0.8),
    troubles: [
      ...TWO_DOMAINS,
      {kind: 'holder-killed', atSeconds: 31, seconds: 4},
    ],
  },
  {
    name: 'half of the engines crash',
    loadAt: () => 0.8,
    troubles: [{kind: 'crash', atSeconds: 40, share: 0.5}],
  },
  {
    name: 'half of the engines slow',
    loadAt: () => 0.6,
    troubles: [{kind: 'slow', atSeconds: 30, share: 0.5, factor: 3}],
  },
];
