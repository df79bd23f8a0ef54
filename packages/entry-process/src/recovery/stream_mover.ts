/**
 * The move of streams away from upstreams that are leaving.
 */
import {
  chooseResumption,
  MINIMUM_TOKENS_TO_MOVE,
  recomputedTokens,
  type Resumption,
  type Upstream,
} from '@lacewingwinch/decisions';
import {
  type CacheHandle,
  exportCache,
  type ResumePoint,
} from '@lacewingwinch/upstreams';

import type {FrontContext} from '../front/front_context.js';
import {estimateTokens, textOfEvents} from '../front/prompt_text.js';
import type {ServedRequest} from '../front/served_request.js';

/** Milliseconds before the reclaim time at which streams are moved. */
const MOVE_LEAD_MILLISECONDS = 1500;

/** Tokens of key-value cache that are transferred per millisecond. */
const CACHE_TOKENS_PER_MILLISECOND = 20;

/** Moves streams, together with their key-value caches if time permits. */
export class StreamMover {
  /** Key-value caches exported for requests that move, by request id. */
  private readonly exportedCaches = new Map<string, CacheHandle>();

  constructor(private readonly context: FrontContext) {}

  /**
   * Moves the streams that run on `upstreamIds` before the reclaim time, those
   * with the most events first; moves them at once if the time is unknown.
   */
  onLeaving(
    running: Iterable<ServedRequest>,
    upstreamIds: readonly string[],
    reclaimTime: number | undefined,
  ): void {
    const delay =
      reclaimTime === undefined
        ? 0
        : reclaimTime - this.context.clock() - MOVE_LEAD_MILLISECONDS;
    const streams = [...running]
      .filter(
        ({upstreamId, copy}) =>
          copy.callKind !== 'plain' &&
          upstreamId !== undefined &&
          upstreamIds.includes(upstreamId),
      )
      .sort((left, right) => right.buffer.length - left.buffer.length);
    for (const request of streams) {
      const {upstreamId} = request;
      setTimeout(
        () => void this.moveStream(request, upstreamId, reclaimTime),
        Math.max(0, delay),
      );
    }
  }

  /**
   * Returns the point from which the next attempt of `request` resumes, or
   * undefined for a first attempt.
   */
  resumePoint(request: ServedRequest): ResumePoint | undefined {
    const offset = request.buffer.length;
    if (request.attempts <= 1 && offset === 0) {
      return undefined;
    }
    const cache = this.exportedCaches.get(request.id);
    const resumptionKind = resumptionKindOf(cache, offset);
    request.recordStep(
      {kind: 'resumed', way: resumptionKind},
      this.context.clock(),
    );
    this.countRecomputedTokens(request, resumptionKind);
    this.exportedCaches.delete(request.id);
    const text = textOfEvents(request.buffer.from(0));
    return {offset, text, ...(cache === undefined ? {} : {cache})};
  }

  private countRecomputedTokens(
    request: ServedRequest,
    resumptionKind: Resumption['kind'],
  ): void {
    const tokens = recomputedTokens(
      {kind: resumptionKind},
      {
        promptTokens: estimateTokens(request.body.length),
        producedTokens: request.buffer.length,
      },
    );
    this.context.metrics.recomputedTokens.inc({cause: resumptionKind}, tokens);
  }

  /**
   * Exports the key-value cache of the running attempt for the host that takes
   * over `request`. Returns undefined if there is no cache to export, if the
   * request has too few tokens to move, or if the export fails.
   */
  async exportForHost(
    request: ServedRequest,
  ): Promise<CacheHandle | undefined> {
    const source = this.context.directory.find(request.upstreamId ?? '');
    const tokens = estimateTokens(request.body.length) + request.buffer.length;
    if (
      request.copy.callKind === 'plain' ||
      source === undefined ||
      tokens < MINIMUM_TOKENS_TO_MOVE
    ) {
      return undefined;
    }
    await this.exportCacheFrom(request, source);
    return this.exportedCaches.get(request.id);
  }

  /** Adds a cache that another host exported for `request`. */
  addExportedCache(request: ServedRequest, handle: CacheHandle): void {
    this.exportedCaches.set(request.id, handle);
  }

  /** Discards the handle of the cache exported for `request`. */
  discardCache(request: ServedRequest): void {
    this.exportedCaches.delete(request.id);
  }

  private async moveStream(
    request: ServedRequest,
    upstreamId: string | undefined,
    reclaimTime: number | undefined,
  ): Promise<void> {
    if (!request.isRunning() || request.upstreamId !== upstreamId) {
      return;
    }
    const source = this.context.directory.find(upstreamId ?? '');
    const now = this.context.clock();
    const resumption = chooseResumption({
      promptTokens: estimateTokens(request.body.length),
      producedTokens: request.buffer.length,
      isSourceReachable: source !== undefined,
      canMoveCache: true,
      noticeMillisecondsLeft:
        (reclaimTime ?? now + MOVE_LEAD_MILLISECONDS) - now,
      cacheTokensPerMillisecond: CACHE_TOKENS_PER_MILLISECOND,
    });
    if (resumption.kind === 'import-cache' && source !== undefined) {
      await this.exportCacheFrom(request, source);
    }
    this.context.events.write(4002, {
      requestId: request.id,
      upstreamId: upstreamId ?? '',
      cause: 'upstream-leaving',
    });
    if (request.upstreamId === upstreamId) {
      request.cancelAttempt({kind: 'upstream-leaving'});
    }
  }

  private async exportCacheFrom(
    request: ServedRequest,
    source: Upstream,
  ): Promise<void> {
    try {
      const handle = await exportCache(
        this.context.connections,
        source.address,
        request.attemptId,
      );
      this.exportedCaches.set(request.id, handle);
    } catch {
      // Without the cache the next upstream prefills the stream again.
    }
  }
}

function resumptionKindOf(
  cache: CacheHandle | undefined,
  offset: number,
): Resumption['kind'] {
  if (cache !== undefined) {
    return 'import-cache';
  }
  return offset > 0 ? 'prefill' : 'restart';
}
