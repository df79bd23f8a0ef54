/**
 * Moving of streams away from upstreams that leave.
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

/** Milliseconds before a reclaim at which streams are moved. */
const MOVE_LEAD_MILLISECONDS = 1500;

/** Tokens of key-value cache that move in a millisecond. */
const CACHE_TOKENS_PER_MILLISECOND = 20;

/** Moves streams, with their key-value caches where there is time. */
export class StreamMover {
  /** Key-value caches exported for requests that move, by request id. */
  private readonly exported = new Map<string, CacheHandle>();

  constructor(private readonly context: FrontContext) {}

  /** Moves the streams that run on `upstreamIds` before they are gone. */
  onLeaving(
    running: Iterable<ServedRequest>,
    upstreamIds: readonly string[],
    reclaimTime: number | undefined,
  ): void {
    const wait =
      reclaimTime === undefined
        ? 0
        : reclaimTime - this.context.clock() - MOVE_LEAD_MILLISECONDS;
    const moving = [...running]
      .filter(
        ({upstreamId, copy}) =>
          copy.callKind !== 'plain' &&
          upstreamId !== undefined &&
          upstreamIds.includes(upstreamId),
      )
      .sort((left, right) => right.buffer.length - left.buffer.length);
    for (const request of moving) {
      const {upstreamId} = request;
      setTimeout(
        () => void this.moveStream(request, upstreamId, reclaimTime),
        Math.max(0, wait),
      );
    }
  }

  /** Where the next attempt of `request` goes on; undefined for a first one. */
  resumePoint(request: ServedRequest): ResumePoint | undefined {
    const offset = request.buffer.length;
    if (request.attempts <= 1 && offset === 0) {
      return undefined;
    }
    const cache = this.exported.get(request.id);
    const way = wayOf(cache, offset);
    request.note({kind: 'resumed', way}, this.context.clock());
    this.countRecomputed(request, way);
    this.exported.delete(request.id);
    const text = textOfEvents(request.buffer.from(0));
    return {offset, text, ...(cache === undefined ? {} : {cache})};
  }

  private countRecomputed(
    request: ServedRequest,
    way: Resumption['kind'],
  ): void {
    const tokens = recomputedTokens(
      {kind: way},
      {
        promptTokens: estimateTokens(request.body.length),
        producedTokens: request.buffer.length,
      },
    );
    this.context.metrics.recomputedTokens.inc({cause: way}, tokens);
  }

  /** Exports the cache of the running attempt, for another host to import. */
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
    await this.exportFor(request, source);
    return this.exported.get(request.id);
  }

  /** Takes a cache that another host had exported. */
  import(request: ServedRequest, handle: CacheHandle): void {
    this.exported.set(request.id, handle);
  }

  /** Forgets what was exported for `request`. */
  forget(request: ServedRequest): void {
    this.exported.delete(request.id);
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
    const way = chooseResumption({
      promptTokens: estimateTokens(request.body.length),
      producedTokens: request.buffer.length,
      sourceAnswers: source !== undefined,
      canMoveCache: true,
      noticeLeft: (reclaimTime ?? now + MOVE_LEAD_MILLISECONDS) - now,
      cacheTokensPerMillisecond: CACHE_TOKENS_PER_MILLISECOND,
    });
    if (way.kind === 'import-cache' && source !== undefined) {
      await this.exportFor(request, source);
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

  private async exportFor(
    request: ServedRequest,
    source: Upstream,
  ): Promise<void> {
    try {
      const handle = await exportCache(
        this.context.connections,
        source.address,
        request.attemptId,
      );
      this.exported.set(request.id, handle);
    } catch {
      // Without the cache the stream is prefilled again.
    }
  }
}

function wayOf(
  cache: CacheHandle | undefined,
  offset: number,
): Resumption['kind'] {
  if (cache !== undefined) {
    return 'import-cache';
  }
  return offset > 0 ? 'prefill' : 'restart';
}
