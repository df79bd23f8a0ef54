/**
 * The task that gossips with other entry hosts and probes them.
 */
import {
  type Member,
  Membership,
  type MemberStatus,
  PROBE_PERIOD_MILLISECONDS,
  PROBE_TIMEOUT_MILLISECONDS,
} from '@lacewingwinch/decisions';
import type {GossipDigest, PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';

import {pause} from '../util/pause.js';

/** Milliseconds between two attempts to join. */
const JOIN_PERIOD_MILLISECONDS = 300;

/** The parts of a digest that come from other tasks. */
export type DigestContent = Omit<GossipDigest, 'members'>;

/** Dependencies of `MembershipTask`. */
export interface MembershipTaskDependencies {
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clock: () => number;
  readonly random: () => number;
  /** Returns the peer addresses to contact in order to join. */
  readonly seeds: () => readonly string[];
  /** Returns the content of the next digest to send, without its members. */
  readonly content: () => DigestContent;
  /** Called with each digest received, after its members were merged. */
  readonly onDigest: (sender: Member, digest: GossipDigest) => void;
}

/** Owns the membership state of the entry hosts. */
export class MembershipTask {
  private readonly membership: Membership;
  private readonly statuses = new Map<string, MemberStatus>();

  constructor(
    self: Member,
    private readonly dependencies: MembershipTaskDependencies,
  ) {
    this.membership = new Membership(self, dependencies.clock());
  }

  /** This host, as it appears in the digests that it sends. */
  get own(): Member {
    return this.membership.own;
  }

  /** Returns the entry hosts that serve, including this one if it does. */
  serving(): readonly Member[] {
    return this.membership.serving();
  }

  /** Returns the other entry hosts that are not gone. */
  live(): readonly Member[] {
    return this.membership.live();
  }

  /** Returns every known entry host. */
  all(): readonly Member[] {
    return this.membership.all();
  }

  /** Returns the hosts that share limits, including this one. */
  sharingHosts(): readonly Member[] {
    return this.membership.sharingHosts(this.dependencies.clock());
  }

  /** Returns the ids of the hosts that share limits, including this one. */
  sharingHostIds(): readonly string[] {
    return this.membership.sharingHostIds(this.dependencies.clock());
  }

  /** Returns the host with the id `hostId`. */
  find(hostId: string): Member | undefined {
    return this.membership.find(hostId);
  }

  /** Sets the status of this host and notifies every live host at once. */
  declare(status: MemberStatus): void {
    this.membership.declare(status, this.dependencies.clock());
    this.reportStatusChanges();
    this.broadcast();
  }

  /** Sends a digest to every live host. */
  broadcast(): void {
    const digest = this.digest();
    for (const member of this.live()) {
      this.dependencies.peers.notify(member.addresses.peers, 'gossip', digest);
    }
  }

  /**
   * Merges a digest of another host and returns the response. A joining host
   * receives every member, because updates are gossiped only a limited number
   * of times and older ones would not reach it.
   */
  onGossip(digest: GossipDigest): GossipDigest {
    const sender = this.mergeDigest(digest);
    if (sender?.status === 'joining') {
      return {...this.digest(), members: [this.own, ...this.others()]};
    }
    const entry = sender === undefined ? undefined : this.find(sender.hostId);
    return this.digest(entry === undefined ? [] : [entry]);
  }

  /** Probes `hostId` on behalf of another host. */
  async probeFor(hostId: string): Promise<boolean> {
    const member = this.find(hostId);
    return (
      member !== undefined &&
      (await this.exchangeDigests(member.addresses.peers))
    );
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.join(signal), this.probe(signal)]);
  }

  private async join(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const knownAddresses = new Set(
        this.all().map(({addresses}) => addresses.peers),
      );
      const unknownSeeds = this.dependencies
        .seeds()
        .filter(seed => !knownAddresses.has(seed));
      await Promise.all(unknownSeeds.map(seed => this.exchangeDigests(seed)));
      await pause(JOIN_PERIOD_MILLISECONDS, signal);
    }
  }

  private async probe(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const target = this.membership.nextProbe(this.dependencies.random);
      if (target !== undefined) {
        void this.probeMember(target);
      }
      await pause(PROBE_PERIOD_MILLISECONDS, signal);
      this.membership.expire(this.dependencies.clock());
      this.reportStatusChanges();
    }
  }

  private async probeMember(target: Member): Promise<void> {
    if (await this.exchangeDigests(target.addresses.peers)) {
      return;
    }
    const probers = this.membership.indirectProbers(
      target.hostId,
      this.dependencies.random,
    );
    const answers = await Promise.all(
      probers.map(prober => this.probeIndirectly(prober, target.hostId)),
    );
    if (!answers.includes(true)) {
      this.membership.suspect(target.hostId, this.dependencies.clock());
      this.reportStatusChanges();
    }
  }

  private async probeIndirectly(
    prober: Member,
    hostId: string,
  ): Promise<boolean> {
    try {
      const {answered} = await this.dependencies.peers.call(
        prober.addresses.peers,
        'probe',
        {hostId},
        PROBE_TIMEOUT_MILLISECONDS * 2,
      );
      return answered;
    } catch {
      return false;
    }
  }

  private async exchangeDigests(address: string): Promise<boolean> {
    try {
      const answer = await this.dependencies.peers.call(
        address,
        'gossip',
        this.digest(),
        PROBE_TIMEOUT_MILLISECONDS,
      );
      this.mergeDigest(answer);
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
    return {
      ...this.dependencies.content(),
      members: [own, ...extra, ...others],
    };
  }

  private mergeDigest(digest: GossipDigest): Member | undefined {
    const sender = digest.members[0];
    this.membership.merge(digest.members, this.dependencies.clock());
    this.reportStatusChanges();
    if (sender !== undefined) {
      this.dependencies.onDigest(sender, digest);
    }
    return sender;
  }

  private reportStatusChanges(): void {
    const counts = new Map<MemberStatus, number>();
    for (const {hostId, status} of this.all()) {
      counts.set(status, (counts.get(status) ?? 0) + 1);
      if (this.statuses.get(hostId) !== status) {
        this.statuses.set(hostId, status);
        this.dependencies.events.write(3001, {hostId, status});
      }
    }
    this.dependencies.metrics.members.reset();
    for (const [status, count] of counts) {
      this.dependencies.metrics.members.set({status}, count);
    }
  }
}
