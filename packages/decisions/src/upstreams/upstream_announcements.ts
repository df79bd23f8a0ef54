/**
 * What upstreams announce about themselves in their responses: that they are
 * leaving, or that they want no requests from this host for some time. An
 * overloaded engine sends such a pause to every front at once. If the fronts
 * kept sending, the engine would spend its time on refusals, and every request
 * would lose an attempt. Announcements apply to one incarnation of an upstream.
 */
import type {ListedUpstream} from './listed_upstream.js';

/** An announcement in a response of an upstream. */
export type UpstreamAnnouncement =
  /** The upstream is shutting down and accepts no new requests. */
  | {readonly kind: 'leaving'}
  /** The upstream wants no requests from this host for this time. */
  | {readonly kind: 'paused'; readonly milliseconds: number};

/** The parts of a response that can contain announcements. */
export interface AnnouncingResponse {
  readonly status: number;
  readonly isLeaving: boolean;
  /** Value of `Retry-After` in seconds; undefined if missing or malformed. */
  readonly retryAfterSeconds: number | undefined;
}

/** An incarnation of an upstream. */
export type UpstreamIncarnation = Pick<ListedUpstream, 'bornAt' | 'upstreamId'>;

const SERVICE_UNAVAILABLE_STATUS = 503;

/** Longest pause that is observed, in case an upstream announces a wrong one. */
export const MAXIMUM_PAUSE_MILLISECONDS = 300_000;

/** Start time of an upstream that reported none. */
const UNKNOWN_START = 0;

/** Largest number of upstreams whose announcements are remembered. */
const MAXIMUM_REMEMBERED_UPSTREAMS = 4096;

interface AnnouncedState {
  readonly bornAt: number;
  readonly isLeaving: boolean;
  /** Time from which the upstream accepts requests again. */
  readonly pausedUntil: number;
}

/** Returns the announcements that a response contains. */
export function announcementsOf({
  status,
  isLeaving,
  retryAfterSeconds,
}: AnnouncingResponse): readonly UpstreamAnnouncement[] {
  const announcements: UpstreamAnnouncement[] = [];
  if (isLeaving) {
    announcements.push({kind: 'leaving'});
  }
  if (
    status === SERVICE_UNAVAILABLE_STATUS &&
    retryAfterSeconds !== undefined &&
    retryAfterSeconds > 0
  ) {
    const milliseconds = Math.min(
      retryAfterSeconds * 1000,
      MAXIMUM_PAUSE_MILLISECONDS,
    );
    announcements.push({kind: 'paused', milliseconds});
  }
  return announcements;
}

/** The announcements of upstreams to one entry host. */
export class UpstreamAnnouncements {
  private readonly states = new Map<string, AnnouncedState>();

  /**
   * Records an announcement of an upstream. Returns whether it changes when the
   * upstream accepts requests.
   */
  record(
    upstream: UpstreamIncarnation,
    announcement: UpstreamAnnouncement,
    now: number,
  ): boolean {
    const accepted = this.accepts(upstream, now);
    const wasLeaving = this.isLeaving(upstream);
    this.remember(
      upstream.upstreamId,
      merge(this.stateOf(upstream), upstream.bornAt, announcement, now),
    );
    return accepted || wasLeaving !== this.isLeaving(upstream);
  }

  /** Returns whether this incarnation of an upstream said that it is leaving. */
  isLeaving(upstream: UpstreamIncarnation): boolean {
    return this.stateOf(upstream)?.isLeaving === true;
  }

  /** Returns whether an upstream accepts requests at `now`. */
  accepts(upstream: UpstreamIncarnation, now: number): boolean {
    return this.acceptsFrom(upstream) <= now;
  }

  /**
   * Returns the time from which an upstream accepts requests: `-Infinity` if it
   * announced nothing, `Infinity` if it is leaving.
   */
  acceptsFrom(upstream: UpstreamIncarnation): number {
    const state = this.stateOf(upstream);
    if (state === undefined) {
      return -Infinity;
    }
    return state.isLeaving ? Infinity : state.pausedUntil;
  }

  /** Returns the upstreams that accept requests at `now`. */
  accepting<T extends UpstreamIncarnation>(
    upstreams: readonly T[],
    now: number,
  ): readonly T[] {
    return this.states.size === 0
      ? upstreams
      : upstreams.filter(upstream => this.accepts(upstream, now));
  }

  /**
   * Discards the announcements of an upstream that is gone, if it reported no
   * start time that distinguishes its next incarnation.
   */
  forgetUnidentified(upstreamId: string): void {
    if (this.states.get(upstreamId)?.bornAt === UNKNOWN_START) {
      this.states.delete(upstreamId);
    }
  }

  private stateOf({
    upstreamId,
    bornAt,
  }: UpstreamIncarnation): AnnouncedState | undefined {
    const state = this.states.get(upstreamId);
    return state?.bornAt === bornAt ? state : undefined;
  }

  private remember(upstreamId: string, state: AnnouncedState): void {
    this.states.delete(upstreamId);
    this.states.set(upstreamId, state);
    const [oldest] = this.states.keys();
    if (
      this.states.size > MAXIMUM_REMEMBERED_UPSTREAMS &&
      oldest !== undefined
    ) {
      this.states.delete(oldest);
    }
  }
}

function merge(
  known: AnnouncedState | undefined,
  bornAt: number,
  announcement: UpstreamAnnouncement,
  now: number,
): AnnouncedState {
  const isLeaving = known?.isLeaving ?? false;
  const pausedUntil = known?.pausedUntil ?? -Infinity;
  switch (announcement.kind) {
    case 'leaving':
      return {bornAt, isLeaving: true, pausedUntil};
    case 'paused':
      return {
        bornAt,
        isLeaving,
        pausedUntil: Math.max(pausedUntil, now + announcement.milliseconds),
      };
  }
}
