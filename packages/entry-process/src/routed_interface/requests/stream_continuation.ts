/**
 * The software version to which the stream of one request is bound. The first
 * event binds it; a client that takes a stream up binds it before the first
 * attempt.
 */
import {
  type Continuation,
  judgeOriginProcess,
  type OriginProcess,
  type RoutedAdmission,
  ServingError,
  type StreamBeginning,
  streamLifetimeMilliseconds,
  type UsableUpstream,
} from '@lacewingwinch/decisions';
import type {CallHeaders} from '@lacewingwinch/platform';

import type {FrontDependencies} from './front_dependencies.js';
import {isAnsweringProcess} from './upstream_request.js';

/** What the streams of one entry host share. */
export type StreamContinuationDependencies = Pick<
  FrontDependencies,
  | 'clocks'
  | 'confirmUpstreams'
  | 'events'
  | 'listedUpstream'
  | 'streams'
  | 'trueTime'
>;

/** The stream of one request, across the attempts of its client. */
export class StreamContinuation {
  private boundVersion: string | undefined;
  /** ID of the client's attempt that brought the first event of the stream. */
  private readonly originAttemptId: string;
  /** Time at which the last attempt was placed. */
  private sentAt = -Infinity;
  /** Resolves when a process that did not report its start has been judged. */
  private judgement: Promise<void> | undefined;

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
    const {rule} = this.admission;
    const {lastEventId, resumedAttemptId = ''} = this.headers;
    if (lastEventId === undefined || rule.execution !== 'resumable') {
      return undefined;
    }
    const isKnown = await this.locate(resumedAttemptId);
    return isKnown ? undefined : new ServingError('stream-unknown');
  }

  /** Binds the stream to the version that began it; returns whether it is known. */
  private async locate(attemptId: string): Promise<boolean> {
    const {rule, service} = this.admission;
    const continuation = await this.dependencies.streams.locate({
      attemptId,
      service: service.name,
      lifetimeMilliseconds: streamLifetimeMilliseconds(rule),
    });
    this.recordLocated(continuation, attemptId);
    switch (continuation.kind) {
      case 'at-version':
        this.boundVersion = continuation.softwareVersion;
        return true;
      case 'unknown':
        return false;
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
   * Binds the stream to the process that brings its first event, and records it for
   * the time in which the client may take the stream up. A process that did not
   * report its start is judged by the list of upstreams first.
   */
  recordFirstEvent(
    upstream: UsableUpstream,
    answeringProcessStart: number | undefined,
  ): void {
    const {rule} = this.admission;
    if (rule.execution !== 'resumable') {
      return;
    }
    if (this.boundVersion !== undefined) {
      this.recordOrigin(this.boundVersion);
      return;
    }
    if (isAnsweringProcess(upstream, answeringProcessStart)) {
      this.recordOrigin(upstream.softwareVersion);
      return;
    }
    const {trueTime, clocks} = this.dependencies;
    const beginning = {
      listedStart: upstream.bornAt,
      sentAt: this.sentAt,
      firstEventAt: trueTime(),
    };
    this.judgement = this.judge(upstream, beginning, clocks.suspensionAware());
  }

  /** Records that an attempt is made. */
  recordAttempt(): void {
    this.sentAt = this.dependencies.trueTime();
  }

  /** Returns whether the version that began the stream is known. */
  async isOriginKnown(): Promise<boolean> {
    await this.judgement;
    return (
      this.judgement === undefined ||
      this.boundVersion !== undefined ||
      (await this.locate(this.originAttemptId))
    );
  }

  private recordOrigin(softwareVersion: string): void {
    const {rule, service} = this.admission;
    this.boundVersion = softwareVersion;
    this.dependencies.streams.recordBegun({
      attemptId: this.originAttemptId,
      service: service.name,
      softwareVersion,
      lifetimeMilliseconds: streamLifetimeMilliseconds(rule),
    });
  }

  /** Judges by a list of after the first event which process brought it. */
  private async judge(
    {upstreamId, softwareVersion}: UsableUpstream,
    beginning: StreamBeginning,
    firstEventAt: number,
  ): Promise<void> {
    const {confirmUpstreams, listedUpstream, events} = this.dependencies;
    const isConfirmed = await confirmUpstreams(firstEventAt);
    const origin: OriginProcess = isConfirmed
      ? judgeOriginProcess(beginning, listedUpstream(upstreamId))
      : {kind: 'unknown'};
    events.write(4126, {
      requestId: this.headers.attemptId ?? '',
      upstreamId,
      judgement: origin.kind,
    });
    switch (origin.kind) {
      case 'as-listed':
        this.recordOrigin(softwareVersion);
        return;
      case 'replacement':
        this.recordOrigin(origin.softwareVersion);
        return;
      case 'unknown':
    }
  }

  /** Records that the stream has broken off and may be taken up at once. */
  recordBrokenOff(): void {
    this.dependencies.streams.sendCollected();
  }

  /** Records that the stream is complete. */
  recordComplete(): void {
    this.dependencies.streams.recordComplete(this.originAttemptId);
  }
}
