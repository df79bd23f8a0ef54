/**
 * The task that gossips with other entry hosts.
 */
import {
  type Member,
  Membership,
  type MemberStatus,
  PROBE_PERIOD_MILLISECONDS,
  PROBE_TIMEOUT_MILLISECONDS,
} from '@lacewingwinch/decisions';
import type {GossipDigest, PeerCaller} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';

import {pause} from '../util/pause.js';

/** Milliseconds between two attempts to join. */
const JOIN_PERIOD_MILLISECONDS = 300;

/** The parts of a digest that other tasks fill in. */
export type DigestContent = Omit<GossipDigest, 'members'>;

/** What the task needs from others. */
export interface MembershipTaskContext {
  readonly peers: PeerCaller;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clock: () => number;
  readonly random: () => number;
  /** Peer addresses to join at. */
  readonly seeds: () => readonly string[];
  /** The rest of each digest that is sent. */
  readonly content: () => DigestContent;
  /** Is told of each digest that arrives. */
  readonly onDigest: (sender: Member, digest: GossipDigest) => void;
}

/** Owns the membership of the entry hosts. */
export class MembershipTask {
  private readonly membership: Membership;
  private readonly statuses = new Map<string, MemberStatus>();

  constructor(
    self: Member,
    private readonly context: MembershipTaskContext,
  ) {
    this.membership = new Membership(self, context.clock());
  }

  /** This host, as it describes itself. */
  get own(): Member {
    return this.membership.own;
  }

  /** Entry hosts that serve, this one included if it does. */
  serving(): readonly Member[] {
    return this.membership.serving();
  }

  /** Other entry hosts that are worth a message. */
  live(): readonly Member[] {
    return this.membership.live();
  }

  /** Every entry host known. */
  all(): readonly Member[] {
    return this.membership.all();
  }

  /** Ids of the hosts that share limits, this one included. */
  sharing(): readonly string[] {
    return this.membership.sharing(this.context.clock());
  }

  /** The host called `hostId`. */
  find(hostId: string): Member | undefined {
    return this.membership.find(hostId);
  }

  /** States a new status of this host and tells every live host at once. */
  declare(status: MemberStatus): void {
    this.membership.declare(status, this.context.clock());
    this.noteChanges();
    this.broadcast();
  }

  /** Sends a digest to every live host. */
  broadcast(): void {
    const digest = this.digest();
    for (const member of this.live()) {
      this.context.peers.notify(member.addresses.peers, 'gossip', digest);
    }
  }

  /**
   * Answers a digest of another host. A host that joins is told of every
   * member: what the others know for long is no longer gossiped.
   */
  onGossip(digest: GossipDigest): GossipDigest {
    const sender = this.take(digest);
    if (sender?.status === 'joining') {
      return {...this.digest(), members: [this.own, ...this.others()]};
    }
    const known = sender === undefined ? undefined : this.find(sender.hostId);
    return this.digest(known === undefined ? [] : [known]);
  }

  /** Probes `hostId` for another host. */
  async probeFor(hostId: string): Promise<boolean> {
    const member = this.find(hostId);
    return (
      member !== undefined && (await this.exchange(member.addresses.peers))
    );
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.join(signal), this.probe(signal)]);
  }

  private async join(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const known = new Set(this.all().map(({addresses}) => addresses.peers));
      const unknown = this.context.seeds().filter(seed => !known.has(seed));
      await Promise.all(unknown.map(seed => this.exchange(seed)));
      await pause(JOIN_PERIOD_MILLISECONDS, signal);
    }
  }

  private async probe(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const target = this.membership.nextProbe(this.context.random);
      if (target !== undefined) {
        void this.probeOne(target);
      }
      await pause(PROBE_PERIOD_MILLISECONDS, signal);
      this.membership.expire(this.context.clock());
      this.noteChanges();
    }
  }

  private async probeOne(target: Member): Promise<void> {
    if (await this.exchange(target.addresses.peers)) {
      return;
    }
    const helpers = this.membership.indirectProbers(
      target.hostId,
      this.context.random,
    );
    const answers = await Promise.all(
      helpers.map(helper => this.probeThrough(helper, target.hostId)),
    );
    if (!answers.includes(true)) {
      this.membership.suspect(target.hostId, this.context.clock());
      this.noteChanges();
    }
  }

  private async probeThrough(helper: Member, hostId: string): Promise<boolean> {
    try {
      const {answered} = await this.context.peers.call(
        helper.addresses.peers,
        'probe',
        {hostId},
        PROBE_TIMEOUT_MILLISECONDS * 2,
      );
      return answered;
    } catch {
      return false;
    }
  }

  private async exchange(address: string): Promise<boolean> {
    try {
      const answer = await this.context.peers.call(
        address,
        'gossip',
        this.digest(),
        PROBE_TIMEOUT_MILLISECONDS,
      );
      this.take(answer);
      return true;
    } catch {
      return false;
    }
  }

  private others(): readonly Member[] {
    return this.all().filter(({hostId}) => hostId !== this.own.hostId);
  }

  private digest(extra: readonly Member[] = []): GossipDigest {
    const own = this.membership.own;
    const others = this.membership
      .takeUpdates()
      .filter(({hostId}) => hostId !== own.hostId);
    return {...this.context.content(), members: [own, ...extra, ...others]};
  }

  private take(digest: GossipDigest): Member | undefined {
    const sender = digest.members[0];
    this.membership.merge(digest.members, this.context.clock());
    this.noteChanges();
    if (sender !== undefined) {
      this.context.onDigest(sender, digest);
    }
    return sender;
  }

  private noteChanges(): void {
    const counts = new Map<MemberStatus, number>();
    for (const {hostId, status} of this.all()) {
      counts.set(status, (counts.get(status) ?? 0) + 1);
      if (this.statuses.get(hostId) !== status) {
        this.statuses.set(hostId, status);
        this.context.events.write(3001, {hostId, status});
      }
    }
    this.context.metrics.members.reset();
    for (const [status, count] of counts) {
      this.context.metrics.members.set({status}, count);
    }
  }
}
