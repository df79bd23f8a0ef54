/**
 * Detects prompt parts that crash upstreams, across all entry hosts. Each host
 * sends what it sees to every other one and judges by all that it knows; gossip
 * and the store carry what a host has missed.
 */
import {
  type Member,
  type PartAtService,
  PartQuarantine,
  type PartRefusal,
  type PartSuspicion,
  type RandomSource,
  rendezvousOrder,
  verdictInForce,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';

import {isAborted} from '../util/is_aborted.js';
import {pause} from '../util/pause.js';
import type {PartDecision} from './part_decision.js';
import {UnconfirmedRuns, type UpstreamOfRun} from './unconfirmed_runs.js';
import type {VerdictStore} from './verdict_store.js';

/** Milliseconds for which reports of crashes are collected before sending. */
const REPORT_DELAY_MILLISECONDS = 10;

/**
 * Longest random wait before a sound run is reported to the other hosts. Many
 * hosts know sound runs of a frequent part; the first one spares the others.
 */
const MAXIMUM_REFUTATION_DELAY_MILLISECONDS = 100;

/** Milliseconds between two rounds of the periodic work. */
const ROUND_MILLISECONDS = 1000;

/**
 * Milliseconds without gossip after which this host reads the verdicts in the
 * store: gossip arrives about twice a second.
 */
const ISOLATION_MILLISECONDS = 1500;

/** Largest number of suspicions in one message. */
const MAXIMUM_SUSPICIONS_PER_MESSAGE = 64;

/** An incarnation of an upstream that crashed while answers began there. */
export interface CrashedUpstream {
  readonly upstreamId: string;
  readonly bornAt: number;
  /** See `UpstreamCrash`; undefined if it is not known. */
  readonly runningSince?: number | undefined;
  readonly service: string;
}

/** Dependencies of `PartWatch`. */
export interface PartWatchDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly verdicts: VerdictStore;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
  /** Returns the serving hosts, including this one. */
  readonly servingHosts: () => readonly Member[];
  /** Returns whether an upstream runs. */
  readonly isAlive: (upstream: UpstreamOfRun) => Promise<boolean>;
}

/** The quarantine of prompt parts at one entry host. */
export class PartWatch {
  private readonly quarantine = new PartQuarantine();
  private readonly unsentReports = new Map<string, PartSuspicion>();
  private isReportScheduled = false;
  private isRefutationScheduled = false;
  /** Verdicts in force that this host has logged, by part and service. */
  private readonly inForce = new Map<string, PartAtService>();
  /** Verdicts that this host has to write to the store, or to remove there. */
  private readonly unsaved = new Map<string, PartAtService>();
  private gossipReceivedAt = -Infinity;
  private readonly unconfirmedRuns: UnconfirmedRuns;

  constructor(private readonly dependencies: PartWatchDependencies) {
    this.unconfirmedRuns = new UnconfirmedRuns({
      ...dependencies,
      onSound: ({service, parts}, millisecondsAgo) =>
        this.recordSound(service, parts, millisecondsAgo),
    });
  }

  /** Decides how a request of `service` with `parts` is treated now. */
  decide(service: string, parts: readonly string[]): PartDecision {
    const decision = this.peekDecision(service, parts);
    if (decision.kind === 'trial') {
      this.grantTrial(decision.part, decision.isSeparating);
    }
    return decision;
  }

  /**
   * Grants a trial, at most one at a time; returns whether a request may be sent. The
   * trial counts at all hosts and in the store before that.
   */
  grantTrial(part: PartAtService, isSeparating: boolean): boolean {
    const now = this.dependencies.trueTime();
    const suspicion = this.quarantine.takeTrial(part, now, isSeparating);
    if (suspicion === undefined) {
      return false;
    }
    this.send([suspicion]);
    this.unsaved.set(keyOf(part), part);
    return true;
  }

  /** Returns the host that grants the trials of a part; undefined without one. */
  trialHostOf({service, partId}: PartAtService): Member | undefined {
    const hosts = this.dependencies.servingHosts();
    const [winner] = rendezvousOrder(
      `${partId}@${service}`,
      hosts.map(member => member.hostId),
      1,
    );
    return hosts.find(({hostId}) => hostId === winner);
  }

  /** Returns what `decide` would return, and counts no trial. */
  peekDecision(service: string, parts: readonly string[]): PartDecision {
    const refusal = this.findRefusal(service, parts);
    if (refusal === undefined) {
      return {kind: 'clear'};
    }
    const {partId, until, isSeparating} = refusal;
    const part = {service: refusal.service, partId};
    const now = this.dependencies.trueTime();
    if (this.isTrialHost(part) && now >= until) {
      return {kind: 'trial', part, isSeparating};
    }
    const milliseconds = Math.max(0, until - now);
    return {kind: 'refused', part, milliseconds, isSeparating};
  }

  /** Returns whether a request of `service` with `parts` is refused now. */
  isRefused(service: string, parts: readonly string[]): boolean {
    return this.findRefusal(service, parts) !== undefined;
  }

  /** Records that an upstream crashed as it began to answer. */
  recordCrash(
    {service, ...incarnation}: CrashedUpstream,
    parts: readonly string[],
    millisecondsAgo: number,
  ): void {
    const now = this.dependencies.trueTime();
    const crash = {...incarnation, time: now - millisecondsAgo};
    const wasRefused = parts.filter(partId =>
      this.isRefused(service, [partId]),
    );
    const merged = this.quarantine.recordCrash(service, parts, crash, now);
    for (const suspicion of merged) {
      this.unsentReports.set(keyOf(suspicion), suspicion);
      const isNewVerdict =
        verdictInForce(suspicion) !== undefined &&
        !wasRefused.includes(suspicion.partId);
      if (isNewVerdict) {
        this.unsaved.set(keyOf(suspicion), suspicion);
      }
    }
    this.noteVerdicts();
    this.scheduleReport();
  }

  /** Records that a run with `parts` turned out to be sound some time ago. */
  recordSound(
    service: string,
    parts: readonly string[],
    millisecondsAgo: number,
  ): void {
    if (parts.length === 0) {
      return;
    }
    const now = this.dependencies.trueTime();
    this.quarantine.recordSound(service, parts, now - millisecondsAgo);
    this.afterChange();
  }

  /**
   * Records that a run ended without a sign whether its upstream lives. It was
   * sound if the upstream begins another answer `milliseconds` from now or later.
   */
  awaitSignOfLife(
    {service, upstreamId, bornAt, address}: UpstreamOfRun,
    parts: readonly string[],
    milliseconds: number,
  ): void {
    if (parts.length === 0) {
      return;
    }
    const {clock, trueTime} = this.dependencies;
    const endedAt = clock();
    const soundFrom = endedAt + milliseconds;
    this.unconfirmedRuns.add(
      {service, upstreamId, bornAt, address, parts, endedAt, soundFrom},
      this.quarantine.isAnyAccused(service, parts, trueTime()),
    );
  }

  /**
   * Records that an upstream began an answer; its process has run for `milliseconds`
   * or longer.
   */
  recordSignOfLife(upstream: UpstreamOfRun, milliseconds: number): void {
    this.unconfirmedRuns.recordSignOfLife(upstream, milliseconds);
  }

  /** Merges suspicions that another host or the store knows. */
  onSuspicions(received: readonly PartSuspicion[]): void {
    if (received.length > 0) {
      this.quarantine.merge(received, this.dependencies.trueTime());
      this.afterChange();
    }
  }

  /** Merges the suspicions in the gossip of another host. */
  onGossip(received: readonly PartSuspicion[]): void {
    this.gossipReceivedAt = this.dependencies.clock();
    this.onSuspicions(received);
  }

  /** Returns the suspicions to gossip. */
  openSuspicions(): readonly PartSuspicion[] {
    return this.quarantine.isEmpty
      ? []
      : this.quarantine.open(
          MAXIMUM_SUSPICIONS_PER_MESSAGE,
          this.dependencies.trueTime(),
        );
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let isLoaded = false;
    while (!isAborted(signal)) {
      if (!isLoaded || this.isIsolated()) {
        isLoaded = (await this.load()) || isLoaded;
      }
      await this.saveVerdicts();
      if (!this.quarantine.isEmpty) {
        this.quarantine.forget(this.dependencies.trueTime());
        this.noteVerdicts();
      }
      await pause(ROUND_MILLISECONDS, signal);
    }
  }

  private findRefusal(
    service: string,
    parts: readonly string[],
  ): PartRefusal | undefined {
    return this.quarantine.isEmpty
      ? undefined
      : this.quarantine.findRefusal(
          service,
          parts,
          this.dependencies.trueTime(),
        );
  }

  private isIsolated(): boolean {
    const age = this.dependencies.clock() - this.gossipReceivedAt;
    return age > ISOLATION_MILLISECONDS;
  }

  private async load(): Promise<boolean> {
    const verdicts = await this.dependencies.verdicts.load();
    this.onSuspicions(verdicts ?? []);
    verdicts?.forEach(verdict => this.unsaved.delete(keyOf(verdict)));
    return verdicts !== undefined;
  }

  /** Writes the verdicts that this host has to save, or removes lifted ones. */
  private async saveVerdicts(): Promise<void> {
    const {verdicts} = this.dependencies;
    for (const [key, part] of this.unsaved) {
      const suspicion = this.quarantine.find(part);
      const isInForce =
        suspicion !== undefined && verdictInForce(suspicion) !== undefined;
      const isDone = isInForce
        ? await verdicts.save(suspicion)
        : await verdicts.remove(part);
      if (isDone) {
        this.unsaved.delete(key);
      }
    }
  }

  /**
   * Returns whether this host lets requests with a refused part through at the
   * times of the trials.
   */
  private isTrialHost(part: PartAtService): boolean {
    return this.trialHostOf(part)?.hostId === this.dependencies.hostId;
  }

  private afterChange(): void {
    if (this.quarantine.isEmpty) {
      return;
    }
    this.noteVerdicts();
    const {trueTime, random} = this.dependencies;
    if (
      !this.isRefutationScheduled &&
      this.quarantine.hasRefutations(trueTime())
    ) {
      this.isRefutationScheduled = true;
      setTimeout(
        () => this.sendRefutations(),
        random() * MAXIMUM_REFUTATION_DELAY_MILLISECONDS,
      ).unref();
    }
  }

  private sendRefutations(): void {
    this.isRefutationScheduled = false;
    this.send(this.quarantine.takeRefutations(this.dependencies.trueTime()));
  }

  private scheduleReport(): void {
    if (this.isReportScheduled) {
      return;
    }
    this.isReportScheduled = true;
    setTimeout(() => {
      this.isReportScheduled = false;
      this.send([...this.unsentReports.values()]);
      this.unsentReports.clear();
    }, REPORT_DELAY_MILLISECONDS).unref();
  }

  private send(suspicions: readonly PartSuspicion[]): void {
    if (suspicions.length === 0) {
      return;
    }
    const {hostId, servingHosts, peers} = this.dependencies;
    const message = {
      suspicions: suspicions.slice(0, MAXIMUM_SUSPICIONS_PER_MESSAGE),
    };
    for (const member of servingHosts()) {
      if (member.hostId !== hostId) {
        peers.notify(member.addresses.peers, 'suspicion.parts', message);
      }
    }
  }

  /** Logs verdicts that are new to this host, and those that were lifted. */
  private noteVerdicts(): void {
    const {events, metrics, trueTime} = this.dependencies;
    const current = new Map(
      this.quarantine
        .verdicts()
        .map(suspicion => [keyOf(suspicion), suspicion] as const),
    );
    for (const [key, suspicion] of current) {
      if (!this.inForce.has(key)) {
        this.inForce.set(key, suspicion);
        events.write(4109, {
          part: suspicion.partId,
          service: suspicion.service,
          crashes: suspicion.crashes.length,
          span: Math.round(trueTime() - (suspicion.crashes[0]?.time ?? 0)),
          wasSound: String(suspicion.soundAt > 0),
        });
        if (this.isTrialHost(suspicion)) {
          this.unsaved.set(key, suspicion);
        }
      }
    }
    for (const [key, part] of this.inForce) {
      if (!current.has(key)) {
        this.inForce.delete(key);
        events.write(4110, {part: part.partId, service: part.service});
        if (this.isTrialHost(part)) {
          this.unsaved.set(key, part);
        }
      }
    }
    metrics.quarantinedParts.set(current.size);
  }
}

function keyOf({service, partId}: PartAtService): string {
  return `${partId}@${service}`;
}
