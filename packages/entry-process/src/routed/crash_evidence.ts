/**
 * What the attempts of one request show about its content: that an upstream
 * answered it completely, or that it ran at an upstream that ended.
 */
import type {
  RoutedAttemptFailure,
  UsableUpstream,
} from '@lacewingwinch/decisions';

import type {CrashWatch} from './crash_watch.js';
import type {RequestLog} from './request_log.js';
import type {AttemptOutcome} from './routed_attempt.js';

/** The content of a request, as far as other requests can share it. */
export interface SharedContent {
  /** Identifies the workspace, target and body. */
  readonly fingerprint: string;
  /** Ids of the prompt parts that other requests can share. */
  readonly sharedParts: readonly string[];
}

/** How far the answer of an attempt had come when the attempt ended. */
export interface AnswerProgress {
  /** Milliseconds since the answer began; undefined if it had not begun. */
  readonly millisecondsSinceAnswerBegan: number | undefined;
  readonly eventCount: number;
}

/** Passes the outcomes of one request's attempts to the crash detection. */
export class CrashEvidence {
  constructor(
    private readonly crashes: CrashWatch,
    private readonly log: RequestLog,
    private readonly content: SharedContent,
  ) {}

  /** Records how an attempt at `upstream` ended. */
  recordOutcome(
    upstream: UsableUpstream,
    outcome: AttemptOutcome,
    progress: AnswerProgress,
  ): void {
    switch (outcome.kind) {
      case 'streamed':
        if (outcome.isConfirmed) {
          this.crashes.recordCompletion(this.content.fingerprint);
        }
        return;
      case 'whole':
        if (outcome.head.framing !== 'connection') {
          this.crashes.recordCompletion(this.content.fingerprint);
        }
        return;
      case 'failed':
        this.recordFailure(upstream, outcome.failure, progress);
        return;
      case 'cancelled':
    }
  }

  private recordFailure(
    upstream: UsableUpstream,
    failure: RoutedAttemptFailure,
    progress: AnswerProgress,
  ): void {
    if (failure.kind !== 'lost' || failure.cause !== 'connection') {
      return;
    }
    const {fingerprint, sharedParts} = this.content;
    const {upstreamId} = upstream;
    this.log.recordLostConnection({upstreamId, sharedParts, ...progress});
    this.crashes.recordLostConnection(fingerprint, upstream);
  }
}
