/**
 * Membership of the entry hosts: probing, suspicion and dissemination by
 * gossip. What it says is a hint; no safety rests on it.
 */
import {type RandomSource, shuffle} from '../util/shuffle.js';
import type {Member, MemberStatus} from './member.js';
import {supersedes} from './member.js';

/** Milliseconds between two probes. */
export const PROBE_PERIOD_MILLISECONDS = 500;

/** Milliseconds that a probed host has to answer. */
export const PROBE_TIMEOUT_MILLISECONDS = 300;

/** Other hosts that are asked to probe one that does not answer. */
export const INDIRECT_PROBES = 3;

/** Milliseconds from suspicion to the verdict that a host is gone. */
export const SUSPICION_MILLISECONDS = 3000;

/**
 * Milliseconds for which a host that is gone still has its part of limits;
 * longer than hosts take to start again, and than most partitions last.
 */
const SHARING_MILLISECONDS = 60_000;

/** Member updates in one message. */
export const UPDATES_IN_MESSAGE = 12;

/** Times an update is sent, as a multiple of the logarithm of the hosts. */
const RETRANSMIT_FACTOR = 3;

interface Entry {
  readonly member: Member;
  /** When this host last changed its mind about the member. */
  readonly since: number;
  /** Messages that are still to carry this update. */
  readonly sendsLeft: number;
}

/** The members that one entry host knows. */
export class Membership {
  private self: Member;
  private readonly entries = new Map<string, Entry>();
  private probeOrder: readonly string[] = [];
  /** The hosts that serve, until an entry changes. */
  private servingMembers: readonly Member[] | undefined;

  constructor(self: Member, now: number) {
    this.self = self;
    this.set(self, now);
  }

  /** This host, as it describes itself. */
  get own(): Member {
    return this.self;
  }

  /** States a new status of this host. */
  declare(status: MemberStatus, now: number): void {
    this.self = {
      ...this.self,
      status,
      incarnation: Math.max(this.self.incarnation + 1, now),
    };
    this.set(this.self, now);
  }

  /** Takes updates that another host sent. */
  merge(updates: readonly Member[], now: number): void {
    for (const update of updates) {
      this.mergeOne(update, now);
    }
  }

  /** Updates to send with the next message, the least spread first. */
  takeUpdates(): readonly Member[] {
    const fresh = [...this.entries.values()]
      .filter(entry => entry.sendsLeft > 0)
      .sort((left, right) => right.sendsLeft - left.sendsLeft)
      .slice(0, UPDATES_IN_MESSAGE);
    for (const entry of fresh) {
      this.entries.set(entry.member.hostId, {
        ...entry,
        sendsLeft: entry.sendsLeft - 1,
      });
    }
    return fresh.map(({member}) => member);
  }

  /** The host to probe next, each once a round in random order. */
  nextProbe(random: RandomSource): Member | undefined {
    if (this.probeOrder.length === 0) {
      this.probeOrder = shuffle(this.probeTargets(), random);
    }
    const [next, ...rest] = this.probeOrder;
    this.probeOrder = rest;
    return next === undefined ? undefined : this.entries.get(next)?.member;
  }

  /** Hosts to ask for a probe of `hostId`. */
  indirectProbers(hostId: string, random: RandomSource): readonly Member[] {
    const others = this.live().filter(member => member.hostId !== hostId);
    return shuffle(others, random).slice(0, INDIRECT_PROBES);
  }

  /** Notes that `hostId` answered no probe, direct or indirect. */
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

  /** Turns suspicions that nobody refuted in time into the verdict `gone`. */
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

  /** Every host known, this one included. */
  all(): readonly Member[] {
    return [...this.entries.values()].map(({member}) => member);
  }

  /** The host called `hostId`. */
  find(hostId: string): Member | undefined {
    return this.entries.get(hostId)?.member;
  }

  /** Hosts that take new work, this one included if it does, sorted by id. */
  serving(): readonly Member[] {
    this.servingMembers ??= this.all()
      .filter(({status}) => status === 'serving')
      .sort((left, right) => (left.hostId < right.hostId ? -1 : 1));
    return this.servingMembers;
  }

  /** Other hosts that are worth a message. */
  live(): readonly Member[] {
    return this.all().filter(
      ({hostId, status}) => hostId !== this.self.hostId && status !== 'gone',
    );
  }

  /**
   * Hosts that share limits, this one included. A host that cannot be reached
   * may still use its part, and one that died comes back.
   */
  sharing(now: number): readonly string[] {
    return [...this.entries.values()]
      .filter(
        ({member, since}) =>
          member.status !== 'gone' || now - since < SHARING_MILLISECONDS,
      )
      .map(({member}) => member.hostId);
  }

  private mergeOne(update: Member, now: number): void {
    if (update.hostId === this.self.hostId) {
      this.refute(update, now);
      return;
    }
    const known = this.entries.get(update.hostId);
    if (known === undefined || supersedes(update, known.member)) {
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
