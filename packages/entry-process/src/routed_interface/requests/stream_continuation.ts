/**
 * The software version to which the stream of one request is bound. The first
 * event binds it; a client that takes a stream up binds it before the first
 * attempt.
 */
import {
  type RoutedAdmission,
  ServingError,
  streamLifetimeMilliseconds,
  type UsableUpstream,
} from '@lacewingwinch/decisions';
import type {CallHeaders} from '@lacewingwinch/platform';

import type {StreamOriginExchange} from '../state/stream_origin_exchange.js';

/** The stream of one request, across the attempts of its client. */
export class StreamContinuation {
  private boundVersion: string | undefined;
  /** ID of the client's attempt that brought the first event of the stream. */
  private readonly originAttemptId: string;

  constructor(
    private readonly streams: StreamOriginExchange,
    private readonly headers: CallHeaders,
    private readonly admission: RoutedAdmission,
  ) {
    const {attemptId = '', lastEventId, resumedAttemptId} = headers;
    this.originAttemptId =
      lastEventId === undefined ? attemptId : (resumedAttemptId ?? attemptId);
  }

  /** Software version at which the stream goes on; undefined before it began. */
  get softwareVersion(): string | undefined {
    return this.boundVersion;
  }

  /**
   * Binds a stream that the client takes up to the version that began it.
   * Returns a refusal if that version is not known.
   */
  async findOrigin(): Promise<ServingError | undefined> {
    const {rule, service} = this.admission;
    const {lastEventId, resumedAttemptId} = this.headers;
    if (lastEventId === undefined || rule.execution !== 'resumable') {
      return undefined;
    }
    const continuation = await this.streams.locate({
      attemptId: resumedAttemptId ?? '',
      service: service.name,
      lifetimeMilliseconds: streamLifetimeMilliseconds(rule),
    });
    switch (continuation.kind) {
      case 'at-version':
        this.boundVersion = continuation.softwareVersion;
        return undefined;
      case 'unknown':
        return new ServingError('stream-unknown');
    }
  }

  /**
   * Binds the stream to the upstream that brings its first event, and records it
   * for the time in which the client may take the stream up.
   */
  recordFirstEvent({softwareVersion}: UsableUpstream): void {
    const {rule, service} = this.admission;
    if (rule.execution !== 'resumable') {
      return;
    }
    this.boundVersion = softwareVersion;
    this.streams.recordBegun({
      attemptId: this.originAttemptId,
      service: service.name,
      softwareVersion,
      lifetimeMilliseconds: streamLifetimeMilliseconds(rule),
    });
  }

  /** Records that the stream is complete. */
  recordComplete(): void {
    this.streams.recordComplete(this.originAttemptId);
  }
}
