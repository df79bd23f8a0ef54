/**
 * Chooses upstreams for routed calls with what this host knows.
 */
import {
  type Choice,
  chooseEngine,
  type PlacementDemand,
  PrefixMemory,
  type UpstreamHealth,
  type UpstreamList,
  type UpstreamUpdate,
} from '@lacewingwinch/decisions';

import type {LoadTable} from './load_table.js';

/** Prompt tokens that an engine reads in a millisecond, until it is learned. */
const DEFAULT_PREFILL_SPEED = 40;

/** What placement needs from others. */
export interface RoutedPlacementContext {
  readonly failureDomain: string;
  readonly upstreams: UpstreamList;
  readonly health: UpstreamHealth;
  readonly loads: LoadTable;
  /** Milliseconds for which a prompt part stays in a cache after its use. */
  readonly keptMilliseconds: number;
}

/** Chooses upstreams and remembers what they have read. */
export class RoutedPlacement {
  private readonly prefixes: PrefixMemory;
  private readonly births = new Map<string, number>();

  constructor(private readonly context: RoutedPlacementContext) {
    this.prefixes = new PrefixMemory(context.keptMilliseconds);
  }

  /** The best upstream of `service` that is not in `excluded`. */
  choose(
    service: string,
    demand: PlacementDemand,
    excluded: ReadonlySet<string>,
    now: number,
  ): Choice | undefined {
    const {upstreams, health, failureDomain} = this.context;
    const open = upstreams
      .usable(service, now)
      .filter(({upstreamId}) => !excluded.has(upstreamId));
    const healthy = open.filter(
      ({upstreamId}) => !health.isEjected(upstreamId, now),
    );
    const candidates = healthy.length > 0 ? healthy : open;
    return chooseEngine(demand, candidates, failureDomain, {
      loadOf: upstreamId => this.context.loads.loadOf(upstreamId),
      prefillSpeedOf: () => DEFAULT_PREFILL_SPEED,
      cachedTokens: (upstreamId, parts) =>
        this.prefixes.cachedTokens(upstreamId, parts, now),
    });
  }

  /** Notes that an upstream has read the prompt of `demand`. */
  noteRead(upstreamId: string, demand: PlacementDemand, now: number): void {
    if (demand.parts.length > 0) {
      this.prefixes.note(upstreamId, demand.parts, now);
    }
  }

  /** Forgets what is known of upstreams that left or started again. */
  takeUpdates(updates: readonly UpstreamUpdate[]): void {
    for (const update of updates) {
      switch (update.kind) {
        case 'withdrawn':
          this.forget(update.upstreamId);
          break;
        case 'listed': {
          const {upstreamId, bornAt} = update.upstream;
          const known = this.births.get(upstreamId);
          if (known !== undefined && known !== bornAt) {
            this.forget(upstreamId);
          }
          this.births.set(upstreamId, bornAt);
        }
      }
    }
  }

  private forget(upstreamId: string): void {
    this.prefixes.forget(upstreamId);
    this.context.health.forget(upstreamId);
    this.births.delete(upstreamId);
  }
}
