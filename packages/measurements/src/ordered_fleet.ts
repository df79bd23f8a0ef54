/**
 * The engines of one service in virtual time, as a platform starts and ends them
 * by order: boot time, bounds, reclaimed failure domains and lost orders.
 */
import type {
  EngineOrder,
  OrderResult,
  ScalingBounds,
  UsableUpstream,
} from '@lacewingwinch/decisions';

import {EngineModel} from './engine_model.js';
import type {EngineProfile} from './engine_profile.js';
import type {EventQueue} from './event_queue.js';

/** The service whose engines are ordered. */
export const SERVICE = 'writer';

/** Failure domains with their prices. */
export const DOMAIN_PRICES: ReadonlyMap<string, number> = new Map([
  ['north', 1],
  ['east', 0.8],
  ['south', 1.25],
  ['west', 0.9],
]);

/** The failure domains. */
export const DOMAINS: readonly string[] = [...DOMAIN_PRICES.keys()];

/** On-demand engines in each domain before any order. */
const USUAL_IN_DOMAIN = 3;

/** On-demand engines before any order. */
export const USUAL_ENGINES = USUAL_IN_DOMAIN * DOMAINS.length;

/** Bounds and prices of the engines. */
export const SCALING: ScalingBounds = {
  minimumInDomain: 1,
  maximumInDomain: 8,
  bootSeconds: 4,
  reclaimablePrice: 0.15,
  domainPrices: DOMAIN_PRICES,
};

/** Engines read this many tokens in a millisecond while they decode nothing. */
export const TOKENS_PER_MILLISECOND = 60;

const PROFILE: EngineProfile = {
  slots: 64,
  queueCapacity: 134,
  stepMilliseconds: 3.4,
  stepMillisecondsPerStream: 0.011,
  prefillTokensPerMillisecond: TOKENS_PER_MILLISECOND,
  chunkTokens: 2048,
  memoryTokens: 580_000,
  speedFactor: 1,
  noise: {share: 0.15, slowdown: 2.5, periodMilliseconds: 600},
  startupMilliseconds: SCALING.bootSeconds * 1000,
  reportLagMilliseconds: 100,
};

/** Time from the end of the boot until callers see an engine. */
const LISTING_MILLISECONDS = 600;

/** Time for which an engine serves on when its order is lowered. */
const DRAIN_MILLISECONDS = 3000;

/** Time for which a crashed engine is down. */
const CRASH_MILLISECONDS = 3000;

/** What becomes of a call that places an order. */
export type OrderFault = 'carried-out-late' | 'none' | 'unanswered';

/** Delay of an order that is carried out late. */
const LATE_ORDER_MILLISECONDS = 6000;

/** An engine of the fleet. */
export interface FleetEngine {
  readonly model: EngineModel;
  readonly startedAt: number;
  upstream: UsableUpstream;
  isListed: boolean;
  endsAt: number;
}

/** The engines, and the platform that starts and ends them. */
export class OrderedFleet {
  readonly engines = new Map<string, FleetEngine>();
  /** Price of the engines so far; one on-demand engine costs 1 a second. */
  cost = 0;
  orderFault: OrderFault = 'none';
  /** Time until which no reclaimable engine can be started anywhere. */
  private dryUntil = -Infinity;
  private startedCount = 0;

  constructor(
    private readonly events: EventQueue,
    private readonly random: () => number,
    /** Called with the engines that end, and the requests at them. */
    private readonly onEnd: (engine: FleetEngine, now: number) => void,
    /** Called when the engines of a domain are about to leave. */
    private readonly onReclaimed: (now: number) => void,
  ) {
    for (const domain of DOMAINS) {
      for (let index = 0; index < USUAL_IN_DOMAIN; index += 1) {
        this.start(domain, false, -SCALING.bootSeconds * 1000);
      }
    }
  }

  /** Returns the engines that callers see. */
  listed(): readonly UsableUpstream[] {
    return [...this.engines.values()]
      .filter(({isListed}) => isListed)
      .map(({upstream}) => upstream);
  }

  /** Places an order at `now`. */
  place(order: EngineOrder, now: number): OrderResult {
    switch (this.orderFault) {
      case 'unanswered':
        return 'unavailable';
      case 'carried-out-late':
        this.events.at(now + LATE_ORDER_MILLISECONDS, at =>
          this.carryOut(order, at),
        );
        return 'unavailable';
      case 'none':
        return this.carryOut(order, now) ? 'accepted' : 'refused';
    }
  }

  /**
   * Reclaims all reclaimable engines of `domain`; for `milliseconds`, no others
   * are to be had anywhere.
   */
  reclaim(domain: string, noticeMilliseconds: number, milliseconds: number) {
    return (now: number): void => {
      this.dryUntil = Math.max(this.dryUntil, now + milliseconds);
      for (const engine of this.engines.values()) {
        const {failureDomain, isReclaimable} = engine.upstream;
        if (failureDomain === domain && isReclaimable) {
          this.leave(engine, now, noticeMilliseconds);
        }
      }
      this.onReclaimed(now);
    };
  }

  /** Lets a share of the engines crash; others start in their place. */
  crash(share: number) {
    return (now: number): void => {
      const engines = [...this.engines.values()];
      for (const engine of engines.slice(0, engines.length * share)) {
        const {failureDomain, isReclaimable} = engine.upstream;
        this.end(engine, now);
        const downSince = now + CRASH_MILLISECONDS;
        this.start(
          failureDomain,
          isReclaimable,
          downSince - PROFILE.startupMilliseconds,
        );
      }
    };
  }

  /** Lets the work of a share of the engines take `factor` times as long. */
  slowDown(share: number, factor: number) {
    return (now: number): void => {
      const engines = [...this.engines.values()];
      for (const {model} of engines.slice(0, engines.length * share)) {
        model.advance(now);
        model.slowDown(factor);
      }
    };
  }

  /** Adds the price of the engines over the `milliseconds` before now. */
  charge(milliseconds: number): void {
    for (const {upstream} of this.engines.values()) {
      const factor = upstream.isReclaimable
        ? (SCALING.reclaimablePrice ?? 1)
        : 1;
      this.cost +=
        (factor *
          (DOMAIN_PRICES.get(upstream.failureDomain) ?? 1) *
          milliseconds) /
        1000;
    }
  }

  /** Returns whether an order was carried out. */
  private carryOut(order: EngineOrder, now: number): boolean {
    const {failureDomain, isReclaimable} = order;
    const present = this.countIn(failureDomain, isReclaimable);
    const others = this.countIn(failureDomain, !isReclaimable);
    const target = Math.min(
      order.count,
      Math.max(0, SCALING.maximumInDomain - others),
    );
    if (isReclaimable && target > present && now < this.dryUntil) {
      return false;
    }
    for (let count = present; count < target; count += 1) {
      this.start(failureDomain, isReclaimable, now);
    }
    const surplus = this.present(failureDomain, isReclaimable).slice(target);
    surplus.forEach(engine => this.leave(engine, now, DRAIN_MILLISECONDS));
    return true;
  }

  private present(domain: string, isReclaimable: boolean) {
    return [...this.engines.values()].filter(
      ({upstream, endsAt}) =>
        upstream.failureDomain === domain &&
        upstream.isReclaimable === isReclaimable &&
        endsAt === Infinity,
    );
  }

  private countIn(domain: string, isReclaimable: boolean): number {
    return this.present(domain, isReclaimable).length;
  }

  private start(domain: string, isReclaimable: boolean, now: number): void {
    this.startedCount += 1;
    const upstreamId = `i-${this.startedCount}`;
    // Every fourth engine is of a slower kind.
    const speedFactor = this.startedCount % 4 === 0 ? 0.55 : 1.15;
    const model = new EngineModel({...PROFILE, speedFactor}, this.random, now);
    const engine: FleetEngine = {
      model,
      startedAt: now,
      upstream: upstreamOf(upstreamId, domain, isReclaimable, now),
      isListed: false,
      endsAt: Infinity,
    };
    this.engines.set(upstreamId, engine);
    const listedAt = now + PROFILE.startupMilliseconds + LISTING_MILLISECONDS;
    this.events.at(Math.max(0, listedAt), () => {
      engine.isListed = true;
    });
  }

  private leave(engine: FleetEngine, now: number, notice: number): void {
    engine.endsAt = now + notice;
    engine.upstream = {...engine.upstream, isLeaving: true};
    this.events.at(engine.endsAt, at => this.end(engine, at));
  }

  private end(engine: FleetEngine, now: number): void {
    if (this.engines.delete(engine.upstream.upstreamId)) {
      this.onEnd(engine, now);
    }
  }
}

function upstreamOf(
  upstreamId: string,
  failureDomain: string,
  isReclaimable: boolean,
  knownSince: number,
): UsableUpstream {
  return {
    upstreamId,
    service: SERVICE,
    address: upstreamId,
    failureDomain,
    slots: PROFILE.slots,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    softwareVersion: 'v1',
    bornAt: 0,
    isReclaimable,
    coldMilliseconds: 0,
    knownSince,
  };
}
