/**
 * Places requests at upstreams: by asking the dispatcher of the service, or
 * with what this host knows when the dispatcher does not answer.
 */
import {
  type Choice,
  dispatcherOrder,
  type Member,
  type PlacedRequest,
  type PlacementDemand,
  PlacementTable,
  type RoutedShard,
  routedShards,
  shardsInOrder,
  type UpstreamChange,
  type UpstreamHealth,
  type UpstreamList,
  type UpstreamResult,
  type UsableUpstream,
} from '@lacewingwinch/decisions';
import type {
  PeerCaller,
  PlacementAnswer,
  PlacementAsk,
  PlacementNote,
} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {isAborted} from '../util/is_aborted.js';
import {pause} from '../util/pause.js';
import {askPeer} from './ask_peer.js';

/**
 * Milliseconds for the dispatcher's answer. Links take 3 to 6 ms both ways; a
 * choice made alone costs more than a short wait, less than a long one.
 */
const ASK_TIMEOUT_MILLISECONDS = 60;

/** Milliseconds for which a dispatcher that did not answer is not asked. */
const ASK_PAUSE_MILLISECONDS = 500;

/** Milliseconds between two renewals; they mend what notes were lost. */
const RENEW_PERIOD_MILLISECONDS = 1000;

/** Shards that are asked for one request. */
const ASKED_SHARDS = 2;

/**
 * Milliseconds of an estimate from which on a second shard is asked: an ask
 * takes some 10 ms, reading a shared prompt part again some 250 ms.
 */
const CROWDED_MILLISECONDS = 250;

/** What placement needs from others. */
export interface RoutedPlacementContext {
  readonly hostId: string;
  readonly failureDomain: string;
  readonly upstreams: UpstreamList;
  readonly health: UpstreamHealth;
  readonly peers: PeerCaller;
  readonly events: EventLog;
  readonly servingHosts: () => readonly Member[];
  /** Suspension-aware milliseconds. */
  readonly clock: () => number;
  /** Milliseconds for which a prompt part stays in a cache after its use. */
  readonly keptMilliseconds: number;
}

/** A request at an upstream. */
export interface Placement {
  readonly choice: Choice;
  /** Notes the first sign of an answer. */
  noteBegun(): void;
  /**
   * Notes that the request is no longer at the upstream, and how it ended there
   * if that says something about the upstream.
   */
  noteEnded(result?: UpstreamResult): void;
}

/** Places requests, and answers other hosts as their dispatcher. */
export class RoutedPlacement {
  private readonly tables = new Map<string, PlacementTable>();
  private readonly askAgainAt = new Map<string, number>();
  /** Shards by the list of upstreams that they divide. */
  private readonly shards = new WeakMap<
    readonly UsableUpstream[],
    readonly RoutedShard[]
  >();

  constructor(private readonly context: RoutedPlacementContext) {}

  /**
   * Places a request at an upstream of `service` that is not in `tried`. Where
   * the request would wait, another shard is asked as well.
   */
  async place(
    service: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
  ): Promise<Placement | undefined> {
    const shards = shardsInOrder(demand, this.shardsOf(service));
    let best: Placement | undefined;
    for (const {id} of shards.slice(0, ASKED_SHARDS)) {
      const placement = await this.placeIn(service, id, demand, tried);
      best = betterOf(best, placement);
      if (best !== undefined && !isCrowded(best.choice)) {
        break;
      }
    }
    if (best !== undefined) {
      const {hostId, clock} = this.context;
      this.tableOf(service).add(hostId, demand, best.choice, clock());
    }
    return best;
  }

  private async placeIn(
    service: string,
    shardId: string,
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
  ): Promise<Placement | undefined> {
    const {hostId, failureDomain} = this.context;
    const excluded = [...tried, ...this.ejectedHere(service)];
    const ask = {
      service,
      shardId,
      front: hostId,
      failureDomain,
      demand,
      excluded,
    };
    const dispatcher = this.dispatcherOf(shardId);
    const asked =
      dispatcher === undefined || dispatcher.hostId === hostId
        ? undefined
        : await this.askDispatcher(dispatcher, ask);
    const choice =
      (asked === undefined ? undefined : this.takeAnswer(service, asked)) ??
      this.placeHere(ask, tried);
    return choice === undefined
      ? undefined
      : this.placementOf(service, demand, choice, dispatcher);
  }

  /** Whether any upstream of `service` is left besides those in `tried`. */
  hasOther(service: string, tried: ReadonlySet<string>): boolean {
    return this.context.upstreams
      .usable(service, this.context.clock())
      .some(({upstreamId}) => !tried.has(upstreamId));
  }

  /**
   * Answers a front as the dispatcher of its service. Upstreams that fail are
   * known here by the results at all fronts, before each of them knows.
   */
  onAsk(ask: PlacementAsk): PlacementAnswer {
    const excluded = [...ask.excluded, ...this.ejectedHere(ask.service)];
    const choice = this.placeHere({...ask, excluded}, new Set(ask.excluded));
    if (choice === undefined) {
      return {kind: 'none'};
    }
    const {upstream, ...estimate} = choice;
    return {kind: 'chosen', upstreamId: upstream.upstreamId, estimate};
  }

  /** Takes a note of a front. */
  onNote(note: PlacementNote): void {
    const table = this.tableOf(note.service);
    switch (note.kind) {
      case 'began':
        table.began(note.front, note, note.tokens, note.elapsed);
        return;
      case 'ended':
        table.ended(note.front, note);
        this.noteResult(note.upstreamId, note.result);
    }
  }

  /** Takes a renewal of a front. */
  onRenew(
    service: string,
    front: string,
    requests: Parameters<PlacementTable['renew']>[1],
  ): void {
    this.tableOf(service).renew(front, requests, this.context.clock());
  }

  /** Renews at the dispatchers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {hostId, peers, clock} = this.context;
    while (!isAborted(signal)) {
      await pause(RENEW_PERIOD_MILLISECONDS, signal);
      for (const [service, table] of this.tables) {
        table.forgetSilent(hostId, clock());
        for (const [address, requests] of this.requestsByDispatcher(service)) {
          peers.notify(address, 'placement.renew', {
            service,
            front: hostId,
            requests,
          });
        }
      }
    }
  }

  /** Forgets what is known of upstreams that left or started again. */
  takeChanges(changes: readonly UpstreamChange[]): void {
    for (const {upstreamId, state, isRestarted} of changes) {
      if (state === 'withdrawn' || isRestarted) {
        this.forget(upstreamId);
      }
    }
  }

  private placementOf(
    service: string,
    demand: PlacementDemand,
    choice: Choice,
    dispatcher: Member | undefined,
  ): Placement {
    const {hostId, peers, clock} = this.context;
    const table = this.tableOf(service);
    const placed = {
      attemptId: demand.attemptId,
      upstreamId: choice.upstream.upstreamId,
    };
    const placedAt = clock();
    const tell = (note: PlacementNote): void => {
      if (dispatcher !== undefined && dispatcher.hostId !== hostId) {
        peers.notify(dispatcher.addresses.peers, 'placement.note', note);
      }
    };
    return {
      choice,
      noteBegun: () => {
        const tokens = choice.tokensToRead;
        const elapsed = clock() - placedAt;
        table.began(hostId, placed, tokens, elapsed);
        tell({
          kind: 'began',
          service,
          front: hostId,
          ...placed,
          tokens,
          elapsed,
        });
      },
      noteEnded: result => {
        table.ended(hostId, placed);
        this.noteResult(placed.upstreamId, result);
        tell({
          kind: 'ended',
          service,
          front: hostId,
          ...placed,
          ...(result === undefined ? {} : {result}),
        });
      },
    };
  }

  private noteResult(
    upstreamId: string,
    result: UpstreamResult | undefined,
  ): void {
    if (result !== undefined) {
      this.context.health.note(upstreamId, result, this.context.clock());
    }
  }

  /** This host's requests at each other dispatcher of `service`, by address. */
  private requestsByDispatcher(
    service: string,
  ): ReadonlyMap<string, readonly PlacedRequest[]> {
    const requests = this.tableOf(service).requestsOf(this.context.hostId);
    const byAddress = new Map<string, PlacedRequest[]>();
    for (const {id, upstreams} of this.shardsOf(service)) {
      const dispatcher = this.dispatcherOf(id);
      if (
        dispatcher === undefined ||
        dispatcher.hostId === this.context.hostId
      ) {
        continue;
      }
      const address = dispatcher.addresses.peers;
      const members = new Set(upstreams.map(({upstreamId}) => upstreamId));
      const here = requests.filter(({upstreamId}) => members.has(upstreamId));
      byAddress.set(address, [...(byAddress.get(address) ?? []), ...here]);
    }
    return byAddress;
  }

  private shardsOf(service: string): readonly RoutedShard[] {
    const {upstreams, clock} = this.context;
    const usable = upstreams.usable(service, clock());
    const known = this.shards.get(usable);
    if (known !== undefined) {
      return known;
    }
    const fresh = routedShards(service, usable);
    this.shards.set(usable, fresh);
    return fresh;
  }

  private dispatcherOf(shardId: string): Member | undefined {
    const serving = this.context.servingHosts();
    const [winner] = dispatcherOrder(
      {id: shardId},
      serving.map(({hostId}) => hostId),
      1,
    );
    const isPaused =
      winner !== undefined &&
      this.context.clock() < (this.askAgainAt.get(winner) ?? 0);
    return isPaused ? undefined : serving.find(({hostId}) => hostId === winner);
  }

  private async askDispatcher(
    dispatcher: Member,
    ask: PlacementAsk,
  ): Promise<PlacementAnswer | undefined> {
    const answer = await askPeer(
      this.context,
      dispatcher,
      'placement.ask',
      ask,
      ASK_TIMEOUT_MILLISECONDS,
    );
    if (answer === undefined) {
      const until = this.context.clock() + ASK_PAUSE_MILLISECONDS;
      this.askAgainAt.set(dispatcher.hostId, until);
    }
    return answer;
  }

  /** The dispatcher's answer, if this host knows the upstream as well. */
  private takeAnswer(
    service: string,
    answer: PlacementAnswer,
  ): Choice | undefined {
    if (answer.kind === 'none') {
      return undefined;
    }
    const upstream = this.context.upstreams
      .usable(service, this.context.clock())
      .find(({upstreamId}) => upstreamId === answer.upstreamId);
    return upstream === undefined ? undefined : {upstream, ...answer.estimate};
  }

  private placeHere(
    ask: PlacementAsk,
    tried: ReadonlySet<string>,
  ): Choice | undefined {
    const {upstreams, clock} = this.context;
    const now = clock();
    const usable = upstreams.usable(ask.service, now);
    const shard = this.shardsOf(ask.service).find(({id}) => id === ask.shardId);
    const excluded = new Set(ask.excluded);
    const candidates = firstNotEmpty([
      (shard?.upstreams ?? usable).filter(
        ({upstreamId}) => !excluded.has(upstreamId),
      ),
      usable.filter(({upstreamId}) => !excluded.has(upstreamId)),
      usable.filter(({upstreamId}) => !tried.has(upstreamId)),
    ]);
    return this.tableOf(ask.service).place(
      ask.front,
      ask.demand,
      candidates,
      ask.failureDomain,
      now,
    );
  }

  private ejectedHere(service: string): readonly string[] {
    const {upstreams, health, clock} = this.context;
    const now = clock();
    return upstreams
      .usable(service, now)
      .map(({upstreamId}) => upstreamId)
      .filter(upstreamId => health.isEjected(upstreamId, now));
  }

  private tableOf(service: string): PlacementTable {
    const known = this.tables.get(service);
    if (known !== undefined) {
      return known;
    }
    const fresh = new PlacementTable(this.context.keptMilliseconds);
    this.tables.set(service, fresh);
    return fresh;
  }

  private forget(upstreamId: string): void {
    for (const table of this.tables.values()) {
      table.forgetUpstream(upstreamId);
    }
    this.context.health.forget(upstreamId);
  }
}

function isCrowded({mustWait, estimateMilliseconds}: Choice): boolean {
  return mustWait && estimateMilliseconds > CROWDED_MILLISECONDS;
}

/** The placement with the lower estimate; the other one ends. */
function betterOf(
  one: Placement | undefined,
  other: Placement | undefined,
): Placement | undefined {
  if (one === undefined || other === undefined) {
    return one ?? other;
  }
  const isOneBetter =
    one.choice.estimateMilliseconds <= other.choice.estimateMilliseconds;
  (isOneBetter ? other : one).noteEnded();
  return isOneBetter ? one : other;
}

function firstNotEmpty(
  lists: readonly (readonly UsableUpstream[])[],
): readonly UsableUpstream[] {
  return lists.find(list => list.length > 0) ?? [];
}
