/**
 * Finds content that crashes its upstreams, over all entry hosts: crashes of one
 * content are counted at two hosts that win a rendezvous hash, and every host
 * is told when they condemn it.
 */
import {crc32} from 'node:zlib';

import {
  AnsweredContents,
  liftedSuspicion,
  type Member,
  Quarantine,
  rendezvousOrder,
  SHARED_POLICY,
  type Suspicion,
  suspicionOfCrash,
} from '@lacewingwinch/decisions';
import type {PeerCaller} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';
import type {ConnectionPool} from '@lacewingwinch/upstreams';
import murmurhash from 'murmurhash';

/** Milliseconds in which the connections of a crashed upstream end. */
const CRASH_MILLISECONDS = 100;

/**
 * Milliseconds for which a condemned content is refused: then one more upstream
 * tells whether it still crashes them.
 */
const QUARANTINE_MILLISECONDS = 60_000;

/** Hosts that count the crashes of one content, so that one may be lost. */
const COUNTING_HOSTS = 2;

/** Contents that a host remembers to have reported: as many as it serves in seconds. */
const MAXIMUM_REPORTED = 1024;

/** What a content is known by. */
export interface Content {
  /** Empty on a public rule. */
  readonly workspace: string;
  /** Path with its query. */
  readonly target: string;
  readonly body: Buffer;
}

/** What the watch needs from others. */
export interface CrashWatchContext {
  readonly hostId: string;
  readonly peers: PeerCaller;
  readonly events: EventLog;
  readonly pool: Pick<ConnectionPool, 'watchConnections'>;
  /** Steady milliseconds. */
  readonly clock: () => number;
  /** Milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
  /** Serving hosts, with this one. */
  readonly servingHosts: () => readonly Member[];
}

/** The watch of one host. */
export class CrashWatch {
  private readonly quarantine = new Quarantine(SHARED_POLICY);
  private readonly answered = new AnsweredContents();
  /** Contents of which this host told a crash, and no run to the end since. */
  private readonly reported = new Set<string>();

  constructor(private readonly context: CrashWatchContext) {}

  /** Milliseconds for which `fingerprint` is refused still; 0 if it is not. */
  refusedFor(fingerprint: string): number {
    // Nearly no content met a crash; true time looks at the clock of every host.
    if (this.quarantine.find(fingerprint) === undefined) {
      return 0;
    }
    const now = this.context.trueTime();
    const verdict = this.quarantine.verdict(
      fingerprint,
      QUARANTINE_MILLISECONDS,
      now,
    );
    return verdict.kind === 'condemned' ? verdict.until - now : 0;
  }

  /** Notes that a request ran to its end. */
  noteAnswered(fingerprint: string): void {
    const {clock, trueTime} = this.context;
    this.answered.note(fingerprint, clock());
    const isKnown = this.quarantine.find(fingerprint) !== undefined;
    if (this.reported.delete(fingerprint) || isKnown) {
      this.tellCounting(liftedSuspicion(fingerprint, trueTime()));
    }
  }

  /** Notes that the connection of a running request ended. */
  noteLost(
    fingerprint: string,
    upstream: {readonly upstreamId: string; readonly address: string},
  ): void {
    const haveAllEnded = this.context.pool.watchConnections(upstream.address);
    setTimeout(() => {
      if (haveAllEnded()) {
        this.noteCrash(fingerprint, upstream.upstreamId);
      }
    }, CRASH_MILLISECONDS).unref();
  }

  /**
   * Takes what another host tells. Where a request with the same content ran to
   * its end here, the crashes have another cause.
   */
  onTold(heard: Suspicion): void {
    const {fingerprint} = heard;
    const wasRefused = this.refusedFor(fingerprint) > 0;
    const known = this.quarantine.merge(heard);
    this.quarantine.forget(this.context.trueTime());
    const isRefused = this.refusedFor(fingerprint) > 0;
    const {hostId, servingHosts, clock} = this.context;
    if (
      isRefused !== wasRefused &&
      this.countingIds(fingerprint).includes(hostId)
    ) {
      this.tell(servingHosts(), known);
    }
    if (isRefused && this.answered.has(fingerprint, clock())) {
      this.noteAnswered(fingerprint);
    }
  }

  /** Only the hosts that count take a crash in, so that all of it is cleared. */
  private noteCrash(fingerprint: string, upstreamId: string): void {
    this.context.events.write(4003, {fingerprint, upstreamId});
    if (this.reported.size >= MAXIMUM_REPORTED) {
      this.reported.clear();
    }
    this.reported.add(fingerprint);
    const time = this.context.trueTime();
    this.tellCounting(
      suspicionOfCrash(fingerprint, {upstreamId, wasAlone: false, time}),
    );
  }

  private countingIds(fingerprint: string): readonly string[] {
    const ids = this.context.servingHosts().map(({hostId}) => hostId);
    return rendezvousOrder(fingerprint, ids, COUNTING_HOSTS);
  }

  private tellCounting(suspicion: Suspicion): void {
    const ids = this.countingIds(suspicion.fingerprint);
    const {hostId, servingHosts} = this.context;
    this.tell(
      servingHosts().filter(host => ids.includes(host.hostId)),
      suspicion,
    );
    if (
      ids.includes(hostId) ||
      this.quarantine.find(suspicion.fingerprint) !== undefined
    ) {
      this.onTold(suspicion);
    }
  }

  private tell(hosts: readonly Member[], suspicion: Suspicion): void {
    for (const {hostId, addresses} of hosts) {
      if (hostId !== this.context.hostId) {
        this.context.peers.notify(addresses.peers, 'suspicion.tell', suspicion);
      }
    }
  }
}

/** What tells contents apart, without a word of them. */
export function fingerprintOf({workspace, target, body}: Content): string {
  const place = murmurhash.v3(`${workspace}\n${target}`);
  return `${place.toString(16)}-${crc32(body).toString(16)}-${body.length}`;
}
