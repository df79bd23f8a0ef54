/**
 * The adaptive concurrency limit of brittle upstreams, for the requests of all entry
 * hosts. A brittle upstream crashes if it rejects too many requests in a second, and
 * a rejection is the only sign of how much room it has.
 *
 * Load pattern: twice the load that the upstreams of a service have room for. What
 * one of them turns away goes to the next, which then falls as well; the pressure
 * has to end at the hosts. The host that places all requests keeps this.
 */
import type {UpstreamIncarnation} from '../upstreams/upstream_announcements.js';

/** A brittle upstream, and what the placing host knows of it. */
export interface BrittleUpstream extends UpstreamIncarnation {
  readonly slots: number;
  /** Requests per second that it may turn away. */
  readonly refusalsPerSecond: number;
  /** Requests in progress there, from all hosts. */
  readonly running: number;
  /** Share of its room that this host gives away, above 0 and at most 1. */
  readonly share: number;
}

interface RoomState {
  readonly bornAt: number;
  /** Requests in progress beyond which a further one was refused. */
  readonly room: number;
  /** Time until which it gets none, after a refusal within its room. */
  readonly closedUntil: number;
  /** Time from which it gets the next one. */
  readonly nextAt: number;
  /** Time from which one more than its room is tried. */
  readonly trialAt: number;
  /** Time of the last trial that was not refused; -Infinity without one. */
  readonly triedAt: number;
  /** Time of the last refusal. */
  readonly refusedAt: number;
}

/**
 * Time for which an upstream is left alone that refused a request within the room
 * that it had; its requests end meanwhile.
 */
const CLOSED_MILLISECONDS = 1000;

/**
 * Time within which requests count as sent at once; a refusal is known to the
 * placing host by then.
 */
const REFUSAL_DELAY_MILLISECONDS = 50;

/** Tolerated refusals from which a single one does no harm. */
const TOLERANT_REFUSALS_PER_SECOND = 3;

/** Time after a trial within which a refusal is that of the trial. */
const TRIAL_REFUSAL_MILLISECONDS = 200;

/** Share of the tolerated refusals that requests sent at once may cause. */
const AT_ONCE_SHARE = 0.5;

/** Share of the tolerated refusals that trials may cause. */
const TRIAL_SHARE = 0.25;

/** Time between two trials, at least and at most. */
const MINIMUM_TRIAL_MILLISECONDS = 500;
const MAXIMUM_TRIAL_MILLISECONDS = 10_000;

/** Time after which a request that finds no room may try again. */
const FULL_MILLISECONDS = 1000;

/** Largest number of upstreams whose room is remembered. */
const MAXIMUM_REMEMBERED_UPSTREAMS = 4096;

/** The room of the brittle upstreams, as one host has seen it. */
export class BrittleRooms {
  /** By upstream, the longest unused one first. */
  private readonly states = new Map<string, RoomState>();

  /** Returns the milliseconds until an upstream gets another request. */
  waitFor(upstream: BrittleUpstream, now: number): number {
    const state = this.stateOf(upstream, now);
    const {running, slots} = upstream;
    if (running >= slots) {
      return FULL_MILLISECONDS;
    }
    const isWithinRoom = running < sharedRoom(state, upstream);
    const wait = Math.max(0, state.closedUntil - now, state.nextAt - now);
    const isReady = isWithinRoom || now >= state.trialAt;
    return isReady && wait <= longestWaitFor(upstream)
      ? wait
      : FULL_MILLISECONDS;
  }

  /** Counts a request; returns the milliseconds until it may be sent. */
  take(upstream: BrittleUpstream, now: number): number {
    const wait = this.waitFor(upstream, now);
    const state = this.stateOf(upstream, now);
    const {running, refusalsPerSecond} = upstream;
    const isTrial = running >= sharedRoom(state, upstream);
    const atOnce = Math.max(1, Math.floor(refusalsPerSecond * AT_ONCE_SHARE));
    this.remember(upstream, {
      ...state,
      nextAt: now + wait + REFUSAL_DELAY_MILLISECONDS / atOnce,
      ...(isTrial && {
        trialAt: now + trialInterval(refusalsPerSecond),
        triedAt: now,
      }),
    });
    return wait;
  }

  /** Records that an upstream turned a request away besides `running`. */
  recordRefusal(upstream: BrittleUpstream, now: number): void {
    const state = this.find(upstream);
    const {running, refusalsPerSecond} = upstream;
    const isLost = isRoomLost(state, upstream, now);
    this.remember(upstream, {
      ...state,
      room: Math.max(1, Math.min(state.room, running)),
      refusedAt: now,
      closedUntil: isLost ? now + CLOSED_MILLISECONDS : state.closedUntil,
      trialAt: now + trialInterval(refusalsPerSecond),
      triedAt: -Infinity,
    });
  }

  /** Returns the state, with a trial that was not refused counted as room. */
  private stateOf(upstream: UpstreamIncarnation, now: number): RoomState {
    const state = this.find(upstream);
    const isTrialRefusable = now - state.triedAt < TRIAL_REFUSAL_MILLISECONDS;
    return isTrialRefusable || state.triedAt === -Infinity
      ? state
      : {...state, room: state.room + 1, triedAt: -Infinity};
  }

  private find({upstreamId, bornAt}: UpstreamIncarnation): RoomState {
    const state = this.states.get(upstreamId);
    return state?.bornAt === bornAt
      ? state
      : {
          bornAt,
          room: Infinity,
          closedUntil: -Infinity,
          nextAt: -Infinity,
          trialAt: -Infinity,
          triedAt: -Infinity,
          refusedAt: -Infinity,
        };
  }

  private remember({upstreamId}: UpstreamIncarnation, state: RoomState): void {
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

/** Returns the requests in progress up to which this host sends further ones. */
function sharedRoom(
  {room}: RoomState,
  {slots, share}: BrittleUpstream,
): number {
  return Math.max(1, Math.floor(Math.min(room, slots) * share));
}

/**
 * Returns whether a refusal shows that the upstream has less room than before. That
 * of a trial does not, nor does a single one beside nearly as many requests as
 * before: the upstream may not have ended yet what its host has.
 */
function isRoomLost(
  {room, triedAt, refusedAt}: RoomState,
  {running, refusalsPerSecond}: BrittleUpstream,
  now: number,
): boolean {
  const isTrial = now - triedAt < TRIAL_REFUSAL_MILLISECONDS && running >= room;
  const isSingle =
    now - refusedAt >= CLOSED_MILLISECONDS &&
    refusalsPerSecond >= TOLERANT_REFUSALS_PER_SECOND;
  return !isTrial && !(isSingle && running >= room - 1);
}

/**
 * Returns the longest wait of a granted request. Such a request is sent whatever is
 * refused meanwhile, which an upstream that tolerates few refusals does not survive.
 */
function longestWaitFor({refusalsPerSecond}: BrittleUpstream): number {
  return refusalsPerSecond < TOLERANT_REFUSALS_PER_SECOND
    ? 0
    : REFUSAL_DELAY_MILLISECONDS;
}

function trialInterval(refusalsPerSecond: number): number {
  return Math.min(
    MAXIMUM_TRIAL_MILLISECONDS,
    Math.max(
      MINIMUM_TRIAL_MILLISECONDS,
      1000 / (refusalsPerSecond * TRIAL_SHARE),
    ),
  );
}
