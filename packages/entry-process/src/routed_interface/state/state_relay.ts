/**
 * The task that fetches the configuration and the upstream list from other
 * entry hosts. A host that does not read the store itself always fetches from
 * one that does; while its state is stale, any host fetches from two others at
 * random. Fetched state keeps its age: the whole round trip is added to it.
 */
import {
  type Member,
  type RandomSource,
  readersFor,
  shuffle,
} from '@lacewingwinch/decisions';
import type {
  PeerClient,
  RelayedRollouts,
  RelayedState,
  StateRequest,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {callPeer} from '../../util/call_peer.js';
import type {Clocks} from '../../util/clocks.js';
import {isAborted} from '../../util/is_aborted.js';
import {pause} from '../../util/pause.js';
import type {ConfigurationFollower} from './configuration_follower.js';
import type {UpstreamFollower} from './upstream_follower.js';

/** Milliseconds between two checks of the age of this host's state. */
const CHECK_PERIOD_MILLISECONDS = 300;

/**
 * Age of the configuration above which a host fetches from any other hosts.
 * While the store responds, the last confirmed read of 800 ms began at most
 * 1,600 ms ago, and a host that relies on other hosts reads the store itself
 * from 2,100 ms.
 */
const STALE_CONFIGURATION_MILLISECONDS = 2400;

/**
 * Age of the list of upstreams above which a host fetches from any other hosts.
 * While the store responds, the last read began at most 310 ms ago; a slow read
 * takes 600 ms.
 */
const STALE_UPSTREAMS_MILLISECONDS = 1000;

/**
 * Milliseconds to wait for another host's response; links take a few
 * milliseconds.
 */
const PEER_TIMEOUT_MILLISECONDS = 250;

/**
 * Milliseconds for which a store reader is not chosen after it failed to
 * respond or returned stale state.
 */
const PEER_BACKOFF_MILLISECONDS = 2000;

/**
 * Number of other hosts that are called in one round while this host's state is
 * stale.
 */
const PEERS_PER_ROUND = 2;

/**
 * Milliseconds for which a starting process looks for another host to compare
 * its state with. It joins the others within about 50 ms if one of them serves.
 */
const COMPARISON_TIMEOUT_MILLISECONDS = 500;

/** Milliseconds between two attempts to compare. */
const COMPARISON_PERIOD_MILLISECONDS = 25;

/** The part of the relayed state that is about roll-outs. */
export interface RolloutRelay {
  /** What this host knows, in short; undefined without any order. */
  digest(): string | undefined;
  /** Returns what a host with the digest `known` lacks. */
  relay(known: string | undefined): RelayedRollouts | undefined;
  /** Accepts what another host sent after `sentAt`. */
  accept(relayed: RelayedRollouts, sentAt: number): void;
}

/** Dependencies of `StateRelay`. */
export interface StateRelayDependencies {
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  readonly random: RandomSource;
  readonly hostId: string;
  /** Returns the ids of the hosts that read the store, including this one. */
  readonly storeReaders: () => readonly string[];
  readonly otherHosts: () => readonly Member[];
  /** Returns whether this host reads the store itself. */
  readonly isStoreReader: () => boolean;
  readonly configuration: ConfigurationFollower;
  readonly upstreams: UpstreamFollower;
  readonly rollouts: RolloutRelay;
}

/** Fetches state from other hosts and serves this host's state to them. */
export class StateRelay {
  private readonly backoffUntil = new Map<string, number>();

  constructor(private readonly dependencies: StateRelayDependencies) {}

  /** Returns this host's state for another host. */
  answer(request: StateRequest): RelayedState {
    const {configuration, upstreams, rollouts, clocks} = this.dependencies;
    const now = clocks.suspensionAware();
    const relayedRollouts = rollouts.relay(request.knownRollouts);
    const confirmed = configuration.current;
    const document = configuration.publishedDocument;
    const version = confirmed?.value.version;
    const age = now - (confirmed?.confirmedAt ?? -Infinity);
    return {
      ...(version === undefined || !Number.isFinite(age)
        ? {}
        : {
            configuration: {
              version,
              age,
              ...(request.wantsDocument &&
              version > request.knownVersion &&
              document !== undefined
                ? {document: document.toString('base64')}
                : {}),
            },
          }),
      ...(upstreams.readTo === undefined
        ? {}
        : {
            upstreams: {
              age: now - upstreams.confirmedAt,
              readTo: upstreams.readTo,
              list: upstreams.list.relay(request.upstreamsReadTo, now),
            },
          }),
      ...(relayedRollouts !== undefined && {rollouts: relayedRollouts}),
    };
  }

  /**
   * Compares the state of a starting process with that of other hosts. The
   * store can have come back from an older copy, in which a key is valid that
   * the other hosts know to be revoked. Without another host, the state of the
   * store is all there is.
   */
  async compareAtStart(signal: AbortSignal): Promise<void> {
    const {clocks} = this.dependencies;
    const until = clocks.steady() + COMPARISON_TIMEOUT_MILLISECONDS;
    while (!isAborted(signal) && clocks.steady() < until) {
      const answers = await Promise.all(
        this.choosePeers().map(member => this.fetchFrom(member, true)),
      );
      if (answers.includes(true)) {
        return;
      }
      await pause(COMPARISON_PERIOD_MILLISECONDS, signal);
    }
  }

  /** Checks the age of the state periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await pause(CHECK_PERIOD_MILLISECONDS, signal);
      if (this.isStale()) {
        const others = this.choosePeers();
        await Promise.all(others.map(member => this.fetchFrom(member, true)));
        continue;
      }
      const reader = this.chooseReader();
      if (reader !== undefined) {
        await this.fetchFrom(reader, false);
      }
    }
  }

  /**
   * Returns the store reader to fetch from; undefined if this host reads the
   * store itself or no reader is available.
   */
  private chooseReader(): Member | undefined {
    const {hostId, storeReaders, otherHosts, isStoreReader, clocks} =
      this.dependencies;
    if (isStoreReader()) {
      return undefined;
    }
    const now = clocks.suspensionAware();
    const chosen = readersFor(hostId, storeReaders()).find(
      reader => now >= (this.backoffUntil.get(reader) ?? -Infinity),
    );
    return otherHosts().find(member => member.hostId === chosen);
  }

  /** Excludes a reader from the next rounds, so that another one is chosen. */
  private backOff({hostId}: Member): void {
    const now = this.dependencies.clocks.suspensionAware();
    this.backoffUntil.set(hostId, now + PEER_BACKOFF_MILLISECONDS);
  }

  private isStale(): boolean {
    const {configuration, upstreams, clocks} = this.dependencies;
    const now = clocks.suspensionAware();
    const confirmedAt = configuration.current?.confirmedAt ?? -Infinity;
    return (
      now - confirmedAt > STALE_CONFIGURATION_MILLISECONDS ||
      now - upstreams.confirmedAt > STALE_UPSTREAMS_MILLISECONDS
    );
  }

  private choosePeers(): readonly Member[] {
    const {otherHosts, random} = this.dependencies;
    return shuffle(otherHosts(), random).slice(0, PEERS_PER_ROUND);
  }

  /** Fetches the state of another host; returns whether it responded. */
  private async fetchFrom(
    member: Member,
    wantsDocument: boolean,
  ): Promise<boolean> {
    const {clocks, configuration, upstreams, rollouts} = this.dependencies;
    const sentAt = clocks.suspensionAware();
    const knownRollouts = rollouts.digest();
    const state = await callPeer(
      this.dependencies,
      member,
      'beliefs.fetch',
      {
        knownVersion: configuration.current?.value.version ?? -1,
        wantsDocument,
        ...(upstreams.readTo === undefined
          ? {}
          : {upstreamsReadTo: upstreams.readTo}),
        ...(knownRollouts !== undefined && {knownRollouts}),
      },
      PEER_TIMEOUT_MILLISECONDS,
    );
    if (state === undefined) {
      this.backOff(member);
      return false;
    }
    if (isStaleState(state)) {
      this.backOff(member);
    }
    // Orders come first: the age of the configuration is that of the orders too.
    if (state.rollouts !== undefined) {
      rollouts.accept(state.rollouts, sentAt);
    }
    if (state.configuration !== undefined) {
      const {version, age, document} = state.configuration;
      configuration.acceptRelayed(
        version,
        document === undefined ? undefined : Buffer.from(document, 'base64'),
        sentAt - age,
      );
    }
    if (state.upstreams !== undefined) {
      const {list, age, readTo} = state.upstreams;
      upstreams.acceptRelayed(list, readTo, sentAt - age);
    }
    return true;
  }
}

/**
 * Returns whether the responding host has itself lost contact with the store.
 */
function isStaleState({configuration, upstreams}: RelayedState): boolean {
  return (
    (configuration?.age ?? Infinity) > STALE_CONFIGURATION_MILLISECONDS ||
    (upstreams?.age ?? Infinity) > STALE_UPSTREAMS_MILLISECONDS
  );
}
