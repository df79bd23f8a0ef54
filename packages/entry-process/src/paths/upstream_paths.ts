/**
 * The paths from this host to the upstreams: which of them work, which other host
 * carries attempts where they do not, and what a silent or lost connection says.
 */
import {
  type CarriedAttempt,
  type CarrierResult,
  Carriers,
  chooseWay,
  isCutOffRequest,
  type ListedStart,
  type Member,
  type OpenRequest,
  type ReachReport,
  type TriedWays,
  UpstreamReach,
  upstreamsToTry,
  type Way,
  withoutCutOff,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';

import {BlameInquiries, type EndedUpstream} from './blame_inquiries.js';
import {CutOffTrial} from './cut_off_trial.js';
import {ReachQueries} from './reach_queries.js';

/** Milliseconds between two looks at silent requests and failed paths. */
const CHECK_PERIOD_MILLISECONDS = 250;

/** Failed paths that are tried at once. */
const TRIALS_AT_ONCE = 4;

/** Upstreams to which a host connects for one query of another host. */
const MAXIMUM_QUERIED_UPSTREAMS = 4;

/** An upstream whose path is queried. */
export interface PathTarget {
  readonly upstreamId: string;
  /** IP address and port. */
  readonly address: string;
}

/** A request in progress over a link of this host. */
export interface WatchedRequest extends OpenRequest {
  /** Called if the link is cut while another host reaches the upstream. */
  readonly onOutOfReach: () => void;
}

/** Dependencies of `UpstreamPaths`. */
export interface UpstreamPathsDependencies {
  readonly failureDomain: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  readonly random: () => number;
  /** Returns the other serving hosts. */
  readonly otherHosts: () => readonly Member[];
  /** Returns the address of a listed upstream. */
  readonly addressOf: (upstreamId: string) => string | undefined;
  /** Returns the list of upstreams with the starts of their processes. */
  readonly listedStarts: () => readonly ListedStart[];
  /** Returns whether an upstream accepts a connection of this host. */
  readonly canConnect: (address: string) => Promise<boolean>;
  /** Closes the idle connections to an address, or to all of them. */
  readonly closeIdle: (address?: string) => void;
  /** Called when this host is cut off from the upstreams, and afterwards. */
  readonly onCutOffChange: () => void;
}

/** The paths of one entry host. */
export class UpstreamPaths {
  private readonly reach = new UpstreamReach();
  private readonly carriers = new Carriers();
  private readonly requests = new Set<WatchedRequest>();
  private readonly triedAt = new Map<string, number>();
  private readonly queries: ReachQueries;
  private readonly inquiries: BlameInquiries;
  private readonly cutOffTrial: CutOffTrial;
  private timer: NodeJS.Timeout | undefined;
  private wasCutOff = false;

  constructor(private readonly dependencies: UpstreamPathsDependencies) {
    this.queries = new ReachQueries({
      ...dependencies,
      isCutOff: hostId => this.isHostCutOff(hostId),
      onAnswer: (hostId, isCutOff) => this.recordHostCutOff(hostId, isCutOff),
    });
    this.inquiries = new BlameInquiries({
      ...dependencies,
      queries: this.queries,
      listed: dependencies.listedStarts,
    });
    this.cutOffTrial = new CutOffTrial({
      ...dependencies,
      isCutOff: now => this.reach.isCutOff(now),
      mayBeInReach: upstreamId => this.reach.mayBeInReach(upstreamId),
      tryPath: upstreamId => this.tryPath(upstreamId),
    });
  }

  /** Present time, in milliseconds of the steady clock. */
  get now(): number {
    return this.dependencies.clock();
  }

  /** Whether this host reaches none of the upstreams. */
  get isCutOff(): boolean {
    return this.reach.isCutOff(this.dependencies.clock());
  }

  /** Returns those of `serving` that are named to clients. */
  hostsForClients(
    serving: readonly Member[],
    ownId: string,
  ): readonly Member[] {
    return withoutCutOff(serving, ({hostId}) =>
      hostId === ownId ? this.isCutOff : this.isHostCutOff(hostId),
    );
  }

  /** Records a connection to an upstream, or bytes that arrived from it. */
  recordReached(upstreamId: string): void {
    this.reach.recordReached(upstreamId, this.dependencies.clock());
  }

  /** Records a connection that could not be made. */
  recordUnreachable(upstreamId: string, reason: string): void {
    const {clock, events} = this.dependencies;
    const now = clock();
    if (this.reach.isDirect(upstreamId, now)) {
      events.write(3011, {upstreamId, reason});
    }
    this.reach.recordUnreachable(upstreamId, now);
    this.startTimer();
    this.cutOffTrial.startIfDue(now);
  }

  /** Records that an established connection was lost. */
  recordLost(upstreamId: string): void {
    this.reach.recordLost(upstreamId, this.dependencies.clock());
  }

  /** Records what another host says of itself. */
  recordHostCutOff(hostId: string, isCutOff: boolean): void {
    this.carriers.recordCutOff(hostId, isCutOff, this.dependencies.clock());
  }

  /** Records what became of an attempt that another host was to carry. */
  recordCarried(
    hostId: string,
    upstreamId: string,
    result: CarrierResult,
  ): void {
    const {clock} = this.dependencies;
    this.carriers.recordResult(hostId, upstreamId, result, clock());
  }

  /** Returns the next way to an upstream; undefined if none is left. */
  nextWay(upstreamId: string, tried: TriedWays): Way | undefined {
    return chooseWay(
      {
        isDirect: this.reach.isDirect(upstreamId, this.dependencies.clock()),
        carrier: this.chooseCarrier(upstreamId, tried.triedHosts),
      },
      tried,
    );
  }

  /** Returns whether another host might carry an attempt to an upstream. */
  hasCarrier(upstreamId: string): boolean {
    return this.chooseCarrier(upstreamId, new Set()) !== undefined;
  }

  /**
   * Returns whether the failure to reach an upstream is that of the upstream:
   * another host failed as well, or there is no other.
   */
  isUnreachableForAll(upstreamId: string): boolean {
    const {clock, otherHosts} = this.dependencies;
    const others = otherHosts();
    return (
      others.length === 0 ||
      this.carriers.isOutOfReachElsewhere(others, upstreamId, clock())
    );
  }

  /**
   * Watches a request over a link of this host until the returned function is
   * called.
   */
  watch(request: WatchedRequest): () => void {
    this.requests.add(request);
    this.startTimer();
    return () => this.requests.delete(request);
  }

  /** Returns whether an upstream runs, by this host's link or another one's. */
  async isAlive({upstreamId, address}: PathTarget): Promise<boolean> {
    return (
      (await this.dependencies.canConnect(address)) ||
      (await this.queries.query([upstreamId])).find(upstreamId) === 'reached'
    );
  }

  /**
   * Returns whether a lost connection to an upstream may be the fault of this
   * host's links, and another host may know.
   */
  private isPathSuspect(upstreamId: string): boolean {
    const {clock, otherHosts} = this.dependencies;
    return (
      this.reach.isPathSuspect(upstreamId, clock()) && otherHosts().length > 0
    );
  }

  /**
   * Returns whether the upstream is to blame for a lost connection, and not the
   * links of this host.
   */
  async isUpstreamToBlame(lost: EndedUpstream): Promise<boolean> {
    return (
      !this.isPathSuspect(lost.upstreamId) || this.inquiries.hasEnded(lost)
    );
  }

  /** Answers another host that does not reach some upstreams. */
  async answer(upstreamIds: readonly string[]): Promise<ReachReport> {
    const {addressOf, canConnect} = this.dependencies;
    const queried = upstreamIds
      .slice(0, MAXIMUM_QUERIED_UPSTREAMS)
      .map(upstreamId => ({upstreamId, address: addressOf(upstreamId)}));
    const trial = this.cutOffTrial.run(this.dependencies.clock());
    const reached = await Promise.all(
      queried.map(async ({upstreamId, address}) =>
        address !== undefined && (await canConnect(address))
          ? [upstreamId]
          : [],
      ),
    );
    reached.flat().forEach(upstreamId => this.recordReached(upstreamId));
    await trial;
    return {
      reached: reached.flat(),
      unlisted: queried.flatMap(({upstreamId, address}) =>
        address === undefined ? [upstreamId] : [],
      ),
      isCutOff: this.isCutOff,
    };
  }

  /** Discards what is known of an upstream that left or started again. */
  forget(upstreamId: string): void {
    this.reach.forget(upstreamId);
    this.triedAt.delete(upstreamId);
  }

  private isHostCutOff(hostId: string): boolean {
    return this.carriers.isCutOff(hostId, this.dependencies.clock());
  }

  private chooseCarrier(
    upstreamId: string,
    triedHosts: CarriedAttempt['triedHosts'],
  ): Member | undefined {
    const {failureDomain, otherHosts, clock, random} = this.dependencies;
    return this.carriers.choose(
      otherHosts(),
      {upstreamId, failureDomain, triedHosts},
      clock(),
      random,
    );
  }

  private startTimer(): void {
    this.timer ??= setInterval(
      () => this.check(this.dependencies.clock()),
      CHECK_PERIOD_MILLISECONDS,
    ).unref();
  }

  private check(now: number): void {
    this.reportCutOff(now);
    for (const upstreamId of this.reach.takeTrials(TRIALS_AT_ONCE, now)) {
      void this.tryPath(upstreamId);
    }
    const silent = upstreamsToTry(
      [...this.requests],
      {
        anyReachedAt: this.reach.anyReachedAt,
        reachedAt: upstreamId => this.reach.reachedAt(upstreamId),
        triedAt: upstreamId => this.triedAt.get(upstreamId) ?? -Infinity,
      },
      now,
    );
    if (silent.length > 0) {
      silent.forEach(upstreamId => this.triedAt.set(upstreamId, now));
      void this.tryAll(silent);
    }
    if (
      this.requests.size === 0 &&
      !this.reach.hasOutOfReach &&
      !this.wasCutOff
    ) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }

  private reportCutOff(now: number): void {
    const isCutOff = this.reach.isCutOff(now);
    const {events, metrics, closeIdle, onCutOffChange} = this.dependencies;
    metrics.cutOff.set(isCutOff ? 1 : 0);
    if (isCutOff === this.wasCutOff) {
      return;
    }
    this.wasCutOff = isCutOff;
    if (isCutOff) {
      const silence = Math.round(now - this.reach.anyReachedAt);
      events.write(3013, {silence: Number.isFinite(silence) ? silence : -1});
      closeIdle();
      void this.tryAll([
        ...new Set([...this.requests].map(({upstreamId}) => upstreamId)),
      ]);
    } else {
      events.write(3014, {});
    }
    onCutOffChange();
  }

  /**
   * Tries the paths of upstreams that are silent. Requests whose path is cut
   * while another host reaches their upstream are given up.
   */
  private async tryAll(upstreamIds: readonly string[]): Promise<void> {
    const results = await Promise.all(
      upstreamIds.map(async upstreamId =>
        (await this.tryPath(upstreamId)) ? [] : [upstreamId],
      ),
    );
    const failed = results.flat();
    if (failed.length === 0) {
      return;
    }
    const {find} = await this.queries.query(failed);
    const now = this.dependencies.clock();
    for (const request of this.requests) {
      if (
        find(request.upstreamId) === 'reached' &&
        isCutOffRequest(
          request,
          {reachedAt: upstreamId => this.reach.reachedAt(upstreamId)},
          now,
        )
      ) {
        request.onOutOfReach();
      }
    }
  }

  /** Connects to an upstream without a request; returns whether it worked. */
  private async tryPath(upstreamId: string): Promise<boolean> {
    const {addressOf, canConnect, events, closeIdle} = this.dependencies;
    const address = addressOf(upstreamId);
    if (address === undefined) {
      this.forget(upstreamId);
      return true;
    }
    const wasInReach = this.reach.mayBeInReach(upstreamId);
    if (!(await canConnect(address))) {
      this.recordUnreachable(upstreamId, 'a trial connection failed');
      return false;
    }
    if (!wasInReach) {
      closeIdle(address);
      events.write(3012, {upstreamId});
    }
    this.recordReached(upstreamId);
    return true;
  }
}
