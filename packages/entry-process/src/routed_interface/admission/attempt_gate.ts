/**
 * The checks before each attempt of a request: whether the request is refused,
 * and whether it has to wait until an upstream accepts requests.
 */
import {
  type AdmissionRefusal,
  type AdmissionTerms,
  decideLoadShedding,
  decidePausedService,
  type EngineChoice,
  isDeadlineUnreachable,
  type LatencyBounds,
  type PausedServiceVerdict,
  type PlacementDemand,
  RETURN_SPREAD_MILLISECONDS,
  ServingError,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';

import type {PartDecision} from '../../tasks/part_decision.js';
import type {PartTrials} from '../../tasks/part_trials.js';
import type {PartWatch} from '../../tasks/part_watch.js';
import {pause} from '../../util/pause.js';
import type {ContentDecision} from '../evidence/content_decision.js';
import type {CrashWatch} from '../evidence/crash_watch.js';
import type {PlacementCandidates} from '../placement/placement_candidates.js';
import type {Placement} from '../placement/placement_result.js';

/**
 * Least wait that a refusal states while the trial of another request shows whether
 * its content or a part of its prompt still crashes upstreams.
 */
const MINIMUM_TRIAL_WAIT_MILLISECONDS = 1000;

/** Ranks that a metric distinguishes; less urgent ones are counted together. */
const LEAST_URGENT_LABEL = 9;

/** A counter of decisions of the gate. */
interface GateCounter {
  inc(labels: Readonly<Record<string, string>>): void;
}

/** The metrics of the gate. */
export interface GateMetrics {
  readonly admissionPromotions: GateCounter;
  readonly admissionRefusals: GateCounter;
  readonly admissionReturns: GateCounter;
  readonly admissionStartSeconds: {
    observe(labels: Readonly<Record<string, string>>, value: number): void;
  };
}

/** Dependencies of `AttemptGate`. */
export interface AttemptGateDependencies {
  readonly events: Pick<EventLog, 'write'>;
  readonly metrics: GateMetrics;
  readonly crashes: Pick<CrashWatch, 'decide' | 'isRefused' | 'peekDecision'>;
  readonly parts: Pick<PartWatch, 'isRefused' | 'peekDecision'>;
  readonly partTrials: Pick<PartTrials, 'decide'>;
  readonly candidates: Pick<PlacementCandidates, 'pauseMillisecondsLeft'>;
  readonly random: () => number;
}

/** The request that is checked. */
export interface GatedRequest {
  readonly requestId: string;
  readonly service: string;
  readonly fingerprint: string;
  /** Ids of the prompt parts that other requests can share. */
  readonly sharedParts: readonly string[];
}

/** The checks before each attempt of one request. */
export class AttemptGate {
  /** Whether this request tries what other requests may not use. */
  private isTrial = false;

  constructor(
    private readonly dependencies: AttemptGateDependencies,
    private readonly request: GatedRequest,
  ) {}

  /** What a client repeats when it retries after a refusal. */
  get fingerprint(): string {
    return this.request.fingerprint;
  }

  /** Number of upstreams that may run the request; a trial runs at one. */
  maximumAttempts(ruleMaximum: number): number {
    return this.isTrial ? 1 : ruleMaximum;
  }

  /**
   * Returns the refusal of content that has crashed too many upstreams, as a
   * whole or by a part of its prompt.
   */
  async refusalIfQuarantined(): Promise<ServingError | undefined> {
    const {crashes} = this.dependencies;
    const {fingerprint} = this.request;
    if (this.isTrial) {
      return undefined;
    }
    const content: ContentDecision = crashes.isRefused(fingerprint)
      ? await crashes.decide(fingerprint)
      : {kind: 'clear'};
    if (content.kind !== 'clear') {
      return this.refusalOfContent(content);
    }
    const {partTrials} = this.dependencies;
    const {service, sharedParts} = this.request;
    const decision = await partTrials.decide(service, sharedParts);
    return this.refusalOfPromptPart(decision);
  }

  /** Returns what `refusalIfQuarantined` would if a trial were granted. */
  peekRefusal(): ServingError | undefined {
    const {crashes, parts} = this.dependencies;
    const decision = crashes.peekDecision(this.request.fingerprint);
    const {service, sharedParts} = this.request;
    return decision.kind === 'clear'
      ? this.refusalOfPromptPart(parts.peekDecision(service, sharedParts))
      : this.refusalOfContent(decision);
  }

  private refusalOfContent(
    decision: ContentDecision,
  ): ServingError | undefined {
    const {requestId, fingerprint} = this.request;
    switch (decision.kind) {
      case 'clear':
        return undefined;
      case 'trial':
        this.isTrial = true;
        this.dependencies.events.write(4124, {requestId, fingerprint});
        return undefined;
      case 'refused':
        return new ServingError('quarantined', {
          detail: `content ${fingerprint}`,
          retryAfterSeconds:
            Math.max(MINIMUM_TRIAL_WAIT_MILLISECONDS, decision.milliseconds) /
            1000,
        });
    }
  }

  private refusalOfPromptPart(
    decision: PartDecision,
  ): ServingError | undefined {
    const {requestId, service} = this.request;
    switch (decision.kind) {
      case 'clear':
        return undefined;
      case 'trial': {
        const {partId} = decision.part;
        this.isTrial = true;
        this.dependencies.events.write(4111, {
          requestId,
          part: partId,
          service,
        });
        return undefined;
      }
      case 'refused':
        return new ServingError('prompt-part-quarantined', {
          detail: `prompt part ${decision.part.partId} crashed upstreams of ${decision.part.service}`,
          retryAfterSeconds:
            Math.max(MINIMUM_TRIAL_WAIT_MILLISECONDS, decision.milliseconds) /
            1000,
        });
    }
  }

  /** Returns whether the request may still be sent just before its first byte. */
  mayBeSent(): boolean {
    const {crashes, parts} = this.dependencies;
    const {service, fingerprint, sharedParts} = this.request;
    return (
      this.isTrial ||
      !(crashes.isRefused(fingerprint) || parts.isRefused(service, sharedParts))
    );
  }

  /** Returns the refusal of a request that other requests displace. */
  refusalByRank(
    {priority}: PlacementDemand,
    refusal: AdmissionRefusal,
  ): ServingError {
    const {events, metrics} = this.dependencies;
    const {requestId, service} = this.request;
    const {reason, retryAfterMilliseconds, totalShare} = refusal;
    const {isPlace = false, returned = 'new'} = refusal;
    const start = Math.round(refusal.startMilliseconds);
    events.write(4120, {
      requestId,
      service,
      rank: priority,
      reason,
      start,
      error: Math.round(refusal.errorMilliseconds),
      age: Math.round(refusal.knowledgeAgeMilliseconds),
      load: Math.round(totalShare * 100),
      retryAfter: Math.round(retryAfterMilliseconds),
      place: isPlace ? 'promised' : 'none',
      returned,
    });
    const rank = rankLabel(priority);
    metrics.admissionRefusals.inc({service, rank, reason});
    if (returned !== 'new') {
      const outcome = 'refused';
      metrics.admissionReturns.inc({service, rank, returned, outcome});
    }
    return new ServingError('overloaded', {
      detail: `the first event would take ${start} ms: ${reason}`,
      retryAfterSeconds: retryAfterMilliseconds / 1000,
    });
  }

  /** Records the admission of a request under the terms of its client. */
  recordAdmission({priority}: PlacementDemand, placement: Placement): void {
    const {events, metrics} = this.dependencies;
    const {requestId, service} = this.request;
    const {choice, promotedRank, returned} = placement;
    const rank = rankLabel(priority);
    metrics.admissionStartSeconds.observe(
      {service, rank},
      choice.estimateMilliseconds / 1000,
    );
    if (promotedRank !== undefined) {
      events.write(4121, {requestId, service, rank: priority, promotedRank});
      metrics.admissionPromotions.inc({service, rank});
    }
    if (returned !== undefined) {
      const start = Math.round(choice.estimateMilliseconds);
      events.write(4122, {
        requestId,
        service,
        rank: priority,
        returned,
        start,
      });
      const outcome = 'admitted';
      metrics.admissionReturns.inc({service, rank, returned, outcome});
    }
  }

  /**
   * Returns the refusal of a request that cannot meet its deadline. A dispatcher
   * that knows terms has applied them already.
   */
  refusalIfDeadlineUnreachable(
    choice: EngineChoice,
    bounds: AdmissionTerms | LatencyBounds,
  ): ServingError | undefined {
    if ('patienceMilliseconds' in bounds) {
      return this.refusalOnTerms(choice, bounds);
    }
    const verdict = decideLoadShedding(
      choice,
      bounds,
      this.dependencies.random(),
    );
    switch (verdict.kind) {
      case 'send':
        return undefined;
      case 'refuse': {
        const wait = Math.round(choice.estimateMilliseconds);
        return new ServingError('overloaded', {
          detail: `the first event would take ${wait} ms`,
          retryAfterSeconds: verdict.retryAfterMilliseconds / 1000,
        });
      }
    }
  }

  private refusalOnTerms(
    choice: EngineChoice,
    terms: AdmissionTerms,
  ): ServingError | undefined {
    const start = Math.round(choice.estimateMilliseconds);
    return isDeadlineUnreachable(choice, terms)
      ? new ServingError('overloaded', {
          detail: `the first event would take ${start} ms`,
          retryAfterSeconds:
            (start * (0.5 + this.dependencies.random())) / 1000,
        })
      : undefined;
  }

  /**
   * Waits until an upstream that is not in `tried` accepts requests of this
   * host; returns a refusal if that takes too long. The wait ends early if
   * `signal` aborts. A timer may fire a fraction of a millisecond early, and
   * pauses may be extended meanwhile, so they are checked again.
   */
  async waitWhilePaused(
    demand: PlacementDemand,
    tried: ReadonlySet<string>,
    bounds: () => LatencyBounds,
    signal: AbortSignal,
  ): Promise<ServingError | undefined> {
    const {candidates} = this.dependencies;
    const {service} = this.request;
    while (!signal.aborted) {
      const milliseconds =
        candidates.pauseMillisecondsLeft(service, demand, tried) ?? 0;
      if (milliseconds <= 0) {
        return undefined;
      }
      const refusal = await this.waitOnce(milliseconds, bounds(), signal);
      if (refusal !== undefined) {
        return refusal;
      }
    }
    return undefined;
  }

  /** Waits until the grant of a placement may be used or `signal` aborts. */
  async waitForGrant(
    {upstream, grantWaitMilliseconds = 0}: EngineChoice,
    signal: AbortSignal,
  ): Promise<void> {
    if (grantWaitMilliseconds <= 0) {
      return;
    }
    this.dependencies.events.write(4112, {
      requestId: this.request.requestId,
      upstreamId: upstream.upstreamId,
      milliseconds: Math.round(grantWaitMilliseconds),
    });
    await pause(Math.ceil(grantWaitMilliseconds), signal);
  }

  /** Returns the refusal of a request for which no upstream has a grant left. */
  refusalForLimits(milliseconds: number): ServingError {
    const {random} = this.dependencies;
    return new ServingError('overloaded', {
      detail: `no upstream of ${this.request.service} takes another request yet`,
      retryAfterSeconds:
        (milliseconds + random() * RETURN_SPREAD_MILLISECONDS) / 1000,
    });
  }

  private async waitOnce(
    milliseconds: number,
    bounds: LatencyBounds,
    signal: AbortSignal,
  ): Promise<ServingError | undefined> {
    const {events} = this.dependencies;
    const {requestId, service} = this.request;
    const {verdict, refusal} = this.decidePaused(milliseconds, bounds);
    events.write(4105, {
      requestId,
      service,
      milliseconds: Math.round(milliseconds),
      decision: verdict.kind,
    });
    if (verdict.kind === 'wait') {
      await pause(Math.ceil(verdict.milliseconds), signal);
    }
    return refusal;
  }

  /** Decides on a request while all upstreams want none for some time. */
  decidePaused(
    milliseconds: number,
    bounds: LatencyBounds,
  ): {
    readonly verdict: PausedServiceVerdict;
    readonly refusal: ServingError | undefined;
  } {
    const {random} = this.dependencies;
    const verdict = decidePausedService(milliseconds, bounds, random());
    return {
      verdict,
      refusal:
        verdict.kind === 'wait'
          ? undefined
          : new ServingError('overloaded', {
              detail: `every upstream of ${this.request.service} has asked for a pause`,
              retryAfterSeconds: verdict.retryAfterMilliseconds / 1000,
            }),
    };
  }
}

function rankLabel(priority: number): string {
  return String(Math.min(LEAST_URGENT_LABEL, priority));
}
