/**
 * What one attempt shows of the way that it takes to its upstream.
 */
import type {CarrierResult, Way} from '@lacewingwinch/decisions';
import {ConnectFailedError, type UpstreamError} from '@lacewingwinch/upstreams';

import {carrierResultOf, NotCarriedError} from '../paths/relay_sender.js';
import type {UpstreamPaths} from '../paths/upstream_paths.js';

/** Dependencies of `AttemptPath`. */
export interface AttemptPathDependencies {
  readonly paths: UpstreamPaths;
  readonly way: Way;
  readonly upstreamId: string;
  /** Called if the link is cut while another host reaches the upstream. */
  readonly onOutOfReach: () => void;
}

/** Passes what an attempt shows to the paths of its host. */
export class AttemptPath {
  private stopWatching: () => void = () => undefined;

  constructor(private readonly dependencies: AttemptPathDependencies) {}

  /** Records that the first byte is sent. */
  recordSent(): void {
    const {paths, way, upstreamId, onOutOfReach} = this.dependencies;
    if (way.kind === 'direct') {
      const sentAt = paths.now;
      this.stopWatching = paths.watch({upstreamId, sentAt, onOutOfReach});
    }
  }

  /** Records that a part of the answer arrived. */
  recordBytes(): void {
    const {paths, way, upstreamId} = this.dependencies;
    switch (way.kind) {
      case 'direct':
        paths.recordReached(upstreamId);
        return;
      case 'carried':
        paths.recordCarried(way.carrier.hostId, upstreamId, 'carried');
    }
  }

  /** Records that the attempt failed. */
  recordFailure({cause, message, failure}: UpstreamError): void {
    const {paths, way, upstreamId} = this.dependencies;
    if (failure.kind !== 'not-sent') {
      return;
    }
    switch (way.kind) {
      case 'direct':
        if (cause instanceof ConnectFailedError) {
          paths.recordUnreachable(upstreamId, message);
        }
        return;
      case 'carried':
        paths.recordCarried(way.carrier.hostId, upstreamId, resultOf(cause));
    }
  }

  /** Stops watching the attempt. */
  stop(): void {
    this.stopWatching();
  }
}

function resultOf(cause: unknown): CarrierResult {
  return cause instanceof NotCarriedError
    ? carrierResultOf(cause.refusal)
    : 'unreachable';
}
