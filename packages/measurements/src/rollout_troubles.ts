/** Faults beside a roll-out, which say nothing about its version. */
import {shuffle, type UsableUpstream} from '@lacewingwinch/decisions';

/** A fault and the engines that it hits. */
export interface RolloutTrouble {
  readonly kind:
    | 'answers-lost'
    | 'burst'
    | 'crash'
    | 'failing-engines'
    | 'holder-away'
    | 'one-bad-engine'
    | 'slow-engines';
  readonly from: number;
  readonly to: number;
  readonly upstreamIds: ReadonlySet<string>;
  /** Part of the requests that fail at these engines. */
  readonly failureRate: number;
  readonly slowness: number;
}

const KINDS: readonly RolloutTrouble['kind'][] = [
  'answers-lost',
  'burst',
  'crash',
  'failing-engines',
  'holder-away',
  'one-bad-engine',
  'slow-engines',
];

/** Faults that strike during one roll-out. */
const FAULT_COUNT = 3;

/** Time after which engines that have crashed are not listed. */
const DETECTION_MILLISECONDS = 600;

/** The faults of one roll-out in the course of time. */
export class RolloutTroubles {
  constructor(
    private readonly troubles: readonly RolloutTrouble[],
    private readonly random: () => number,
  ) {}

  /** Returns whether a fault of a kind strikes at `now`. */
  isActive(kind: RolloutTrouble['kind'], now: number): boolean {
    return this.activeAt(now).some(trouble => trouble.kind === kind);
  }

  /** Returns whether an engine is not listed, because it has crashed. */
  isMissing(upstreamId: string, now: number): boolean {
    return this.troubles.some(
      trouble =>
        trouble.kind === 'crash' &&
        trouble.upstreamIds.has(upstreamId) &&
        now > trouble.from + DETECTION_MILLISECONDS &&
        now < trouble.to + DETECTION_MILLISECONDS,
    );
  }

  /** Draws whether a request at an engine fails by a fault. */
  isStruck(upstreamId: string, now: number): boolean {
    return this.activeAt(now).some(
      trouble =>
        trouble.upstreamIds.has(upstreamId) &&
        this.random() < trouble.failureRate,
    );
  }

  /** Returns how many times as long the work of an engine takes. */
  slownessOf(upstreamId: string, now: number): number {
    return this.activeAt(now)
      .filter(({upstreamIds}) => upstreamIds.has(upstreamId))
      .reduce((factor, {slowness}) => factor * slowness, 1);
  }

  private activeAt(now: number): readonly RolloutTrouble[] {
    return this.troubles.filter(({from, to}) => now >= from && now < to);
  }
}

/** Draws the faults of one roll-out. */
export function drawTroubles(
  random: () => number,
  upstreams: readonly UsableUpstream[],
): readonly RolloutTrouble[] {
  return shuffle(KINDS, random)
    .slice(0, FAULT_COUNT)
    .map(kind => {
      const from = random() * 11_000;
      const common = {
        kind,
        from,
        to: from + 2000 + random() * 3000,
        upstreamIds: new Set<string>(),
        failureRate: 0,
        slowness: 1,
      };
      const some = (part: number): ReadonlySet<string> =>
        idsOf(upstreams.filter(() => random() < part));
      switch (kind) {
        case 'answers-lost':
          return {...common, upstreamIds: some(0.5), failureRate: 0.06};
        case 'failing-engines':
          return {...common, upstreamIds: some(0.15), failureRate: 0.4};
        case 'slow-engines':
          return {...common, upstreamIds: some(0.3), slowness: 3};
        case 'one-bad-engine': {
          const engines = upstreams.filter(
            ({softwareVersion}) => softwareVersion === 'v2',
          );
          const engine = engines[Math.floor(random() * engines.length)];
          return {
            ...common,
            to: Infinity,
            upstreamIds: new Set(
              engine === undefined ? [] : [engine.upstreamId],
            ),
            failureRate: 0.7,
          };
        }
        case 'crash': {
          const domain = `domain-${Math.floor(random() * 4)}`;
          const hit = upstreams.filter(
            ({failureDomain}) => failureDomain === domain,
          );
          return {...common, upstreamIds: idsOf(hit), failureRate: 1};
        }
        case 'burst':
        case 'holder-away':
          return common;
      }
    });
}

function idsOf(upstreams: readonly UsableUpstream[]): ReadonlySet<string> {
  return new Set(upstreams.map(({upstreamId}) => upstreamId));
}
