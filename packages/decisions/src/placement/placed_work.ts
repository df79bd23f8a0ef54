/**
 * The requests that hosts have placed at the upstreams of a service, by host and
 * by upstream. What an upstream has to do is kept up to date with each report,
 * so that a placement need not add it up.
 */
import type {PlacedAttempt, PlacedRequest} from './placement_table.js';
import {UpstreamWork} from './upstream_work.js';
import type {WorkSample} from './work_speeds.js';

/** Time without a message after which a front's requests are discarded. */
const FRONT_TIMEOUT_MILLISECONDS = 4000;

/**
 * Time for which a request is kept although its front does not list it: the
 * front's list may have crossed the answer that placed the request.
 */
const CROSSING_MILLISECONDS = 250;

interface CountedRequest extends PlacedRequest {
  readonly placedAt: number;
  /** Time of the first output; undefined while there is none. */
  readonly begunAt: number | undefined;
}

interface Front {
  /** By placement key. */
  readonly requests: Map<string, CountedRequest>;
  heardAt: number;
}

/** What a report of the first output or of the end of a request showed. */
export interface ReportedRequest {
  readonly request: PlacedRequest;
  /** Milliseconds since the placement, or since the first output if any. */
  readonly milliseconds: number;
  /** Time at which it happened, as far as the report says. */
  readonly time: number;
  /** Prompt work that was measured, if any. */
  readonly promptSample?: WorkSample;
  readonly hadBegun: boolean;
}

const NO_WORK: UpstreamWork = new UpstreamWork();

/** The requests in progress at the upstreams of one service. */
export class PlacedWork {
  private readonly fronts = new Map<string, Front>();
  private readonly upstreams = new Map<string, UpstreamWork>();
  private heardAt = -Infinity;

  /** Time of the last message of any front, this one included. */
  get lastHeardAt(): number {
    return this.heardAt;
  }

  /** Returns the work at an upstream. */
  at(upstreamId: string): Readonly<UpstreamWork> {
    return this.upstreams.get(upstreamId) ?? NO_WORK;
  }

  /** Counts a request, once however often it is added. */
  add(front: string, request: PlacedRequest, now: number): void {
    this.hear(front, now);
    if (this.fronts.get(front)?.requests.has(keyOf(request)) !== true) {
      this.insert(front, request, now);
    }
  }

  /**
   * Records the first output of a request, `elapsed` milliseconds after its
   * placement as its front measured it; later reports of it are ignored.
   */
  begin(
    front: string,
    attempt: PlacedAttempt,
    elapsed: number,
    now: number,
  ): ReportedRequest | undefined {
    this.hear(front, now);
    const key = keyOf(attempt);
    const requests = this.fronts.get(front)?.requests;
    const request = requests?.get(key);
    if (request === undefined || request.begunAt !== undefined) {
      return undefined;
    }
    const begunAt = Math.min(now, request.placedAt + Math.max(0, elapsed));
    requests?.set(key, {...request, waitingTokens: 0, begunAt});
    const promptSample = this.upstreams
      .get(request.upstreamId)
      ?.begin(key, begunAt);
    return {
      request,
      milliseconds: now - request.placedAt,
      time: begunAt,
      ...(promptSample !== undefined && {promptSample}),
      hadBegun: false,
    };
  }

  /** Records that a request is no longer at its upstream. */
  end(
    front: string,
    attempt: PlacedAttempt,
    now: number,
  ): ReportedRequest | undefined {
    this.hear(front, now);
    const request = this.remove(front, keyOf(attempt), now);
    return request === undefined
      ? undefined
      : {
          request,
          milliseconds: now - (request.begunAt ?? request.placedAt),
          time: now,
          hadBegun: request.begunAt !== undefined,
        };
  }

  /** Replaces the requests known for a front by those that it lists. */
  replace(front: string, listed: readonly PlacedRequest[], now: number): void {
    this.hear(front, now);
    const known = this.fronts.get(front)?.requests ?? new Map<string, never>();
    const listedKeys = new Set(listed.map(keyOf));
    for (const [key, {placedAt}] of known) {
      if (!listedKeys.has(key) && now - placedAt > CROSSING_MILLISECONDS) {
        this.remove(front, key, now);
      }
    }
    for (const request of listed) {
      const counted = this.fronts.get(front)?.requests.get(keyOf(request));
      if (counted === undefined) {
        this.insert(front, request, now);
      } else if (counted.begunAt === undefined && request.waitingTokens === 0) {
        this.begin(front, request, Infinity, now);
      }
    }
  }

  /** Returns the requests of `front`. */
  requestsOf(front: string): readonly PlacedRequest[] {
    const requests = this.fronts.get(front)?.requests.values() ?? [];
    return [...requests].map(
      ({attemptId, upstreamId, waitingTokens, priority}) => ({
        attemptId,
        upstreamId,
        waitingTokens,
        priority,
      }),
    );
  }

  /** Discards the requests of silent fronts, except those of this host. */
  forgetSilentFronts(ownHostId: string, now: number): void {
    for (const [front, {heardAt, requests}] of this.fronts) {
      if (front !== ownHostId && now - heardAt > FRONT_TIMEOUT_MILLISECONDS) {
        for (const key of requests.keys()) {
          this.remove(front, key, now);
        }
        this.fronts.delete(front);
      }
    }
  }

  private insert(front: string, request: PlacedRequest, now: number): void {
    const {upstreamId, waitingTokens: tokens, priority} = request;
    const key = keyOf(request);
    this.fronts
      .get(front)
      ?.requests.set(key, {...request, placedAt: now, begunAt: undefined});
    const work = this.upstreams.get(upstreamId) ?? new UpstreamWork();
    this.upstreams.set(upstreamId, work);
    work.add(key, tokens > 0 ? {tokens, priority, placedAt: now} : undefined);
  }

  private remove(
    front: string,
    key: string,
    now: number,
  ): CountedRequest | undefined {
    const requests = this.fronts.get(front)?.requests;
    const request = requests?.get(key);
    if (requests === undefined || request === undefined) {
      return undefined;
    }
    requests.delete(key);
    const work = this.upstreams.get(request.upstreamId);
    work?.end(key, now);
    if (work?.running === 0) {
      this.upstreams.delete(request.upstreamId);
    }
    return request;
  }

  private hear(front: string, now: number): void {
    this.heardAt = Math.max(this.heardAt, now);
    const known = this.fronts.get(front);
    if (known === undefined) {
      this.fronts.set(front, {requests: new Map(), heardAt: now});
    } else {
      known.heardAt = now;
    }
  }
}

/**
 * Returns the key of a request at an upstream. The attempt ID alone is not
 * unique: while two shards are queried, a request is briefly placed in both.
 */
function keyOf({attemptId, upstreamId}: PlacedAttempt): string {
  return `${attemptId}@${upstreamId}`;
}
