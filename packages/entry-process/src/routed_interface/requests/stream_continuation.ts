/**
 * The software version to which the stream of one request is bound. The first
 * event binds it; a client that takes a stream up binds it before the first
 * attempt.
 */
import {
  type Continuation,
  judgeOriginProcess,
  mustAwaitList,
  type RoutedAdmission,
  ServingError,
  type StreamBeginning,
  streamLifetimeMilliseconds,
  type UsableUpstream,
} from '@lacewingwinch/decisions';
import type {CallHeaders} from '@lacewingwinch/platform';

import {pause} from '../../util/pause.js';
import type {FrontDependencies} from './front_dependencies.js';

/** Milliseconds between two looks at the time of the list of upstreams. */
const LIST_CHECK_PERIOD_MILLISECONDS = 20;

/** What the streams of one entry host share. */
export type StreamContinuationDependencies = Pick<
  FrontDependencies,
  | 'clocks'
  | 'events'
  | 'listedUpstream'
  | 'streams'
  | 'trueTime'
  | 'upstreamsConfirmedAt'
>;

/** The stream of one request, across the attempts of its client. */
export class StreamContinuation {
  private boundVersion: string | undefined;
  /** ID of the client's attempt that brought the first event of the stream. */
  private readonly originAttemptId: string;
  /** Time at which the last attempt was placed. */
  private sentAt = -Infinity;
  /** The beginning of a stream that this request began, and its upstream. */
  private begun:
    | (StreamBeginning & {
        readonly upstreamId: string;
        /** Suspension-aware clock reading at the first event. */
        readonly seenAt: number;
      })
    | undefined;

  constructor(
    private readonly dependencies: StreamContinuationDependencies,
    private readonly headers: CallHeaders,
    private readonly admission: RoutedAdmission,
  ) {
    const {attemptId = '', lastEventId, resumedAttemptId} = headers;
    this.originAttemptId =
      lastEventId === undefined ? attemptId : (resumedAttemptId ?? attemptId);
  }

  /** Software version that continues the stream; undefined before it began. */
  get softwareVersion(): string | undefined {
    return this.boundVersion;
  }

  /**
   * Binds a stream that the client takes up to the version that began it.
   * Returns a refusal if that version is not known.
   */
  async findOrigin(): Promise<ServingError | undefined> {
    const {rule, service} = this.admission;
    const {lastEventId, resumedAttemptId = ''} = this.headers;
    if (lastEventId === undefined || rule.execution !== 'resumable') {
      return undefined;
    }
    const continuation = await this.dependencies.streams.locate({
      attemptId: resumedAttemptId,
      service: service.name,
      lifetimeMilliseconds: streamLifetimeMilliseconds(rule),
    });
    this.recordLocated(continuation, resumedAttemptId);
    switch (continuation.kind) {
      case 'at-version':
        this.boundVersion = continuation.softwareVersion;
        return undefined;
      case 'unknown':
        return new ServingError('stream-unknown');
    }
  }

  private recordLocated(
    continuation: Continuation,
    resumedAttemptId: string,
  ): void {
    const isKnown = continuation.kind === 'at-version';
    this.dependencies.events.write(4125, {
      requestId: this.headers.attemptId ?? '',
      resumedAttemptId,
      softwareVersion: isKnown ? continuation.softwareVersion : '',
      basis: isKnown ? continuation.basis : continuation.cause,
    });
  }

  /**
   * Binds the stream to the upstream that brings its first event, and records it
   * for the time in which the client may take the stream up.
   */
  recordFirstEvent({
    upstreamId,
    softwareVersion,
    bornAt,
  }: UsableUpstream): void {
    const {rule, service} = this.admission;
    if (rule.execution !== 'resumable') {
      return;
    }
    const {sentAt} = this;
    const firstEventAt = this.dependencies.trueTime();
    const seenAt = this.dependencies.clocks.suspensionAware();
    this.begun ??= {
      upstreamId,
      listedStart: bornAt,
      sentAt,
      firstEventAt,
      seenAt,
    };
    this.boundVersion = softwareVersion;
    this.dependencies.streams.recordBegun({
      attemptId: this.originAttemptId,
      service: service.name,
      softwareVersion,
      lifetimeMilliseconds: streamLifetimeMilliseconds(rule),
    });
  }

  /** Records that an attempt is made. */
  recordAttempt(): void {
    this.sentAt = this.dependencies.trueTime();
  }

  /**
   * Returns whether it is known which process began the stream, and corrects the
   * version to which it is bound by what has become known of its upstream. A
   * process lists itself when it starts; the list that shows it may not have been
   * read yet.
   */
  async isOriginKnown(signal: AbortSignal): Promise<boolean> {
    if (this.begun === undefined) {
      return true;
    }
    await this.awaitList(this.begun.seenAt, signal);
    const present = this.dependencies.listedUpstream(this.begun.upstreamId);
    const origin = judgeOriginProcess(this.begun, present);
    switch (origin.kind) {
      case 'as-listed':
        return true;
      case 'replacement':
        this.boundVersion = origin.softwareVersion;
        return true;
      case 'unknown':
        return false;
    }
  }

  private async awaitList(
    firstEventAt: number,
    signal: AbortSignal,
  ): Promise<void> {
    const {clocks, upstreamsConfirmedAt} = this.dependencies;
    const isLacking = (): boolean =>
      mustAwaitList(
        {firstEventAt, listConfirmedAt: upstreamsConfirmedAt()},
        clocks.suspensionAware(),
      );
    while (!signal.aborted && isLacking()) {
      await pause(LIST_CHECK_PERIOD_MILLISECONDS, signal);
    }
  }

  /** Records that the stream is complete. */
  recordComplete(): void {
    this.dependencies.streams.recordComplete(this.originAttemptId);
  }
}
