/**
 * Finding of a place at an upstream for one attempt.
 */
import {
  hashBucket,
  type PermitAsk,
  type QuarantineVerdict,
  type SendOutcome,
  type Service,
  ServingError,
  type Shard,
  type Upstream,
} from '@lacewingwinch/decisions';

import type {FrontContext} from './front_context.js';
import {prefixHashes} from './prompt_text.js';
import {ranOf, type ServedRequest} from './served_request.js';

/** Shards of a service that are asked for one permit, at most. */
const SHARDS_TO_ASK = 3;

/** A place at an upstream. */
export interface Place {
  readonly permitId: string;
  readonly upstream: Upstream;
  readonly isAlone: boolean;
}

/** A request that runs, its service, and what its rule allows. */
export interface RequestRun {
  readonly request: ServedRequest;
  readonly service: Service;
  readonly outcome: SendOutcome;
}

/** Finds places for the attempts of requests. */
export class PlaceFinder {
  constructor(private readonly context: FrontContext) {}

  /** How the quarantine treats `request` now. */
  verdictOn({request, service}: RequestRun, now: number): QuarantineVerdict {
    return this.context.quarantine.verdict(
      request.fingerprint,
      service.quarantineSeconds * 1000,
      now,
    );
  }

  /** A place for the next attempt; fails with the `ServingError` of a refusal. */
  async find(run: RequestRun, excluded: readonly string[]): Promise<Place> {
    const {request, service} = run;
    const prefixes = prefixesOf(request);
    let refusal: ServingError | undefined;
    for (const shard of this.shardsFor(run, prefixes)) {
      const now = this.context.clock();
      const ask = this.askFor(run, prefixes, excluded, now);
      const {dispatcher, effect} = await this.context.permits.ask(shard, ask);
      const candidates = shard.upstreams.map(({id}) => id);
      const base = {kind: 'permit', dispatcher, shard: shard.id} as const;
      switch (effect.kind) {
        case 'grant': {
          const {upstream, waited} = effect;
          request.note(
            {...base, candidates, chosen: upstream.id, waited},
            this.context.clock(),
          );
          this.context.metrics.permitWaitSeconds.observe(
            {service: service.name},
            waited / 1000,
          );
          return {permitId: ask.permitId, upstream, isAlone: ask.isAlone};
        }
        case 'refuse':
          request.note(
            {...base, candidates, refused: effect.error},
            this.context.clock(),
          );
          refusal = new ServingError(effect.error, {
            ran: ranOf(request),
            retryAfterSeconds: effect.retryAfterSeconds,
          });
      }
    }
    throw refusal ?? new ServingError('no-upstream', {ran: ranOf(request)});
  }

  private askFor(
    run: RequestRun,
    prefixes: readonly string[],
    excluded: readonly string[],
    now: number,
  ): PermitAsk {
    const {request, service, outcome} = run;
    const {copy} = request;
    const isAlone = this.verdictOn(run, now).kind === 'run-alone';
    const timeLeft = Math.max(0, copy.deadline - now);
    return {
      permitId: request.nextPermitId(this.context.hostId),
      front: this.context.hostId,
      service: service.name,
      workspace: copy.workspace,
      priority: copy.priority,
      deadline: copy.deadline,
      maximumWait: isAlone
        ? timeLeft
        : Math.min(service.maximumQueueMilliseconds, timeLeft),
      prefixes,
      hostClasses: outcome.hostClasses,
      failureDomains: outcome.failureDomains,
      excluded,
      isAlone,
    };
  }

  /** The shards to ask; calls with the same prefix begin at the same one. */
  private shardsFor(
    {request, service, outcome}: RequestRun,
    prefixes: readonly string[],
  ): readonly Shard[] {
    const shards = this.context.directory.shardsOf(service.name);
    if (shards.length <= 1) {
      return shards;
    }
    const rank = (shard: Shard): number => {
      const index = outcome.failureDomains.indexOf(shard.failureDomain ?? '');
      return index === -1 ? outcome.failureDomains.length : index;
    };
    const key = prefixes[0] ?? request.id;
    const start = hashBucket(key, shards.length);
    const rotated = [...shards.slice(start), ...shards.slice(0, start)];
    return rotated
      .sort((left, right) => rank(left) - rank(right))
      .slice(0, SHARDS_TO_ASK);
  }
}

function prefixesOf({copy, body}: ServedRequest): readonly string[] {
  return copy.callKind === 'plain' ? [] : prefixHashes(body);
}
