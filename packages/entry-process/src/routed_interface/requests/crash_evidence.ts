/**
 * What the attempts of one request show about its content and its prompt parts:
 * that an upstream answered it, or that it ran at an upstream that crashed.
 */
import type {
  RoutedAttemptFailure,
  UsableUpstream,
} from '@lacewingwinch/decisions';

import type {LostConnection} from '../../paths/blame_inquiries.js';
import type {PartWatch} from '../../tasks/part_watch.js';
import type {Clocks} from '../../util/clocks.js';
import type {CrashWatch} from '../evidence/crash_watch.js';
import type {UnconfirmedEnds} from '../evidence/unconfirmed_ends.js';
import type {RequestLog} from './request_log.js';
import type {AttemptOutcome} from './routed_attempt.js';

/**
 * Milliseconds after the beginning of an answer within which a crash is blamed on
 * its prompt.
 */
const ACCUSATION_MILLISECONDS = 500;

/**
 * Milliseconds after the beginning of an answer at which its prompt has not
 * crashed the upstream.
 */
const SOUND_RUN_MILLISECONDS = 500;

/** The content of a request, as far as other requests can share it. */
export interface SharedContent {
  readonly service: string;
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
  /**
   * Time since which the process of the upstream is known to have run, in
   * milliseconds since the epoch; undefined if the attempt was not sent.
   */
  readonly upstreamRunningSince: number | undefined;
}

/** Dependencies of `CrashEvidence`. */
export interface CrashEvidenceDependencies {
  readonly clocks: Clocks;
  readonly crashes: CrashWatch;
  readonly unconfirmedEnds: UnconfirmedEnds;
  readonly parts: PartWatch;
  /** Returns whether an upstream ends because it leaves or is reclaimed. */
  readonly isEndExpected: (upstream: UsableUpstream) => boolean;
}

/** Passes what one request's attempts show to the detection of crashes. */
export class CrashEvidence {
  private soundRunTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly dependencies: CrashEvidenceDependencies,
    private readonly log: RequestLog,
    private readonly content: SharedContent,
  ) {}

  /**
   * Records that an upstream began to answer, whose process has run for
   * `millisecondsRunning` or longer.
   */
  recordBegan(upstream: UsableUpstream, millisecondsRunning: number): void {
    const {parts} = this.dependencies;
    const {service, sharedParts} = this.content;
    parts.recordSignOfLife(upstream, millisecondsRunning);
    if (sharedParts.length === 0) {
      return;
    }
    clearTimeout(this.soundRunTimer);
    this.soundRunTimer = setTimeout(
      () => parts.recordSound(service, sharedParts, 0),
      SOUND_RUN_MILLISECONDS,
    ).unref();
  }

  /** Records how an attempt at `upstream` ended. */
  recordOutcome(
    upstream: UsableUpstream,
    outcome: AttemptOutcome,
    progress: AnswerProgress,
  ): void {
    clearTimeout(this.soundRunTimer);
    switch (outcome.kind) {
      case 'streamed':
        this.recordAnswered(upstream, outcome.isConfirmed, progress);
        return;
      case 'whole':
        this.recordAnswered(
          upstream,
          outcome.head.framing !== 'connection',
          progress,
        );
        return;
      case 'failed':
        this.recordFailure(upstream, outcome.failure, progress);
        return;
      case 'cancelled':
    }
  }

  private recordAnswered(
    upstream: UsableUpstream,
    isConfirmed: boolean,
    progress: AnswerProgress,
  ): void {
    const {crashes, parts, isEndExpected, unconfirmedEnds} = this.dependencies;
    const {service, fingerprint, sharedParts} = this.content;
    if (isConfirmed) {
      crashes.recordCompletion(fingerprint);
      parts.recordSound(service, sharedParts, 0);
      return;
    }
    parts.awaitSignOfLife(
      upstream,
      sharedParts,
      SOUND_RUN_MILLISECONDS - (progress.millisecondsSinceAnswerBegan ?? 0),
    );
    if (!isEndExpected(upstream)) {
      unconfirmedEnds.record(
        fingerprint,
        lostConnectionOf(upstream, progress),
        this.accusation(upstream, progress),
      );
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
    this.dependencies.crashes.recordLostConnection(
      fingerprint,
      lostConnectionOf(upstream, progress),
      this.accusation(upstream, progress),
    );
  }

  /** Returns what accuses the prompt parts once the upstream is known to have ended. */
  private accusation(
    upstream: UsableUpstream,
    {
      millisecondsSinceAnswerBegan = Infinity,
      upstreamRunningSince: runningSince,
    }: AnswerProgress,
  ): () => void {
    const {clocks, parts, isEndExpected} = this.dependencies;
    const {service, sharedParts} = this.content;
    const {upstreamId, bornAt} = upstream;
    const lostAt = clocks.steady();
    return () => {
      const isAccused =
        sharedParts.length > 0 &&
        millisecondsSinceAnswerBegan <= ACCUSATION_MILLISECONDS &&
        !isEndExpected(upstream);
      if (isAccused) {
        parts.recordCrash(
          {service, upstreamId, bornAt, runningSince},
          sharedParts,
          clocks.steady() - lostAt,
        );
      }
    };
  }
}

function lostConnectionOf(
  {upstreamId, address, bornAt}: UsableUpstream,
  {upstreamRunningSince}: AnswerProgress,
): LostConnection {
  return {upstreamId, address, bornAt, runningSince: upstreamRunningSince};
}
