/**
 * Runs the attempts of one request at upstreams, one after the other, and keeps
 * count of them.
 */
import type {RoutedCall} from '@lacewingwinch/callers';
import {
  type AnswerEnd,
  type AttemptHistory,
  eventPatienceMilliseconds,
  type RoutedAdmission,
  type UpstreamAnnouncement,
  type UpstreamAnnouncements,
  type UpstreamLimits,
  type UsableUpstream,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {ConnectionPool} from '@lacewingwinch/upstreams';

import type {Clocks} from './clocks.js';
import type {Placement} from './placement_result.js';
import {type AttemptOutcome, RoutedAttempt} from './routed_attempt.js';
import type {StreamRelay} from './stream_relay.js';
import {createUpstreamRequest} from './upstream_request.js';
import {upstreamResultOf} from './upstream_result.js';

/** Dependencies of `AttemptRunner`. */
export interface AttemptRunnerDependencies {
  readonly clocks: Clocks;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly pool: ConnectionPool;
  readonly announcements: UpstreamAnnouncements;
  readonly upstreamLimits: UpstreamLimits;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
  /** Returns the number of entry hosts that share limits and budgets. */
  readonly sharingHostCount: () => number;
}

/** The request that is sent to upstreams. */
export interface AttemptedRequest {
  readonly attemptId: string;
  readonly promptTokens: number;
  /** Whether the client takes a stream up after one of its events. */
  readonly isContinuation: boolean;
  readonly call: RoutedCall;
  readonly admission: RoutedAdmission;
  /** The part of the response that the client has received so far. */
  readonly relay: StreamRelay;
  /** Returns whether the request may be sent just before its first byte. */
  readonly mayBeSent: () => boolean;
  /** Called at the first sign that an upstream is working on the request. */
  readonly onFirstAnswerByte: (upstream: UsableUpstream) => void;
}

/** Runs the attempts of one request. */
export class AttemptRunner {
  private readonly triedIds = new Set<string>();
  private attempt: RoutedAttempt | undefined;
  private isCancelled = false;
  private attemptCount = 0;
  private reachedCount = 0;
  private last: UsableUpstream | undefined;
  /** Steady clock reading; undefined while the last attempt has no answer. */
  private answerBegunAt: number | undefined;
  /** Steady clock reading at the first byte of the last attempt. */
  private sentAt = 0;

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

  /** Returns the state of the request, which has `millisecondsLeft`. */
  history(millisecondsLeft: number): AttemptHistory {
    const {admission, relay} = this.request;
    return {
      execution: admission.rule.execution,
      upstreamsReached: this.reachedCount,
      attempts: this.attemptCount,
      maximumAttempts: admission.rule.maximumAttempts,
      hasAnswerBegun: relay.hasBegun,
      millisecondsLeft,
    };
  }

  /** Makes one attempt at the upstream of `placement`. */
  async run(
    placement: Placement,
    millisecondsLeft: number,
  ): Promise<AttemptOutcome> {
    const {pool, announcements, clocks, sharingHostCount, events} =
      this.dependencies;
    const {attemptId, call, admission, relay} = this.request;
    const {choice} = placement;
    const {upstream} = choice;
    this.triedIds.add(upstream.upstreamId);
    this.attemptCount += 1;
    this.last = upstream;
    this.answerBegunAt = undefined;
    const attempt = new RoutedAttempt(
      pool,
      {
        attemptId,
        isStreamed: admission.rule.isStreamed,
        isContinuation:
          this.request.isContinuation || relay.lastEventId !== undefined,
        eventPatienceMilliseconds: eventPatienceMilliseconds(admission.rule),
        request: createUpstreamRequest({
          call,
          admission,
          choice,
          relay,
          millisecondsLeft,
          sharingHostCount: sharingHostCount(),
        }),
        stream: relay,
        isAccepting: () =>
          announcements.accepts(upstream, clocks.suspensionAware()) &&
          placement.isSendable() &&
          this.request.mayBeSent(),
        onAnnouncement: announcement =>
          this.recordAnnouncement(upstream, announcement),
        onSend: () => {
          this.reachedCount += 1;
          this.sentAt = clocks.steady();
        },
        onLimit: requestsPerSecond =>
          this.recordLimit(upstream, requestsPerSecond),
        onAnswerEnd: end => this.recordAnswerEnd(upstream.upstreamId, end),
        onFirstAnswerByte: () => {
          this.answerBegunAt = clocks.steady();
          placement.reportStarted();
          this.request.onFirstAnswerByte(upstream);
        },
      },
      clocks.steady,
    );
    this.attempt = attempt;
    events.write(4104, {
      requestId: attemptId,
      upstreamId: upstream.upstreamId,
      softwareVersion: upstream.softwareVersion,
      estimate: Math.round(choice.estimateMilliseconds),
      cached: choice.cachedTokens,
      prompt: this.request.promptTokens,
    });
    attempt.start();
    if (this.isCancelled) {
      attempt.cancel();
    }
    const outcome = await attempt.outcome;
    if (outcome.kind === 'failed' && outcome.failure.kind === 'not-executed') {
      this.reachedCount -= 1;
    }
    placement.reportEnded(upstreamResultOf(outcome));
    if (announcements.isLeaving(upstream)) {
      pool.closeIdle(upstream.address);
    }
    return outcome;
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

  private recordLimit(
    upstream: UsableUpstream,
    requestsPerSecond: number | undefined,
  ): void {
    const {upstreamLimits, trueTime, clocks, events, metrics} =
      this.dependencies;
    if (requestsPerSecond === undefined && upstreamLimits.isEmpty) {
      return;
    }
    const answeredAt = trueTime();
    const statement = upstreamLimits.recordAnswer(upstream, {
      requestsPerSecond,
      sentAt: answeredAt - (clocks.steady() - this.sentAt),
      answeredAt,
    });
    if (statement === undefined) {
      return;
    }
    const {upstreamId, service} = upstream;
    const limit = statement.requestsPerSecond;
    if (limit === null) {
      events.write(3009, {upstreamId, service});
      metrics.upstreamLimits.remove({upstream: upstreamId});
      return;
    }
    events.write(3008, {upstreamId, service, limit});
    metrics.upstreamLimits.set({upstream: upstreamId}, limit);
  }

  private recordAnnouncement(
    upstream: UsableUpstream,
    announcement: UpstreamAnnouncement,
  ): void {
    const {announcements, clocks, events} = this.dependencies;
    const {upstreamId, service} = upstream;
    const isNew = announcements.record(
      upstream,
      announcement,
      clocks.suspensionAware(),
    );
    switch (announcement.kind) {
      case 'leaving':
        if (isNew) {
          events.write(3006, {upstreamId, service});
        }
        return;
      case 'paused':
        // A refusal for the sake of a pause does not speak against another
        // attempt at this upstream later.
        this.triedIds.delete(upstreamId);
        if (isNew) {
          const milliseconds = Math.round(announcement.milliseconds);
          events.write(3007, {upstreamId, service, milliseconds});
        }
    }
  }
}
