/**
 * The log lines and metrics of one request.
 */
import type {
  RoutedAdmission,
  RoutedAttemptFailure,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {CallHeaders} from '@lacewingwinch/platform';

/** Dependencies of `RequestLog`. */
export interface RequestLogDependencies {
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** The state of a request when it ended. */
export interface RequestSummary {
  readonly outcome: string;
  readonly durationMilliseconds: number;
  readonly attempts: number;
  /** Number of upstreams that may have run the request. */
  readonly upstreamsReached: number;
  /** Upstream of the last attempt; empty if there was none. */
  readonly upstreamId: string;
  readonly eventCount: number;
}

/** A running attempt whose connection ended. */
export interface LostConnection {
  readonly upstreamId: string;
  /** Milliseconds since the answer began; undefined if it had not begun. */
  readonly millisecondsSinceAnswerBegan: number | undefined;
  readonly eventCount: number;
  /** Ids of the prompt parts that other requests can share. */
  readonly sharedParts: readonly string[];
}

/** Writes what happens to one request. */
export class RequestLog {
  constructor(
    private readonly dependencies: RequestLogDependencies,
    private readonly requestId: string,
    private readonly admission: RoutedAdmission,
  ) {}

  /** Records that a client takes up a stream that broke off. */
  recordContinuation({lastEventId, resumedAttemptId}: CallHeaders): void {
    if (lastEventId !== undefined && this.admission.rule.isStreamed) {
      this.dependencies.events.write(4107, {
        requestId: this.requestId,
        resumedAttemptId: resumedAttemptId ?? '',
        lastEventId,
      });
    }
  }

  /** Records the time until an upstream began to respond. */
  recordFirstByte(elapsedMilliseconds: number): void {
    this.dependencies.metrics.firstByteSeconds.observe(
      {service: this.admission.service.name},
      elapsedMilliseconds / 1000,
    );
  }

  /** Records a failed attempt and what follows it. */
  recordAttemptFailure(
    attempt: number,
    upstreamId: string,
    failure: RoutedAttemptFailure,
    next: string,
  ): void {
    const {events, metrics} = this.dependencies;
    events.write(4102, {
      requestId: this.requestId,
      attempt,
      upstreamId,
      failure: failure.kind,
      reason: 'status' in failure ? failure.status : failure.reason,
      next,
    });
    metrics.attempts.inc({
      end: failure.kind,
      service: this.admission.service.name,
    });
  }

  /** Records that the connection of a running attempt ended. */
  recordLostConnection(lost: LostConnection): void {
    const {events, metrics} = this.dependencies;
    const begun = lost.millisecondsSinceAnswerBegan;
    events.write(4108, {
      requestId: this.requestId,
      upstreamId: lost.upstreamId,
      begun: begun === undefined ? -1 : Math.round(begun),
      eventCount: lost.eventCount,
      parts: lost.sharedParts.join(','),
    });
    metrics.lostConnections.inc({
      answer: begun === undefined ? 'not-begun' : 'begun',
    });
  }

  /** Records the end of the request. */
  recordEnd(summary: RequestSummary): void {
    const {events, metrics} = this.dependencies;
    const {rule, service, workspace, configurationVersion} = this.admission;
    const {outcome} = summary;
    events.write(4101, {
      requestId: this.requestId,
      outcome,
      duration: Math.round(summary.durationMilliseconds),
      rule: rule.name,
      version: configurationVersion,
      attempts: summary.attempts,
      reached: summary.upstreamsReached,
      upstreamId: summary.upstreamId,
      eventCount: summary.eventCount,
    });
    metrics.requests.inc({
      workspace: workspace?.name ?? '',
      service: service.name,
      outcome: outcome.startsWith('broken') ? 'broken-off' : outcome,
    });
  }
}
