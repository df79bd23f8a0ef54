/**
 * The task that gossips with other entry hosts and probes them.
 */
import {
  type Member,
  Membership,
  type MemberStatus,
  PROBE_PERIOD_MILLISECONDS,
  PROBE_TIMEOUT_MILLISECONDS,
  rendezvousOrder,
  shuffle,
  strongHosts,
} from '@lacewingwinch/decisions';
import type {GossipDigest, PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';

import {pause} from '../util/pause.js';

/** Milliseconds between two attempts to join. */
const JOIN_PERIOD_MILLISECONDS = 300;

/**
 * Milliseconds after its start for which a host fetches all members. When many
 * hosts start at the same time, the seeds do not know the later ones yet, and
 * updates that pass from host to host take several seconds.
 */
const LEARNING_MILLISECONDS = 3000;

/** Milliseconds between two attempts or fetches during the first ones. */
const FIRST_PERIOD_MILLISECONDS = 100;

/** Milliseconds after its start for which a host uses the shorter period. */
const FIRST_PERIODS_MILLISECONDS = 1000;

/**
 * Number of hosts from which a host fetches members. With two or more, groups
 * that know only each other are unlikely.
 */
const SOURCE_COUNT = 3;

/** The parts of a digest that come from other tasks. */
export type DigestContent = Omit<
  GossipDigest,
  'changeCount' | 'fetchedTo' | 'members'
>;

/** Dependencies of `MembershipTask`. */
export interface MembershipTaskDependencies {
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly clock: () => number;
  readonly random: () => number;
  /** Returns the peer addresses to contact in order to join. */
  readonly seeds: () => readonly string[];
  /** Measures whether this host is busy; absent if it does not matter. */
  readonly measureBusy?: () => boolean;
  /** Returns the content of the next digest to send, without its members. */
  readonly content: () => DigestContent;
  /** Called with each digest received, after its members were merged. */
  readonly onDigest: (sender: Member, digest: GossipDigest) => void;
}

/** Owns the membership state of the entry hosts. */
export class MembershipTask {
  private readonly membership: Membership;
  private readonly statuses = new Map<string, MemberStatus>();
  private readonly startedAt: number;
  /** Change count of the membership at the last report of statuses. */
  private reportedChanges = -1;

  constructor(
    self: Member,
    private readonly dependencies: MembershipTaskDependencies,
  ) {
    this.startedAt = dependencies.clock();
    this.membership = new Membership(self, this.startedAt);
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

  /**
   * Sets the status of this host and notifies other hosts at once: those that
   * work for all, if it begins to serve, and else every live host. Where many
   * hosts start at the same time, the others learn it from the former.
   */
  declare(status: MemberStatus): void {
    this.membership.declare(status, this.dependencies.clock());
    this.reportStatusChanges();
    this.notify(status === 'serving' ? strongHosts(this.live()) : this.live());
  }

  /** Sends a digest to every live host. */
  broadcast(): void {
    this.notify(this.live());
  }

  /**
   * Merges a digest of another host and returns the response. A host that has
   * just started receives every member, because updates are gossiped only a
   * limited number of times and older ones would not reach it.
   */
  onGossip(digest: GossipDigest): GossipDigest {
    const sender = this.mergeDigest(digest);
    if (digest.fetchedTo !== undefined) {
      return this.digestSince(digest.fetchedTo);
    }
    if (sender?.status === 'joining') {
      return this.digestSince(0);
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
    await Promise.all([
      this.join(signal),
      this.learn(signal),
      this.probe(signal),
    ]);
  }

  /** Contacts the unknown seeds; one that does not answer delays no other. */
  private async join(signal: AbortSignal): Promise<void> {
    const pending = new Set<string>();
    while (!signal.aborted) {
      const knownAddresses = new Set(
        this.all().map(({addresses}) => addresses.peers),
      );
      for (const seed of this.dependencies.seeds()) {
        if (!knownAddresses.has(seed) && !pending.has(seed)) {
          pending.add(seed);
          void this.exchangeDigests(seed).then(() => pending.delete(seed));
        }
      }
      await pause(this.joinPeriod(), signal);
    }
  }

  /**
   * Fetches all members for a while, and after the first time what has changed,
   * from hosts to which others announce that they serve.
   */
  private async learn(signal: AbortSignal): Promise<void> {
    const fetchedTo = new Map<string, number>();
    while (!signal.aborted && this.age() < LEARNING_MILLISECONDS) {
      const [source] = shuffle(this.sources(), this.dependencies.random);
      if (source !== undefined) {
        const answer = await this.exchange(source.addresses.peers, {
          ...this.digest(),
          fetchedTo: fetchedTo.get(source.hostId) ?? 0,
        });
        fetchedTo.set(source.hostId, answer?.changeCount ?? 0);
      }
      await pause(this.joinPeriod(), signal);
    }
  }

  /** Returns the hosts to fetch members from: a few, which differ by host. */
  private sources(): readonly Member[] {
    const strong = strongHosts(this.live());
    const chosen = rendezvousOrder(
      `members/${this.own.hostId}`,
      strong.map(({hostId}) => hostId),
      SOURCE_COUNT,
    );
    return strong.filter(({hostId}) => chosen.includes(hostId));
  }

  private joinPeriod(): number {
    return this.age() < FIRST_PERIODS_MILLISECONDS
      ? FIRST_PERIOD_MILLISECONDS
      : JOIN_PERIOD_MILLISECONDS;
  }

  private age(): number {
    return this.dependencies.clock() - this.startedAt;
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
      this.announceLoad();
    }
  }

  /**
   * Notifies every host when this one becomes busy, or is not any more, if it is one
   * of the strong hosts of a fleet with spares.
   */
  private announceLoad(): void {
    const {measureBusy, clock, events} = this.dependencies;
    const serving = this.serving();
    const strong = strongHosts(serving);
    const hasSpares =
      strong.length < serving.length &&
      strong.some(({hostId}) => hostId === this.own.hostId);
    const isBusy = (measureBusy?.() ?? false) && hasSpares;
    if (isBusy === (this.own.isBusy ?? false)) {
      return;
    }
    this.membership.setBusy(isBusy, clock());
    events.write(isBusy ? 3042 : 3043, {hostId: this.own.hostId});
    this.broadcast();
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

  private notify(members: readonly Member[]): void {
    const digest = this.digest();
    for (const {addresses} of members) {
      this.dependencies.peers.notify(addresses.peers, 'gossip', digest);
    }
  }

  private async exchangeDigests(address: string): Promise<boolean> {
    return (await this.exchange(address, this.digest())) !== undefined;
  }

  /** Sends a digest and merges the response; undefined without one. */
  private async exchange(
    address: string,
    digest: GossipDigest,
  ): Promise<GossipDigest | undefined> {
    try {
      const answer = await this.dependencies.peers.call(
        address,
        'gossip',
        digest,
        PROBE_TIMEOUT_MILLISECONDS,
      );
      this.mergeDigest(answer);
      return answer;
    } catch {
      return undefined;
    }
  }

  /** Returns a digest with all members that changed after `fetchedTo` changes. */
  private digestSince(fetchedTo: number): GossipDigest {
    const {own, changeCount} = this.membership;
    const changed = this.membership.changedSince(
      fetchedTo > changeCount ? 0 : fetchedTo,
    );
    return {
      ...this.dependencies.content(),
      members: [own, ...changed.filter(({hostId}) => hostId !== own.hostId)],
      changeCount,
    };
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
    const {changeCount} = this.membership;
    if (changeCount === this.reportedChanges) {
      return;
    }
    this.reportedChanges = changeCount;
    const {events, metrics} = this.dependencies;
    const counts = new Map<MemberStatus, number>();
    const changed = new Map<MemberStatus, string[]>();
    for (const {hostId, status} of this.all()) {
      counts.set(status, (counts.get(status) ?? 0) + 1);
      if (this.statuses.get(hostId) !== status) {
        this.statuses.set(hostId, status);
        changed.set(status, [...(changed.get(status) ?? []), hostId]);
      }
    }
    for (const [status, hostIds] of changed) {
      const [hostId = '', ...others] = hostIds;
      if (others.length === 0) {
        events.write(3001, {hostId, status});
      } else {
        events.write(3040, {hostIds: hostIds.join(', '), status});
      }
    }
    metrics.members.reset();
    for (const [status, count] of counts) {
      metrics.members.set({status}, count);
    }
  }
}
