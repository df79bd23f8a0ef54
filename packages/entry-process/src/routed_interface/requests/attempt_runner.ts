/**
 * Runs the attempts of one request at upstreams, one after the other, and keeps
 * count of them.
 */
import {
  type AnswerEnd,
  type AnswerMemory,
  type AttemptHistory,
  eventPatienceMilliseconds,
  NO_WAYS_TRIED,
  type UpstreamAnnouncements,
  type UsableUpstream,
  type Way,
  withTriedWay,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {ConnectionPool, SendingConnection} from '@lacewingwinch/upstreams';

import type {UpstreamPaths} from '../../paths/upstream_paths.js';
import type {Clocks} from '../../util/clocks.js';
import type {AnswerAnnouncements} from '../evidence/answer_announcements.js';
import type {Placement} from '../placement/placement_result.js';
import {canTakeAnotherWay, hasNotRun} from './attempt_ends.js';
import {createSender} from './attempt_sender.js';
import {healthResultOf, recordWay} from './attempt_ways.js';
import type {AttemptedRequest, AttemptTimes} from './attempted_request.js';
import type {FrontDependencies} from './front_dependencies.js';
import {isReplacementListed} from './replaced_upstream.js';
import {type AttemptOutcome, RoutedAttempt} from './routed_attempt.js';
import {createUpstreamRequest, requiredProcessOf} from './upstream_request.js';

/**
 * Milliseconds allowed to connect where another way is left; a connection takes a
 * few milliseconds.
 */
const DIRECT_CONNECT_MILLISECONDS = 100;

/** Dependencies of `AttemptRunner`. */
export interface AttemptRunnerDependencies {
  readonly clocks: Clocks;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly pool: ConnectionPool;
  readonly hostId: string;
  readonly announcements: UpstreamAnnouncements;
  readonly answers: AnswerAnnouncements;
  readonly paths: UpstreamPaths;
  /** Bounds the memory of the answers that the process collects. */
  readonly answerMemory: AnswerMemory;
  /** Returns the number of entry hosts that share limits and budgets. */
  readonly sharingHostCount: () => number;
  /** Returns true time in milliseconds since the epoch. */
  readonly trueTime: () => number;
  /** See `FrontDependencies`. */
  readonly confirmUpstreams: FrontDependencies['confirmUpstreams'];
  readonly listedUpstream: FrontDependencies['listedUpstream'];
}

/** Runs the attempts of one request. */
export class AttemptRunner {
  private readonly triedIds = new Set<string>();
  private attempt: RoutedAttempt | undefined;
  private isCancelled = false;
  /** Whether a byte of the last attempt was written. */
  private isSent = false;
  private attemptCount = 0;
  private reachedCount = 0;
  private last: UsableUpstream | undefined;
  /** Steady clock reading; undefined while the last attempt has no answer. */
  private answerBegunAt: number | undefined;
  /** Steady clock reading at the first byte of the last attempt. */
  private sentAt = 0;
  private wasSent = false;
  private runningSince: number | undefined;
  private reportedStart: number | undefined;

  constructor(
    private readonly dependencies: AttemptRunnerDependencies,
    private readonly request: AttemptedRequest,
  ) {}

  /** Upstreams that are not tried again. */
  get tried(): ReadonlySet<string> {
    return this.triedIds;
  }

  /** Number of attempts so far. */
  get attempts(): number {
    return this.attemptCount;
  }

  /** Number of upstreams that may have run the request. */
  get upstreamsReached(): number {
    return this.reachedCount;
  }

  /** Upstream of the last attempt; undefined before the first one. */
  get lastUpstream(): UsableUpstream | undefined {
    return this.last;
  }

  /**
   * Returns the milliseconds since the answer of the last attempt began;
   * undefined if it has not begun.
   */
  millisecondsSinceAnswerBegan(now: number): number | undefined {
    return this.answerBegunAt === undefined
      ? undefined
      : now - this.answerBegunAt;
  }

  /**
   * Time since which the process that got the last attempt is known to have run, in
   * milliseconds since the epoch; undefined if it was not sent.
   */
  get upstreamRunningSince(): number | undefined {
    return this.runningSince;
  }

  /**
   * Start that the process which answers the last attempt has reported on its
   * connection; undefined if it has not.
   */
  get answeringProcessStart(): number | undefined {
    return this.reportedStart;
  }

  /** Steady clock readings of the last attempt. */
  get times(): AttemptTimes {
    return {
      sentAt: this.wasSent ? this.sentAt : undefined,
      answerBegunAt: this.answerBegunAt,
    };
  }

  /** Returns the state of the request, which has `millisecondsLeft`. */
  history(millisecondsLeft: number): AttemptHistory {
    const {admission, relay} = this.request;
    return {
      execution: admission.rule.execution,
      upstreamsReached: this.reachedCount,
      attempts: this.attemptCount,
      maximumAttempts: this.request.maximumAttempts(),
      hasAnswerBegun: relay.hasBegun,
      canContinue: relay.canContinue,
      millisecondsLeft,
    };
  }

  /**
   * Makes one attempt at the upstream of `placement`, over the link of this host
   * or through other hosts until the upstream has received it.
   */
  async run(
    placement: Placement,
    millisecondsLeft: () => number,
  ): Promise<AttemptOutcome> {
    const {pool, announcements, paths, events} = this.dependencies;
    const {choice} = placement;
    const {upstream, estimateMilliseconds, cachedTokens} = choice;
    const {upstreamId} = upstream;
    this.triedIds.add(upstreamId);
    this.attemptCount += 1;
    this.last = upstream;
    this.answerBegunAt = undefined;
    this.wasSent = false;
    this.runningSince = undefined;
    this.reportedStart = undefined;
    events.write(4104, {
      requestId: this.request.attemptId,
      upstreamId,
      softwareVersion: upstream.softwareVersion,
      estimate: Math.round(estimateMilliseconds),
      error: Math.round(choice.errorMilliseconds ?? -1),
      age: Math.round(choice.knowledgeAgeMilliseconds ?? -1),
      cached: cachedTokens,
      prompt: this.request.promptTokens,
    });
    let tried = NO_WAYS_TRIED;
    let outcome: AttemptOutcome;
    for (;;) {
      const way = paths.nextWay(upstreamId, tried) ?? {kind: 'direct'};
      tried = withTriedWay(tried, way);
      this.isSent = false;
      outcome = await this.runOver(way, placement, millisecondsLeft());
      const hasAnotherWay = paths.nextWay(upstreamId, tried) !== undefined;
      if (this.isCancelled || !canTakeAnotherWay(outcome) || !hasAnotherWay) {
        break;
      }
    }
    placement.reportEnded(healthResultOf(paths, upstreamId, outcome));
    const now = this.dependencies.clocks.suspensionAware();
    if (
      await isReplacementListed(this.dependencies, {upstream, outcome}, now)
    ) {
      this.triedIds.delete(upstreamId);
    }
    if (announcements.isLeaving(upstream)) {
      pool.closeIdle(upstream.address);
    }
    return outcome;
  }

  /** Makes an attempt over one way to its upstream. */
  private async runOver(
    way: Way,
    placement: Placement,
    millisecondsLeft: number,
  ): Promise<AttemptOutcome> {
    const {announcements, clocks, paths, answers} = this.dependencies;
    const {attemptId, call, admission, relay} = this.request;
    const {choice} = placement;
    const {upstream} = choice;
    const {upstreamId} = upstream;
    const isContinuation =
      this.request.isContinuation || relay.lastEventId !== undefined;
    const requiredProcess = requiredProcessOf(
      upstream,
      admission.rule,
      isContinuation,
    );
    let stopWatching: () => void = () => undefined;
    const attempt = new RoutedAttempt(
      createSender(this.dependencies, way, {
        upstreamId,
        requestId: attemptId,
        requiredProcess,
        connectMilliseconds: DIRECT_CONNECT_MILLISECONDS,
      }),
      {
        attemptId,
        isStreamed: admission.rule.isStreamed,
        isContinuation,
        eventPatienceMilliseconds: eventPatienceMilliseconds(admission.rule),
        request: {
          ...createUpstreamRequest({
            call,
            admission,
            choice,
            priority: placement.promotedRank ?? admission.priority,
            relay,
            millisecondsLeft,
            sharingHostCount: this.dependencies.sharingHostCount(),
            requiredProcess,
          }),
          attemptId,
          ...(paths.hasCarrier(upstreamId) && {
            connectMilliseconds: DIRECT_CONNECT_MILLISECONDS,
          }),
        },
        memory: this.dependencies.answerMemory,
        stream: relay,
        isAccepting: () =>
          announcements.accepts(upstream, clocks.suspensionAware()) &&
          placement.isSendable() &&
          this.request.mayBeSent(upstream),
        onHead: ({status, reportedStart}, headers, isOwn) => {
          this.reportedStart = reportedStart;
          const said = answers.record(upstream, {
            status,
            headers,
            isOwn,
            sentAt: this.sentAt,
          });
          if (said.some(({kind}) => kind === 'paused')) {
            // A refusal for the sake of a pause does not speak against another
            // attempt at this upstream later.
            this.triedIds.delete(upstreamId);
          }
        },
        onSend: connection => {
          this.isSent = true;
          this.wasSent = true;
          this.reachedCount += 1;
          this.sentAt = clocks.steady();
          this.runningSince = this.runningSinceOver(way, connection);
          if (way.kind === 'direct') {
            stopWatching = this.watch(attempt, upstreamId, connection.isNew);
          }
        },
        onBytes: () => this.recordBytes(way, upstreamId),
        onAnswerEnd: end => this.recordAnswerEnd(upstreamId, end),
        onFirstAnswerByte: () => {
          this.answerBegunAt = clocks.steady();
          placement.reportStarted();
          this.request.onFirstAnswerByte(upstream);
        },
      },
      clocks.steady,
    );
    this.attempt = attempt;
    attempt.start();
    if (this.isCancelled) {
      attempt.cancel();
    }
    const outcome = await attempt.outcome;
    stopWatching();
    if (this.isSent && hasNotRun(outcome)) {
      this.reachedCount -= 1;
    }
    recordWay(this.dependencies, {way, upstreamId, outcome});
    return outcome;
  }

  /**
   * Returns since when the process at the other end of a connection has run, in
   * milliseconds since the epoch. Another host's connection is not known: its
   * upstream runs as the attempt is sent.
   */
  private runningSinceOver(way: Way, {openedAt}: SendingConnection): number {
    const {clocks, trueTime} = this.dependencies;
    switch (way.kind) {
      case 'direct':
        return trueTime() - (clocks.suspensionAware() - openedAt);
      case 'carried':
        return trueTime();
    }
  }

  /**
   * Watches a request that was sent over the link of this host, and gives it up if
   * the link is cut and the request may be repeated.
   */
  private watch(
    attempt: RoutedAttempt,
    upstreamId: string,
    isNewConnection: boolean,
  ): () => void {
    const {paths} = this.dependencies;
    if (isNewConnection) {
      paths.recordReached(upstreamId);
    }
    const mayRunAgain =
      this.request.admission.rule.execution !== 'at-most-once';
    return paths.watch({
      upstreamId,
      sentAt: this.sentAt,
      onOutOfReach: () => {
        if (mayRunAgain) {
          const reason = 'the link to the upstream is cut';
          attempt.cancel({
            kind: 'failed',
            failure: {kind: 'lost', cause: 'path', reason},
          });
        }
      },
    });
  }

  private recordBytes(way: Way, upstreamId: string): void {
    if (way.kind === 'direct') {
      this.dependencies.paths.recordReached(upstreamId);
    }
  }

  /** Cancels the current attempt and those that follow. */
  cancel(): void {
    this.isCancelled = true;
    this.attempt?.cancel();
  }

  private recordAnswerEnd(
    upstreamId: string,
    {framing, pendingBytes}: AnswerEnd,
  ): void {
    const {events, metrics} = this.dependencies;
    const end = pendingBytes === 0 ? 'after-event' : 'inside-event';
    metrics.answerEnds.inc({end, framing});
    if (framing === 'connection' || pendingBytes > 0) {
      const requestId = this.request.attemptId;
      events.write(4106, {upstreamId, requestId, framing, pendingBytes});
    }
  }
}
