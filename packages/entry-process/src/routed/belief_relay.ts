/**
 * The task that asks other hosts what they believe: always one that reads the
 * store, where this host does not, and any two while the store turns this host
 * away. What they say keeps its age: the whole round trip is added to it.
 */
import {
  type Member,
  type RandomSource,
  readersFor,
  shuffle,
} from '@lacewingwinch/decisions';
import type {
  BeliefsAsk,
  PeerCaller,
  RelayedBeliefs,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {isAborted} from '../util/is_aborted.js';
import {pause} from '../util/pause.js';
import {askPeer} from './ask_peer.js';
import type {Clocks} from './clocks.js';
import type {ConfigurationFollower} from './configuration_follower.js';
import type {UpstreamFollower} from './upstream_follower.js';

/** Milliseconds between two looks at the age of what this host believes. */
const LOOK_PERIOD_MILLISECONDS = 300;

/**
 * Age of the configuration from which on any other hosts are asked. While the
 * store answers, a read of 800 ms has begun at most 1,600 ms ago, and a host
 * that is told by others reads for itself from 2,100 ms.
 */
const CONFIGURATION_ASK_AGE_MILLISECONDS = 2400;

/**
 * Age of the list of upstreams from which on other hosts are asked. While the
 * store answers, a read has begun at most 310 ms ago; a slow one takes 600 ms.
 */
const UPSTREAMS_ASK_AGE_MILLISECONDS = 1000;

/** Milliseconds for the answer of another host; links take some milliseconds. */
const ASK_TIMEOUT_MILLISECONDS = 250;

/** Milliseconds for which a host that did not help is not asked. */
const ASK_PAUSE_MILLISECONDS = 2000;

/** Other hosts that are asked in one round. */
const ASKED_HOSTS = 2;

/** What the task needs from others. */
export interface BeliefRelayContext {
  readonly peers: PeerCaller;
  readonly events: EventLog;
  readonly clocks: Clocks;
  readonly random: RandomSource;
  readonly hostId: string;
  /** Ids of the hosts that serve, this one included. */
  readonly servingHosts: () => readonly string[];
  readonly otherHosts: () => readonly Member[];
  /** Whether this host reads the store itself. */
  readonly readsStore: () => boolean;
  readonly configuration: ConfigurationFollower;
  readonly upstreams: UpstreamFollower;
}

/** Asks other hosts for beliefs, and answers them. */
export class BeliefRelay {
  private readonly askAgainAt = new Map<string, number>();

  constructor(private readonly context: BeliefRelayContext) {}

  /** What this host believes, for another one. */
  answer(ask: BeliefsAsk): RelayedBeliefs {
    const {configuration, upstreams, clocks} = this.context;
    const now = clocks.counting();
    const belief = configuration.current;
    const document = configuration.published;
    const version = belief?.value.version;
    const age = now - (belief?.confirmedAt ?? -Infinity);
    return {
      ...(version === undefined || !Number.isFinite(age)
        ? {}
        : {
            configuration: {
              version,
              age,
              ...(ask.wantsDocument &&
              version > ask.knownVersion &&
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
              list: upstreams.list.relay(ask.upstreamsReadTo, now),
            },
          }),
    };
  }

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await pause(LOOK_PERIOD_MILLISECONDS, signal);
      if (this.isStale()) {
        const others = this.choose();
        await Promise.all(others.map(member => this.askOne(member, true)));
        continue;
      }
      const reader = this.chooseReader();
      if (reader !== undefined) {
        await this.askOne(reader, false);
      }
    }
  }

  /** The reader that this host asks; none if it reads the store itself. */
  private chooseReader(): Member | undefined {
    const {hostId, servingHosts, otherHosts, readsStore, clocks} = this.context;
    if (readsStore()) {
      return undefined;
    }
    const now = clocks.counting();
    const chosen = readersFor(hostId, servingHosts()).find(
      reader => now >= (this.askAgainAt.get(reader) ?? -Infinity),
    );
    return otherHosts().find(member => member.hostId === chosen);
  }

  /** Another host is asked in the next rounds. */
  private pauseAsking({hostId}: Member): void {
    const now = this.context.clocks.counting();
    this.askAgainAt.set(hostId, now + ASK_PAUSE_MILLISECONDS);
  }

  private isStale(): boolean {
    const {configuration, upstreams, clocks} = this.context;
    const now = clocks.counting();
    const confirmedAt = configuration.current?.confirmedAt ?? -Infinity;
    return (
      now - confirmedAt > CONFIGURATION_ASK_AGE_MILLISECONDS ||
      now - upstreams.confirmedAt > UPSTREAMS_ASK_AGE_MILLISECONDS
    );
  }

  private choose(): readonly Member[] {
    const {otherHosts, random} = this.context;
    return shuffle(otherHosts(), random).slice(0, ASKED_HOSTS);
  }

  private async askOne(member: Member, wantsDocument: boolean): Promise<void> {
    const {clocks, configuration, upstreams} = this.context;
    const askedAt = clocks.counting();
    const beliefs = await askPeer(
      this.context,
      member,
      'beliefs.fetch',
      {
        knownVersion: configuration.current?.value.version ?? -1,
        wantsDocument,
        ...(upstreams.readTo === undefined
          ? {}
          : {upstreamsReadTo: upstreams.readTo}),
      },
      ASK_TIMEOUT_MILLISECONDS,
    );
    if (beliefs === undefined) {
      this.pauseAsking(member);
      return;
    }
    if (isOld(beliefs)) {
      this.pauseAsking(member);
    }
    if (beliefs.configuration !== undefined) {
      const {version, age, document} = beliefs.configuration;
      configuration.takeRelayed(
        version,
        document === undefined ? undefined : Buffer.from(document, 'base64'),
        askedAt - age,
      );
    }
    if (beliefs.upstreams !== undefined) {
      const {list, age, readTo} = beliefs.upstreams;
      upstreams.takeRelayed(list, readTo, askedAt - age);
    }
  }
}

/** Whether the host that answered is itself cut off from the store. */
function isOld({configuration, upstreams}: RelayedBeliefs): boolean {
  return (
    (configuration?.age ?? Infinity) > CONFIGURATION_ASK_AGE_MILLISECONDS ||
    (upstreams?.age ?? Infinity) > UPSTREAMS_ASK_AGE_MILLISECONDS
  );
}
