/**
 * A model in virtual time of entry hosts and upstreams of which some name limits,
 * while the host that grants is lost.
 */
import {
  grantShareOf,
  LONGEST_GRANT_WAIT_MILLISECONDS,
  UpstreamGrants,
} from '@lacewingwinch/decisions';

import {EventQueue} from './event_queue.js';
import {exponential, randomFrom} from './random_numbers.js';

/** How the hosts keep to limits. */
export type LimitPolicy =
  | 'none'
  /** Each host sends an equal share of each limit. */
  | 'equal-shares'
  | 'grants';

/** What happens to the host that grants. */
export type GranterTrouble = 'cut' | 'frozen' | 'killed' | 'none';

/** The parameters of one run. */
export interface NamedLimitsRun {
  readonly policy: LimitPolicy;
  readonly trouble: GranterTrouble;
  readonly hosts: number;
  readonly upstreams: number;
  /** Share of the upstreams that name the limit. */
  readonly limitedShare: number;
  /** Requests per second that each of them takes. */
  readonly limit: number;
  readonly seed: number;
}

/** What one run showed. */
export interface NamedLimitsResult {
  /** Most requests of an upstream in 4 s, divided by those that are allowed. */
  readonly mostOfAllowed: number;
  /** Requests served within half a second, divided by those that could be. */
  readonly servedShare: number;
}

/** Virtual milliseconds of one run. */
const DURATION_MILLISECONDS = 30_000;

/** Time at which the granting host is lost, and for how long. */
const TROUBLE_AT_MILLISECONDS = 12_000;
const TROUBLE_MILLISECONDS = 4000;

/** Time until hosts see that another one is lost or back, at least and at most. */
const DETECTION_MILLISECONDS = [500, 1500] as const;

const DISPATCHER_TIMEOUT_MILLISECONDS = 60;
const DISPATCHER_BACKOFF_MILLISECONDS = 500;
const WINDOW_MILLISECONDS = 4000;
const TOLERATED_SHARE = 1.5;
const TOLERATED_REQUESTS = 5;

/** Requests per second that an upstream without a limit serves. */
const FREE_RATE = 10;

/** Requests per second and upstream, as a multiple of what limits leave. */
const LOAD = 1.3;

interface HostState {
  readonly grants: UpstreamGrants;
  /** Time until which the dispatcher is not called. */
  backoffUntil: number;
  /** Times at which this host sees the granting host as lost, and as back. */
  readonly lostFrom: number;
  readonly lostUntil: number;
}

/** Runs the model once. */
export class NamedLimitsModel {
  private readonly events = new EventQueue();
  private readonly random: () => number;
  private readonly hosts: readonly HostState[];
  private readonly limitedCount: number;
  /** Times at which each upstream with a limit got a request. */
  private readonly arrivals: readonly number[][];
  private served = 0;
  private sent = 0;

  constructor(private readonly run: NamedLimitsRun) {
    this.random = randomFrom(run.seed);
    this.limitedCount = Math.max(
      1,
      Math.round(run.upstreams * run.limitedShare),
    );
    this.arrivals = Array.from({length: this.limitedCount}, () => []);
    this.hosts = Array.from({length: run.hosts}, () => ({
      grants: new UpstreamGrants(),
      backoffUntil: 0,
      lostFrom: TROUBLE_AT_MILLISECONDS + this.detectionDelay(),
      lostUntil:
        TROUBLE_AT_MILLISECONDS + TROUBLE_MILLISECONDS + this.detectionDelay(),
    }));
  }

  /** Runs to the end and returns what it showed. */
  result(): NamedLimitsResult {
    this.scheduleArrival(0);
    this.events.runUntil(DURATION_MILLISECONDS);
    const allowed =
      (this.run.limit * TOLERATED_SHARE * WINDOW_MILLISECONDS) / 1000 +
      TOLERATED_REQUESTS;
    const most = Math.max(...this.arrivals.map(mostInWindow));
    const possible =
      this.limitedCount < this.run.upstreams
        ? this.sent
        : Math.min(this.sent, (this.capacity() * DURATION_MILLISECONDS) / 1000);
    return {
      mostOfAllowed: most / allowed,
      servedShare: this.served / possible,
    };
  }

  /** Requests per second that all upstreams take together. */
  private capacity(): number {
    const {upstreams, limit} = this.run;
    return (
      this.limitedCount * limit + (upstreams - this.limitedCount) * FREE_RATE
    );
  }

  private scheduleArrival(now: number): void {
    const rate = (this.capacity() * LOAD) / 1000;
    this.events.at(now + exponential(this.random, rate), next => {
      const host = Math.floor(this.random() * this.run.hosts);
      if (!this.isDown(host, next)) {
        this.sent += 1;
        this.send(host, next);
      }
      this.scheduleArrival(next);
    });
  }

  private send(host: number, now: number): void {
    const index = Math.floor(this.random() * this.run.upstreams);
    switch (this.run.policy) {
      case 'none':
        this.deliver(index, now);
        return;
      case 'equal-shares': {
        const share = 1 / this.run.hosts;
        this.sendGranted(this.hosts[host], index, share, now);
        return;
      }
      case 'grants':
        this.sendWithGrant(host, index, now);
    }
  }

  private sendWithGrant(host: number, index: number, now: number): void {
    const state = this.hosts[host];
    if (state === undefined) {
      return;
    }
    const dispatcher = this.dispatcherSeenBy(host, now);
    if (dispatcher === host || this.isReachable(host, dispatcher, now)) {
      const granter = this.hosts[dispatcher];
      const share = this.shareOf(dispatcher, now);
      this.sendGranted(granter, index, share, now);
      return;
    }
    const wait =
      now >= state.backoffUntil ? DISPATCHER_TIMEOUT_MILLISECONDS : 0;
    if (wait > 0) {
      state.backoffUntil = now + DISPATCHER_BACKOFF_MILLISECONDS;
    }
    if (this.limitedCount < this.run.upstreams) {
      this.deliver(this.limitedCount, now + wait);
      return;
    }
    const standIn = 1;
    if (host === standIn || this.isReachable(host, standIn, now)) {
      const share = this.shareOf(standIn, now);
      this.sendGranted(this.hosts[standIn], index, share, now + wait);
    }
  }

  /** Sends a request with a grant, beginning at the upstream `index`. */
  private sendGranted(
    granter: HostState | undefined,
    index: number,
    share: number,
    now: number,
  ): void {
    if (granter === undefined) {
      return;
    }
    const {upstreams, limit} = this.run;
    for (let offset = 0; offset < upstreams; offset += 1) {
      const candidate = (index + offset) % upstreams;
      if (candidate >= this.limitedCount) {
        this.deliver(candidate, now);
        return;
      }
      const upstream = {upstreamId: `i-${candidate}`, bornAt: 1};
      const rate = limit * share;
      const wait = granter.grants.waitFor(upstream, rate, now);
      if (wait <= LONGEST_GRANT_WAIT_MILLISECONDS) {
        granter.grants.take(upstream, rate, now);
        this.deliver(candidate, now + wait);
        return;
      }
    }
  }

  private deliver(index: number, now: number): void {
    this.served += 1;
    this.arrivals[index]?.push(now);
  }

  /** Returns the share of a limit that `host` grants. */
  private shareOf(host: number, now: number): number {
    const {hosts, trouble} = this.run;
    const state = this.hosts[host];
    const isLostSeen =
      state !== undefined &&
      trouble !== 'none' &&
      now >= state.lostFrom &&
      (trouble === 'killed' || now < state.lostUntil);
    const isCutOff = trouble === 'cut' && host === 0;
    const missing = isLostSeen ? (isCutOff ? hosts - 1 : 1) : 0;
    return grantShareOf({
      dispatcherFor: this.dispatcherFor(host, now),
      servingHosts: hosts - missing,
      knownHosts: hosts,
    });
  }

  private dispatcherFor(host: number, now: number): number | undefined {
    if (this.dispatcherSeenBy(host, now) !== host) {
      return undefined;
    }
    const state = this.hosts[host];
    const isBack =
      host === 0 &&
      this.run.trouble === 'frozen' &&
      now >= TROUBLE_AT_MILLISECONDS + TROUBLE_MILLISECONDS;
    if (host === 0) {
      return isBack
        ? now - TROUBLE_AT_MILLISECONDS - TROUBLE_MILLISECONDS
        : now + WINDOW_MILLISECONDS;
    }
    return now - (state?.lostFrom ?? now);
  }

  /** Returns the host that `host` takes for the dispatcher. */
  private dispatcherSeenBy(host: number, now: number): number {
    const state = this.hosts[host];
    const seesLoss =
      this.run.trouble !== 'none' &&
      host !== 0 &&
      state !== undefined &&
      now >= state.lostFrom &&
      (this.run.trouble === 'killed' || now < state.lostUntil);
    return seesLoss ? 1 : 0;
  }

  private isDown(host: number, now: number): boolean {
    const {trouble} = this.run;
    const isStruck =
      host === 0 &&
      now >= TROUBLE_AT_MILLISECONDS &&
      (trouble === 'killed' ||
        now < TROUBLE_AT_MILLISECONDS + TROUBLE_MILLISECONDS);
    return isStruck && (trouble === 'killed' || trouble === 'frozen');
  }

  private isReachable(from: number, to: number, now: number): boolean {
    const isCut =
      this.run.trouble === 'cut' &&
      (from === 0) !== (to === 0) &&
      now >= TROUBLE_AT_MILLISECONDS &&
      now < TROUBLE_AT_MILLISECONDS + TROUBLE_MILLISECONDS;
    return !isCut && !this.isDown(to, now);
  }

  private detectionDelay(): number {
    const [least, most] = DETECTION_MILLISECONDS;
    return least + this.random() * (most - least);
  }
}

/** Returns the most of the sorted `times` within one window. */
function mostInWindow(times: readonly number[]): number {
  const sorted = [...times].sort((left, right) => left - right);
  let most = 0;
  let first = 0;
  sorted.forEach((time, index) => {
    while ((sorted[first] ?? time) <= time - WINDOW_MILLISECONDS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}
