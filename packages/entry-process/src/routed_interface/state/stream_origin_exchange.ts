/**
 * Keeps the origins of streams at several hosts, and finds the origin of a stream
 * that a client takes up. Which versions have served is known to every host, but not
 * when a stream began whose host is lost.
 */
import {
  type Continuation,
  decideContinuation,
  type Member,
  type OriginKnowledge,
  rendezvousOrder,
  type SoftwareVersions,
  type StreamOrigin,
  StreamOrigins,
} from '@lacewingwinch/decisions';
import type {OriginQuery, PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {callPeer} from '../../util/call_peer.js';
import {pause} from '../../util/pause.js';
import type {StreamOriginStore} from './stream_origin_store.js';

/** Number of hosts that keep the origin of a stream besides its own. */
const KEEPING_HOSTS = 3;

/** Number of hosts that are queried, because some may have gone since. */
const QUERIED_HOSTS = KEEPING_HOSTS + 1;

/** Milliseconds for which origins are collected into one message. */
const COLLECTION_MILLISECONDS = 50;

/**
 * Milliseconds to wait for the hosts that are queried; a response takes a few
 * milliseconds.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 150;

/** Store readers that a host queries which does not read the store itself. */
const QUERIED_READERS = 2;

/** Milliseconds to wait for these, which read the store first. */
const STORE_ANSWER_TIMEOUT_MILLISECONDS = 500;

/** Dependencies of `StreamOriginExchange`. */
export interface StreamOriginExchangeDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly servingHosts: () => readonly Member[];
  readonly versions: SoftwareVersions;
  /** Origins that outlive all hosts. */
  readonly stored: Pick<StreamOriginStore, 'add' | 'find' | 'forget'>;
  /** Returns the ids of the hosts that read the store. */
  readonly storeReaders: () => readonly string[];
  /**
   * Resolves with whether this host knows every version that was listed by a time of
   * `clock`.
   */
  readonly confirmVersions: (time: number) => Promise<boolean>;
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
}

/** The origins of streams, across all entry hosts. */
export class StreamOriginExchange {
  private readonly origins = new StreamOrigins();
  /** Origins of streams of this host that the store does not keep. */
  private readonly unstored = new StreamOrigins();
  /** Origins that are about to be sent, by host. */
  private readonly outgoing = new Map<string, StreamOrigin[]>();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly dependencies: StreamOriginExchangeDependencies,
  ) {}

  /** Records the first event of a stream that this host relays. */
  recordBegun(origin: StreamOrigin): void {
    const now = this.dependencies.clock();
    this.origins.record(origin, now);
    this.publish(origin);
    if (this.isAmbiguous(origin, now)) {
      this.dependencies.stored.add(origin);
      return;
    }
    this.unstored.record(origin, now);
  }

  /** Records that a stream is complete and will not be taken up. */
  recordComplete(attemptId: string): void {
    this.unstored.forget(attemptId);
    this.dependencies.stored.forget(attemptId);
  }

  /**
   * Stores the origins of streams that have become ambiguous since they began,
   * because another version has been listed or the history has a gap now.
   */
  storeAmbiguous(): void {
    const now = this.dependencies.clock();
    for (const origin of this.unstored.all(now)) {
      if (this.isAmbiguous(origin, now)) {
        this.unstored.forget(origin.attemptId);
        this.dependencies.stored.add(origin);
      }
    }
  }

  /** Sends what is collected at once, because a stream has broken off. */
  sendCollected(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    const {peers, servingHosts} = this.dependencies;
    for (const {hostId, addresses} of servingHosts()) {
      const origins = this.outgoing.get(hostId);
      if (origins !== undefined) {
        peers.notify(addresses.peers, 'stream.began', {origins});
      }
    }
    this.outgoing.clear();
  }

  /** Keeps origins for another host. */
  keep(origins: readonly StreamOrigin[]): void {
    const now = this.dependencies.clock();
    origins.forEach(origin => this.origins.record(origin, now));
  }

  /** Returns what this host knows, for another host. */
  async answerHost(query: OriginQuery): Promise<OriginKnowledge> {
    const known = this.answer(query);
    if (known.origin !== undefined || query.readsStore !== true) {
      return known;
    }
    const origin = await this.dependencies.stored.find(query.attemptId);
    return origin === undefined ? known : {...known, origin};
  }

  /** Returns what this host knows of the origin of a stream. */
  answer({
    attemptId,
    service,
    lifetimeMilliseconds,
  }: OriginQuery): OriginKnowledge {
    const {clock, versions} = this.dependencies;
    const now = clock();
    const origin = this.origins.find(attemptId, now);
    return {
      ...(origin !== undefined && {origin}),
      seen: versions.seenWithin(service, lifetimeMilliseconds, now),
    };
  }

  /** Decides at which software version a stream may continue. */
  async locate(query: OriginQuery): Promise<Continuation> {
    const known = this.answer(query);
    if (known.origin !== undefined) {
      return decideContinuation(query.service, [known]);
    }
    const [answers, isConfirmed] = await Promise.all([
      this.queryHosts(query, this.hostsOf(query.attemptId, QUERIED_HOSTS)),
      this.areVersionsConfirmed(),
    ]);
    const own = this.answer(query);
    const knowledge = [own, ...answers].map(known =>
      isConfirmed ? known : withIncompleteHistory(known),
    );
    const continuation = decideContinuation(query.service, knowledge);
    switch (continuation.kind) {
      case 'at-version':
        return continuation;
      case 'unknown': {
        const origin =
          query.attemptId === '' ? undefined : await this.findStored(query);
        return origin === undefined
          ? continuation
          : decideContinuation(query.service, [{origin, seen: own.seen}]);
      }
    }
  }

  private async findStored(
    query: OriginQuery,
  ): Promise<StreamOrigin | undefined> {
    const {hostId, servingHosts, storeReaders, stored} = this.dependencies;
    const readers = storeReaders();
    if (readers.includes(hostId)) {
      return stored.find(query.attemptId);
    }
    const queried = rendezvousOrder(
      `stream/${query.attemptId}`,
      readers,
      QUERIED_READERS,
    );
    const answers = await this.queryHosts(
      {...query, readsStore: true},
      servingHosts().filter(member => queried.includes(member.hostId)),
      STORE_ANSWER_TIMEOUT_MILLISECONDS,
    );
    return answers.find(({origin}) => origin !== undefined)?.origin;
  }

  /**
   * Returns whether this host knows the version that began a stream which a client
   * takes up now. An upstream is listed before it begins a stream, so that a list of
   * now holds it; one of before may lack it, that of another host as well.
   */
  private async areVersionsConfirmed(): Promise<boolean> {
    const ended = new AbortController();
    const confirmed = await Promise.race([
      this.dependencies.confirmVersions(this.dependencies.clock()),
      pause(ANSWER_TIMEOUT_MILLISECONDS, ended.signal).then(() => false),
    ]);
    ended.abort();
    return confirmed;
  }

  /** Queries other hosts until one returns the origin or the timeout expires. */
  private queryHosts(
    query: OriginQuery,
    queried: readonly Member[],
    timeoutMilliseconds = ANSWER_TIMEOUT_MILLISECONDS,
  ): Promise<readonly OriginKnowledge[]> {
    const answers: OriginKnowledge[] = [];
    return new Promise(resolve => {
      let unanswered = queried.length;
      const finish = (): void => {
        clearTimeout(timer);
        resolve(answers);
      };
      const timer = setTimeout(finish, timeoutMilliseconds);
      const onAnswer = (answer: OriginKnowledge | undefined): void => {
        answers.push(...(answer === undefined ? [] : [answer]));
        unanswered -= 1;
        if (unanswered === 0 || answer?.origin !== undefined) {
          finish();
        }
      };
      if (queried.length === 0) {
        finish();
      }
      for (const member of queried) {
        void callPeer(
          this.dependencies,
          member,
          'stream.locate',
          query,
          timeoutMilliseconds,
        ).then(onAnswer);
      }
    });
  }

  /**
   * Returns whether the history of versions does not determine the origin of a stream
   * that begins at `now`.
   */
  private isAmbiguous(
    {service, lifetimeMilliseconds}: StreamOrigin,
    now: number,
  ): boolean {
    const {versions} = this.dependencies;
    const seen = versions.seenWithin(service, lifetimeMilliseconds, now);
    return (
      seen.versions.length > 1 ||
      versions.hasGapWithin(service, lifetimeMilliseconds, now)
    );
  }

  private publish(origin: StreamOrigin): void {
    for (const {hostId} of this.hostsOf(origin.attemptId, KEEPING_HOSTS)) {
      const collected = this.outgoing.get(hostId) ?? [];
      collected.push(origin);
      this.outgoing.set(hostId, collected);
    }
    this.timer ??= setTimeout(
      () => this.sendCollected(),
      COLLECTION_MILLISECONDS,
    ).unref();
  }

  /** Returns the other hosts that keep the origin of a stream, best first. */
  private hostsOf(attemptId: string, count: number): readonly Member[] {
    const {hostId, servingHosts} = this.dependencies;
    const others = servingHosts().filter(member => member.hostId !== hostId);
    const byId = new Map(others.map(member => [member.hostId, member]));
    return rendezvousOrder(
      `stream/${attemptId}`,
      [...byId.keys()],
      count,
    ).flatMap(id => byId.get(id) ?? []);
  }
}

/** Returns knowledge of which only the record counts, and the versions as possible. */
function withIncompleteHistory(known: OriginKnowledge): OriginKnowledge {
  return {...known, seen: {...known.seen, isComplete: false}};
}
