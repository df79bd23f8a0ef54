/**
 * A model in virtual time of a roll-out: hosts that send requests to engines of
 * two versions, and the holder that decides. The decisions are the real ones;
 * hosts, engines and messages are fakes.
 */
import {
  decideRolloutStep,
  judgeVersion,
  type RolloutBounds,
  RolloutEvidence,
  RolloutFront,
  type RolloutOrder,
  RolloutSteps,
  satisfiesVersion,
  summarizeReports,
  type UsableUpstream,
} from '@lacewingwinch/decisions';

import {exponential, lognormal, randomFrom} from './random_numbers.js';
import {engineOf, RolloutEngines} from './rollout_engines.js';
import {drawRoute, type RolloutRoute} from './rollout_routes.js';
import {drawTroubles, RolloutTroubles} from './rollout_troubles.js';
import {VersionFaults, type VersionForm} from './version_faults.js';

/** The parameters of one case. */
export interface RolloutCase {
  readonly form: VersionForm;
  readonly hasTrouble: boolean;
  readonly seed: number;
}

/** What one case showed. */
export interface RolloutOutcome {
  readonly phase: string;
  readonly reason: string;
  /** Requests at the new version, as a part of what a bad one may get. */
  readonly exposure: number;
  /** Requests that were sent to it too late after its 50th bad answer. */
  readonly sentLate: number;
  /** Time from the order to the result. */
  readonly settledAfter: number;
}

const TICK_MILLISECONDS = 50;
const DURATION_MILLISECONDS = 16_000;
const DECISION_MILLISECONDS = 500;
const REPORT_MILLISECONDS = 1000;
const HOSTS = 12;
const OLD_ENGINES = 24;
const SERVICE = 'service';

const BOUNDS: RolloutBounds = {
  exposureFraction: 0.1,
  exposureSlack: 50,
  rollbackMilliseconds: 5000,
};

/** Tokens that an engine without a cache reads in addition. */
const COLD_TOKENS = 9000;

const TOKENS_PER_MILLISECOND = 37;
const FIXED_MILLISECONDS = 30;
const GAP_MILLISECONDS = 9;

/** Failures of a sound engine. */
const NATURAL_FAILURES = 0.005;

interface Host {
  readonly steps: RolloutSteps;
  readonly front: RolloutFront;
  readonly reportPhase: number;
}

interface Running {
  readonly endsAt: number;
  readonly finish: () => void;
}

interface Delivery {
  readonly at: number;
  readonly deliver: () => void;
}

/** One roll-out. */
export class RolloutModel {
  private readonly random: () => number;
  private readonly troubles: RolloutTroubles;
  private readonly faults: VersionFaults;
  private readonly hosts: readonly Host[];
  private readonly hostIds = Array.from(
    {length: HOSTS},
    (_, index) => `host-${index}`,
  );
  private readonly evidence = new RolloutEvidence();
  private readonly upstreams: readonly UsableUpstream[];
  private readonly engines = new RolloutEngines();
  private running: Running[] = [];
  private deliveries: Delivery[] = [];
  private readonly requestsPerSecond: number;
  private readonly newEnginesAt: number;
  private requests = 0;
  private atNew = 0;
  private badAnswers = 0;
  private fiftiethAt = Infinity;
  private sentLate = 0;
  private recordWrittenAt = 0;
  private readonly holder = new RolloutSteps();
  private readonly order: RolloutOrder;

  constructor(private readonly parameters: RolloutCase) {
    this.random = randomFrom(parameters.seed);
    // The first numbers of neighbouring seeds are alike.
    Array.from({length: 32}, () => this.random());
    const {random} = this;
    this.requestsPerSecond = 120 + random() * 240;
    this.newEnginesAt = 300 + random() * 3700;
    this.faults = new VersionFaults(parameters.form, random, {
      listedAt: this.newEnginesAt,
      laterLoad: (this.requestsPerSecond * 0.45) / OLD_ENGINES,
    });
    this.order = {
      orderId: `order-${parameters.seed}`,
      position: 1,
      service: SERVICE,
      softwareVersion: 'v2',
      durationMilliseconds: DURATION_MILLISECONDS,
    };
    this.upstreams = ['v1', 'v2'].flatMap(version =>
      Array.from({length: OLD_ENGINES}, (_, index) =>
        engineOf(SERVICE, version, index),
      ),
    );
    this.troubles = new RolloutTroubles(
      parameters.hasTrouble ? drawTroubles(random, this.upstreams) : [],
      random,
    );
    this.holder.acceptOrder(this.order);
    this.hosts = this.hostIds.map(hostId => {
      const steps = new RolloutSteps();
      steps.acceptOrder(this.order);
      const front = new RolloutFront({
        processId: hostId,
        hostId,
        steps,
        bounds: () => BOUNDS,
        hostCount: () => HOSTS,
      });
      const reportPhase = Math.floor(random() * 20) * TICK_MILLISECONDS;
      return {steps, front, reportPhase};
    });
  }

  /** Plays the roll-out until its time limit. */
  result(): RolloutOutcome {
    let settledAfter = Infinity;
    for (let now = 0; now <= DURATION_MILLISECONDS; now += TICK_MILLISECONDS) {
      this.deliver(now);
      this.finish(now);
      this.arrive(now);
      this.report(now);
      if (
        now % DECISION_MILLISECONDS === 0 &&
        !this.troubles.isActive('holder-away', now)
      ) {
        this.decide(now);
      }
      const phase = this.holder.recordOf(SERVICE)?.record.phase;
      if (phase === 'completed' || phase === 'rolled-back') {
        settledAfter = Math.min(settledAfter, now);
      }
    }
    const record = this.holder.recordOf(SERVICE)?.record;
    const allowed =
      this.requests * BOUNDS.exposureFraction + BOUNDS.exposureSlack;
    return {
      phase: record?.phase ?? 'none',
      reason: record?.phase === 'rolled-back' ? record.reason : '',
      exposure: this.atNew / allowed,
      sentLate: this.sentLate,
      settledAfter,
    };
  }

  private listed(now: number): readonly UsableUpstream[] {
    return this.upstreams.filter(
      ({upstreamId, softwareVersion}) =>
        (softwareVersion === 'v1' || now >= this.newEnginesAt) &&
        !this.troubles.isMissing(upstreamId, now),
    );
  }

  private arrive(now: number): void {
    const burst = this.troubles.isActive('burst', now);
    const rate = (this.requestsPerSecond * (burst ? 2.2 : 1)) / 1000;
    const upstreams = this.listed(now);
    for (
      let at = exponential(this.random, rate);
      at < TICK_MILLISECONDS;
      at += exponential(this.random, rate)
    ) {
      this.send(now, upstreams);
    }
  }

  private send(now: number, upstreams: readonly UsableUpstream[]): void {
    const host = this.hosts[Math.floor(this.random() * HOSTS)];
    const route = drawRoute(this.random);
    if (host === undefined) {
      return;
    }
    this.requests += 1;
    const context = {upstreams, ordersReadAt: now, now, trueTime: now};
    const attemptId = `attempt-${this.parameters.seed}-${this.requests}`;
    const isAssigned = host.front.assign(SERVICE, attemptId, context);
    const request = {service: SERVICE, isAssigned, isBound: false};
    const constraint = host.front.constraintOf(request, context);
    const allowed = upstreams.filter(candidate =>
      satisfiesVersion(candidate, constraint),
    );
    const upstream = this.engines.place(allowed, now, this.random);
    if (
      upstream === undefined ||
      !host.front.mayBeSent(request, upstream.softwareVersion, context)
    ) {
      return;
    }
    this.run(host, route, upstream, now);
  }

  private run(
    host: Host,
    route: RolloutRoute,
    upstream: UsableUpstream,
    now: number,
  ): void {
    const {upstreamId, softwareVersion} = upstream;
    const isNew = softwareVersion === 'v2';
    const load = this.engines.loadOf(upstreamId);
    const isBad = isNew && this.faults.isBad(route.name, load, now);
    if (isNew) {
      this.atNew += 1;
      const late = this.fiftiethAt + BOUNDS.rollbackMilliseconds;
      this.sentLate += now > late ? 1 : 0;
    }
    this.engines.recordStart(upstreamId);
    host.front.recordBegun(SERVICE, softwareVersion);
    const isCold = isNew && this.random() < 0.7;
    const tokensToRead = route.tokens + (isCold ? COLD_TOKENS : 0);
    const slowness =
      (this.parameters.form === 'slow' && isBad ? this.faults.slowFactor : 1) *
      this.troubles.slownessOf(upstreamId, now);
    const start =
      slowness *
      (FIXED_MILLISECONDS + tokensToRead / TOKENS_PER_MILLISECOND) *
      lognormal(this.random, 0.45) *
      (1 + load * 0.08);
    const gap =
      slowness *
      GAP_MILLISECONDS *
      lognormal(this.random, 0.25) *
      (1 + load * 0.02);
    const isFailed =
      (isBad && this.parameters.form !== 'slow') ||
      this.random() < NATURAL_FAILURES ||
      this.troubles.isStruck(upstreamId, now);
    const endsAt = now + (isFailed ? start * 0.4 : start + gap * route.events);
    const attempt = {
      service: SERVICE,
      route: route.name,
      upstream,
      isGuess: false,
    };
    if (!isFailed) {
      const beginning = {...attempt, milliseconds: start, tokensToRead};
      this.running.push({
        endsAt: now + start,
        finish: () => host.front.recordStart(beginning, now + start),
      });
    }
    const finish = (): void => {
      host.front.recordEnded(SERVICE, softwareVersion);
      host.front.recordResult(
        {
          ...attempt,
          outcome: isFailed ? 'failed' : 'answered',
          gapMilliseconds: isFailed ? undefined : gap,
        },
        endsAt,
      );
      this.engines.recordEnd(upstreamId, isFailed, endsAt);
      if (isBad) {
        this.badAnswers += 1;
        if (this.badAnswers === 50) {
          this.fiftiethAt = endsAt;
        }
      }
    };
    this.running.push({endsAt, finish});
  }

  private finish(now: number): void {
    const ended = this.running.filter(({endsAt}) => endsAt <= now);
    this.running = this.running.filter(({endsAt}) => endsAt > now);
    ended.forEach(({finish}) => finish());
  }

  private report(now: number): void {
    for (const {front, reportPhase} of this.hosts) {
      if ((now + reportPhase) % REPORT_MILLISECONDS === 0) {
        for (const report of front.reports(now)) {
          this.evidence.merge(report, now);
        }
      }
    }
  }

  private decide(now: number): void {
    const {orderId} = this.order;
    const routes = this.evidence.routesOf(SERVICE, orderId);
    const domains = new Map(
      this.upstreams.map(upstream => [
        upstream.upstreamId,
        upstream.failureDomain,
      ]),
    );
    const summary = summarizeReports(
      this.evidence.reportsOn(SERVICE, orderId),
      this.hostIds,
      {now, millisecondsSinceOrder: now},
    );
    const step = decideRolloutStep({
      bounds: BOUNDS,
      order: this.order,
      record: this.holder.recordOf(SERVICE)?.record,
      upstreams: this.listed(now),
      verdict: judgeVersion(routes, id => domains.get(id) ?? ''),
      ...summary,
      recordAge: now - this.recordWrittenAt,
      orderAge: 0,
      trueTime: now,
    });
    if (step === undefined) {
      return;
    }
    this.recordWrittenAt = now;
    this.holder.acceptRecord(step.record, now);
    for (const {steps} of this.hosts) {
      this.deliveries.push({
        at: now + 5 + this.random() * 350,
        deliver: () => steps.acceptRecord(step.record, now),
      });
    }
  }

  private deliver(now: number): void {
    const due = this.deliveries.filter(({at}) => at <= now);
    this.deliveries = this.deliveries.filter(({at}) => at > now);
    due.forEach(({deliver}) => deliver());
  }
}
