/**
 * Membership of the entry hosts: probing, suspicion and dissemination by
 * gossip. Its information is only a hint; no safety property depends on it.
 */
import {type RandomSource, shuffle} from '../util/shuffle.js';
import type {Member, MemberStatus} from './member.js';
import {supersedes} from './member.js';

/** Milliseconds between two probes. */
export const PROBE_PERIOD_MILLISECONDS = 500;

/** Milliseconds within which a probed host must answer. */
export const PROBE_TIMEOUT_MILLISECONDS = 300;

/** Number of other hosts that probe a host that did not answer. */
export const INDIRECT_PROBES = 3;

/** Milliseconds after which a suspected host counts as gone. */
export const SUSPICION_MILLISECONDS = 3000;

/**
 * Milliseconds for which a host that is gone keeps its part of the limits. This
 * is longer than a restart of a host and than most network partitions.
 */
const LIMIT_SHARE_RETENTION_MILLISECONDS = 60_000;

/** Largest number of member updates in one message. */
export const MAXIMUM_UPDATES_PER_MESSAGE = 12;

/**
 * Number of times that an update is sent, as a multiple of the binary logarithm
 * of the number of hosts.
 */
const RETRANSMIT_FACTOR = 3;

interface Entry {
  readonly member: Member;
  /** Time at which this host last changed the entry. */
  readonly since: number;
  /** Number of messages that will still carry this update. */
  readonly sendsLeft: number;
}

/** The entry hosts that one entry host knows. */
export class Membership {
  private self: Member;
  private readonly entries = new Map<string, Entry>();
  private probeOrder: readonly string[] = [];
  /** Cached result of `serving`; undefined after an entry has changed. */
  private servingMembers: readonly Member[] | undefined;

  constructor(self: Member, now: number) {
    this.self = self;
    this.set(self, now);
  }

  /** The member record of this host. */
  get own(): Member {
    return this.self;
  }

  /** Announces a new status of this host. */
  declare(status: MemberStatus, now: number): void {
    this.self = {
      ...this.self,
      status,
      incarnation: Math.max(this.self.incarnation + 1, now),
    };
    this.set(this.self, now);
  }

  /** Applies the updates from another host. */
  merge(updates: readonly Member[], now: number): void {
    for (const update of updates) {
      this.mergeOne(update, now);
    }
  }

  /**
   * Returns the updates for the next message and counts them as sent. Those
   * with the most sends left come first.
   */
  takeUpdates(): readonly Member[] {
    const entriesToSend = [...this.entries.values()]
      .filter(entry => entry.sendsLeft > 0)
      .sort((left, right) => right.sendsLeft - left.sendsLeft)
      .slice(0, MAXIMUM_UPDATES_PER_MESSAGE);
    for (const entry of entriesToSend) {
      this.entries.set(entry.member.hostId, {
        ...entry,
        sendsLeft: entry.sendsLeft - 1,
      });
    }
    return entriesToSend.map(({member}) => member);
  }

  /** Returns the next host to probe: each once per round, in random order. */
  nextProbe(random: RandomSource): Member | undefined {
    if (this.probeOrder.length === 0) {
      this.probeOrder = shuffle(this.probeTargets(), random);
    }
    const [next, ...remaining] = this.probeOrder;
    this.probeOrder = remaining;
    return next === undefined ? undefined : this.entries.get(next)?.member;
  }

  /** Returns the hosts that are to probe `hostId` for this host. */
  indirectProbers(hostId: string, random: RandomSource): readonly Member[] {
    const others = this.live().filter(member => member.hostId !== hostId);
    return shuffle(others, random).slice(0, INDIRECT_PROBES);
  }

  /** Marks `hostId` as suspected after direct and indirect probes failed. */
  suspect(hostId: string, now: number): void {
    const entry = this.entries.get(hostId);
    if (entry === undefined || hostId === this.self.hostId) {
      return;
    }
    const {status} = entry.member;
    if (status === 'serving' || status === 'joining') {
      this.set({...entry.member, status: 'suspected'}, now);
    }
  }

  /**
   * Marks suspected hosts that did not refute the suspicion in time as gone,
   * and returns them.
   */
  expire(now: number): readonly Member[] {
    const expired = [...this.entries.values()].filter(
      ({member, since}) =>
        member.status === 'suspected' && now - since >= SUSPICION_MILLISECONDS,
    );
    return expired.map(({member}) => {
      const gone: Member = {...member, status: 'gone'};
      this.set(gone, now);
      return gone;
    });
  }

  /** Returns all known hosts, including this one. */
  all(): readonly Member[] {
    return [...this.entries.values()].map(({member}) => member);
  }

  /** Returns the host with the ID `hostId`, if it is known. */
  find(hostId: string): Member | undefined {
    return this.entries.get(hostId)?.member;
  }

  /** Returns the hosts that accept new work, also this one, sorted by ID. */
  serving(): readonly Member[] {
    this.servingMembers ??= this.all()
      .filter(({status}) => status === 'serving')
      .sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
    return this.servingMembers;
  }

  /** Returns the other hosts that are not gone. */
  live(): readonly Member[] {
    return this.all().filter(
      ({hostId, status}) => hostId !== this.self.hostId && status !== 'gone',
    );
  }

  /**
   * Returns the hosts that share the limits, including this one and those that
   * became gone recently: an unreachable host may still use its part, and a
   * crashed one is expected to restart.
   */
  sharingHosts(now: number): readonly Member[] {
    return [...this.entries.values()]
      .filter(
        ({member, since}) =>
          member.status !== 'gone' ||
          now - since < LIMIT_SHARE_RETENTION_MILLISECONDS,
      )
      .map(({member}) => member);
  }

  /** Returns the IDs of the hosts that share the limits. */
  sharingHostIds(now: number): readonly string[] {
    return this.sharingHosts(now).map(({hostId}) => hostId);
  }

  private mergeOne(update: Member, now: number): void {
    if (update.hostId === this.self.hostId) {
      this.refute(update, now);
      return;
    }
    const existing = this.entries.get(update.hostId);
    if (existing === undefined || supersedes(update, existing.member)) {
      this.set(update, now);
    }
  }

  private refute(update: Member, now: number): void {
    const isAboutThisProcess = update.incarnation >= this.self.incarnation;
    if (isAboutThisProcess && update.status !== this.self.status) {
      this.self = {
        ...this.self,
        incarnation: Math.max(update.incarnation + 1, now),
      };
      this.set(this.self, now);
    }
  }

  private set(member: Member, now: number): void {
    const sendsLeft = Math.ceil(
      RETRANSMIT_FACTOR * Math.log2(this.entries.size + 2),
    );
    this.entries.set(member.hostId, {member, since: now, sendsLeft});
    this.servingMembers = undefined;
  }

  private probeTargets(): readonly string[] {
    return this.live().map(({hostId}) => hostId);
  }
}
