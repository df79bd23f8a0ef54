/**
 * The search for a slot at an upstream for one attempt.
 */
import {
  hashBucket,
  type PermitRequest,
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

/** Maximum number of shards of a service that are tried for one attempt. */
const MAXIMUM_SHARDS_TRIED = 3;

/** A slot at an upstream, granted by a dispatcher for one attempt. */
export interface UpstreamSlot {
  readonly permitId: string;
  readonly upstream: Upstream;
  /** Whether the attempt is the only one that runs at the upstream. */
  readonly isAlone: boolean;
}

/** A running request, its service, and what its rule allows. */
export interface RequestRun {
  readonly request: ServedRequest;
  readonly service: Service;
  readonly outcome: SendOutcome;
}

/** Requests permits from dispatchers for the attempts of requests. */
export class SlotFinder {
  constructor(private readonly context: FrontContext) {}

  /** Returns how the quarantine treats the content of a request now. */
  quarantineVerdictOf(
    {request, service}: RequestRun,
    now: number,
  ): QuarantineVerdict {
    return this.context.quarantine.verdict(
      request.fingerprint,
      service.quarantineSeconds * 1000,
      now,
    );
  }

  /**
   * Returns a slot for the next attempt. Rejects with the `ServingError` of the
   * last refusal if no shard grants one.
   */
  async find(
    run: RequestRun,
    excluded: readonly string[],
  ): Promise<UpstreamSlot> {
    const {request, service} = run;
    const prefixes = prefixesOf(request);
    let refusal: ServingError | undefined;
    for (const shard of this.shardsToTry(run, prefixes)) {
      const now = this.context.clock();
      const permitRequest = this.createPermitRequest(
        run,
        prefixes,
        excluded,
        now,
      );
      const {dispatcher, effect} = await this.context.permits.requestPermit(
        shard,
        permitRequest,
      );
      const candidates = shard.upstreams.map(({id}) => id);
      const commonFields = {
        kind: 'permit',
        dispatcher,
        shard: shard.id,
      } as const;
      switch (effect.kind) {
        case 'grant': {
          const {upstream, waited} = effect;
          request.recordStep(
            {...commonFields, candidates, chosen: upstream.id, waited},
            this.context.clock(),
          );
          this.context.metrics.permitWaitSeconds.observe(
            {service: service.name},
            waited / 1000,
          );
          return {
            permitId: permitRequest.permitId,
            upstream,
            isAlone: permitRequest.isAlone,
          };
        }
        case 'refuse':
          request.recordStep(
            {...commonFields, candidates, refused: effect.error},
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

  private createPermitRequest(
    run: RequestRun,
    prefixes: readonly string[],
    excluded: readonly string[],
    now: number,
  ): PermitRequest {
    const {request, service, outcome} = run;
    const {copy} = request;
    const isAlone = this.quarantineVerdictOf(run, now).kind === 'run-alone';
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

  /**
   * Returns the shards to try, in the rule's order of failure domains. Within a
   * domain, requests with the same prefix begin at the same shard.
   */
  private shardsToTry(
    {request, service, outcome}: RequestRun,
    prefixes: readonly string[],
  ): readonly Shard[] {
    const shards = this.context.directory.shardsOf(service.name);
    if (shards.length <= 1) {
      return shards;
    }
    const domainRank = (shard: Shard): number => {
      const index = outcome.failureDomains.indexOf(shard.failureDomain ?? '');
      return index === -1 ? outcome.failureDomains.length : index;
    };
    const hashKey = prefixes[0] ?? request.id;
    const start = hashBucket(hashKey, shards.length);
    const rotated = [...shards.slice(start), ...shards.slice(0, start)];
    return rotated
      .sort((left, right) => domainRank(left) - domainRank(right))
      .slice(0, MAXIMUM_SHARDS_TRIED);
  }
}

function prefixesOf({copy, body}: ServedRequest): readonly string[] {
  return copy.callKind === 'plain' ? [] : prefixHashes(body);
}
