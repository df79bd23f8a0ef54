/**
 * Detects content that crashes upstreams, across all entry hosts. Two hosts
 * chosen by rendezvous hashing count the crashes of a content, and they notify
 * every host when they quarantine it. Gossip carries the verdict to hosts that
 * missed it, and the store keeps it for the case that all hosts end.
 */

import {
  AnsweredContents,
  clearedSuspicion,
  type Member,
  Quarantine,
  rendezvousOrder,
  SHARED_POLICY,
  type Suspicion,
  suspicionOfCrash,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';
import type {ConnectionPool} from '@lacewingwinch/upstreams';

import type {
  EndedUpstream,
  LostConnection,
} from '../../paths/blame_inquiries.js';
import type {ProcessAddress} from '../../paths/process_probe.js';
import {callPeer} from '../../util/call_peer.js';
import {isAborted} from '../../util/is_aborted.js';
import {pause} from '../../util/pause.js';
import type {ContentDecision} from './content_decision.js';
import type {ContentVerdictStore} from './content_verdict_store.js';

/** Milliseconds within which all connections of a crashed upstream end. */
const CRASH_DETECTION_MILLISECONDS = 100;

/**
 * Milliseconds from the verdict on a content to its first trial, which shows whether
 * the content still crashes upstreams. A verdict that was lifted is gossiped for as
 * long.
 */
const TRIAL_MILLISECONDS = 60_000;

/** Milliseconds for the host that grants the trials of a content to answer. */
const GRANT_TIMEOUT_MILLISECONDS = 200;

/**
 * Number of hosts that count the crashes of one content; two, so that one of
 * them may be lost.
 */
const COUNTING_HOSTS = 2;

/**
 * Maximum number of contents that a host remembers having reported: as many as
 * it serves within seconds.
 */
const MAXIMUM_REPORTED_CONTENTS = 1024;

/** Largest number of verdicts in one gossip message. */
const MAXIMUM_GOSSIPED_VERDICTS = 32;

/** Milliseconds between two rounds of the periodic work. */
const ROUND_MILLISECONDS = 1000;

/** Dependencies of `CrashWatch`. */
export interface CrashWatchDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly pool: Pick<ConnectionPool, 'watchConnections'>;
  /** Returns whether the upstream is to blame, and not the links of this host. */
  readonly isToBlame: (lost: EndedUpstream) => Promise<boolean>;
  /** Returns whether a process is known to live on. */
  readonly isRunning: (process: ProcessAddress) => Promise<boolean>;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
  /** Returns the serving hosts, including this one. */
  readonly servingHosts: () => readonly Member[];
  readonly verdicts: Pick<ContentVerdictStore, 'load' | 'remove' | 'save'>;
}

/** Crash detection of one entry host. */
export class CrashWatch {
  private readonly quarantine = new Quarantine(SHARED_POLICY);
  private readonly answered = new AnsweredContents();
  /**
   * Fingerprints of contents for which this host reported a crash and which
   * have not run to completion since.
   */
  private readonly reported = new Set<string>();
  /** Fingerprints whose verdicts this host has to write to the store. */
  private readonly unsaved = new Set<string>();
  /** Fingerprints of which this host knows a verdict in the store. */
  private readonly saved = new Set<string>();

  constructor(private readonly dependencies: CrashWatchDependencies) {}

  /**
   * Decides how a request with this content is treated now. One host grants the
   * trials of a content to all of them.
   */
  async decide(fingerprint: string): Promise<ContentDecision> {
    const decision = this.peekDecision(fingerprint);
    if (decision.kind !== 'trial') {
      return decision;
    }
    return (await this.requestTrial(fingerprint))
      ? decision
      : {kind: 'refused', milliseconds: 0};
  }

  /** Returns what `decide` would return if the trial were granted. */
  peekDecision(fingerprint: string): ContentDecision {
    // Hardly any content has ever caused a crash, and reading true time
    // consults the clock of every host.
    if (this.quarantine.find(fingerprint) === undefined) {
      return {kind: 'clear'};
    }
    const now = this.dependencies.trueTime();
    const until = this.quarantine.refusedUntil(
      fingerprint,
      TRIAL_MILLISECONDS,
      now,
    );
    if (until === undefined) {
      return {kind: 'clear'};
    }
    return now < until
      ? {kind: 'refused', milliseconds: until - now}
      : {kind: 'trial'};
  }

  /** Returns whether requests with this content are refused now. */
  isRefused(fingerprint: string): boolean {
    return this.peekDecision(fingerprint).kind !== 'clear';
  }

  /**
   * Grants a trial to a host, at most one at a time; returns whether it may send its
   * request. The trial counts at all hosts and in the store before that.
   */
  grantTrial(fingerprint: string): boolean {
    const {trueTime, servingHosts} = this.dependencies;
    const suspicion = this.quarantine.takeTrial(
      fingerprint,
      TRIAL_MILLISECONDS,
      trueTime(),
    );
    if (suspicion === undefined) {
      return false;
    }
    this.notify(servingHosts(), suspicion);
    this.unsaved.add(fingerprint);
    return true;
  }

  private async requestTrial(fingerprint: string): Promise<boolean> {
    const {hostId, servingHosts, peers, events} = this.dependencies;
    const hosts = servingHosts();
    const [granting] = rendezvousOrder(
      `trial/${fingerprint}`,
      hosts.map(host => host.hostId),
      1,
    );
    if (granting === hostId) {
      return this.grantTrial(fingerprint);
    }
    const host = hosts.find(member => member.hostId === granting);
    const answer =
      host &&
      (await callPeer(
        {peers, events},
        host,
        'suspicion.trial',
        {fingerprint},
        GRANT_TIMEOUT_MILLISECONDS,
      ));
    return answer?.isGranted ?? false;
  }

  /** Records that a request with this content ran to completion. */
  recordCompletion(fingerprint: string): void {
    const {clock, trueTime} = this.dependencies;
    this.answered.add(fingerprint, clock());
    const isSuspected = this.quarantine.find(fingerprint) !== undefined;
    if (this.reported.delete(fingerprint) || isSuspected) {
      this.notifyCountingHosts(clearedSuspicion(fingerprint, trueTime()));
    }
  }

  /**
   * Records that the connection of a running request ended. It counts as a crash if all
   * others to the upstream end as well, its process does not live on, and the links of
   * this host have not failed; `onCrash` is called then.
   */
  recordLostConnection(
    fingerprint: string,
    upstream: LostConnection,
    onCrash: () => void = () => undefined,
  ): void {
    const {pool, trueTime} = this.dependencies;
    const haveAllEnded = pool.watchConnections(upstream.address);
    const time = trueTime();
    setTimeout(() => {
      if (haveAllEnded()) {
        void this.reportIfEnded(fingerprint, {...upstream, time}, onCrash);
      }
    }, CRASH_DETECTION_MILLISECONDS).unref();
  }

  private async reportIfEnded(
    fingerprint: string,
    lost: EndedUpstream,
    onCrash: () => void,
  ): Promise<void> {
    const {isRunning, events} = this.dependencies;
    if (await isRunning(lost)) {
      events.write(4127, {upstreamId: lost.upstreamId, fingerprint});
      return;
    }
    await this.reportIfToBlame(fingerprint, lost, onCrash);
  }

  /**
   * Records a crash of an upstream whose connections have all ended, unless the links
   * of this host have failed; `onCrash` is called then.
   */
  async reportIfToBlame(
    fingerprint: string,
    lost: EndedUpstream,
    onCrash: () => void,
  ): Promise<void> {
    if (await this.dependencies.isToBlame(lost)) {
      this.reportCrash(fingerprint, lost);
      onCrash();
    }
  }

  /**
   * Merges a suspicion reported by another host. If a request with the same content ran
   * to completion here, the crashes have another cause and the suspicion is cleared.
   */
  onSuspicion(received: Suspicion): void {
    const {fingerprint} = received;
    const {hostId, servingHosts, clock, trueTime} = this.dependencies;
    const before = this.refusedUntil(fingerprint);
    const merged = this.quarantine.merge(received);
    this.quarantine.forget(trueTime());
    const after = this.refusedUntil(fingerprint);
    if (
      before !== after &&
      this.countingHostIds(fingerprint).includes(hostId)
    ) {
      this.notify(servingHosts(), merged);
      this.unsaved.add(fingerprint);
    }
    if (after !== undefined && this.answered.has(fingerprint, clock())) {
      this.recordCompletion(fingerprint);
    }
  }

  private refusedUntil(fingerprint: string): number | undefined {
    return this.quarantine.refusedUntil(
      fingerprint,
      TRIAL_MILLISECONDS,
      this.dependencies.trueTime(),
    );
  }

  /** Merges the verdicts that another host gossips. */
  onGossip(received: readonly Suspicion[]): void {
    received.forEach(suspicion => this.onSuspicion(suspicion));
  }

  /** Returns the verdicts to gossip, also those that were lifted. */
  gossipedVerdicts(): readonly Suspicion[] {
    return this.quarantine.isEmpty
      ? []
      : this.quarantine.decided(
          MAXIMUM_GOSSIPED_VERDICTS,
          TRIAL_MILLISECONDS,
          this.dependencies.trueTime(),
        );
  }

  /**
   * Reads the verdicts in the store and keeps them up to date there, until `signal`
   * aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    let isLoaded = false;
    while (!isAborted(signal)) {
      isLoaded ||= await this.load();
      await this.updateStore();
      await pause(ROUND_MILLISECONDS, signal);
    }
  }

  private async load(): Promise<boolean> {
    const verdicts = await this.dependencies.verdicts.load();
    for (const verdict of verdicts ?? []) {
      this.onSuspicion(verdict);
      this.unsaved.delete(verdict.fingerprint);
      this.saved.add(verdict.fingerprint);
    }
    return verdicts !== undefined;
  }

  /** Writes new verdicts to the store, and removes those that have ended. */
  private async updateStore(): Promise<void> {
    const {verdicts, trueTime} = this.dependencies;
    if (this.unsaved.size === 0 && this.saved.size === 0) {
      return;
    }
    this.quarantine.forget(trueTime());
    for (const fingerprint of this.unsaved) {
      const suspicion = this.quarantine.find(fingerprint);
      if (suspicion === undefined || (await verdicts.save(suspicion))) {
        this.unsaved.delete(fingerprint);
        this.saved.add(fingerprint);
      }
    }
    for (const fingerprint of this.saved) {
      const isOver = this.quarantine.find(fingerprint) === undefined;
      if (isOver && (await verdicts.remove(fingerprint))) {
        this.saved.delete(fingerprint);
      }
    }
  }

  /**
   * Reports a crash to the counting hosts. Other hosts do not store it, so that
   * a later completion clears every copy.
   */
  reportCrash(
    fingerprint: string,
    {upstreamId, bornAt, runningSince, time}: EndedUpstream,
  ): void {
    const crash = {upstreamId, bornAt, runningSince, time};
    this.dependencies.events.write(4003, {fingerprint, upstreamId});
    if (this.reported.size >= MAXIMUM_REPORTED_CONTENTS) {
      this.reported.clear();
    }
    this.reported.add(fingerprint);
    this.notifyCountingHosts(
      suspicionOfCrash(fingerprint, {...crash, wasAlone: false}),
    );
  }

  private countingHostIds(fingerprint: string): readonly string[] {
    const ids = this.dependencies.servingHosts().map(({hostId}) => hostId);
    return rendezvousOrder(fingerprint, ids, COUNTING_HOSTS);
  }

  private notifyCountingHosts(suspicion: Suspicion): void {
    const ids = this.countingHostIds(suspicion.fingerprint);
    const {hostId, servingHosts} = this.dependencies;
    this.notify(
      servingHosts().filter(host => ids.includes(host.hostId)),
      suspicion,
    );
    if (
      ids.includes(hostId) ||
      this.quarantine.find(suspicion.fingerprint) !== undefined
    ) {
      this.onSuspicion(suspicion);
    }
  }

  private notify(hosts: readonly Member[], suspicion: Suspicion): void {
    for (const {hostId, addresses} of hosts) {
      if (hostId !== this.dependencies.hostId) {
        this.dependencies.peers.notify(
          addresses.peers,
          'suspicion.report',
          suspicion,
        );
      }
    }
  }
}
