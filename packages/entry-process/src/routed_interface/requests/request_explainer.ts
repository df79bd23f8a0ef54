/**
 * Explains what would become of a request that clients could send to this host
 * now. It goes the way of a request up to the moment at which one would be sent,
 * and neither takes, counts nor sends anything.
 */
import {
  type ExplainedQuota,
  type ExplainedRequest,
  NO_WAYS_TRIED,
  type PlacementDemand,
  type PlacementExplanation,
  type RequestExplanation,
  type RoutedAdmission,
  ServingError,
  sharedPartIds,
  triedRules,
  type VersionContext,
} from '@lacewingwinch/decisions';
import type {ExplanationAnswer} from '@lacewingwinch/entry-hosts';

import {AttemptGate, type GateMetrics} from '../admission/attempt_gate.js';
import {fingerprintOf} from '../evidence/content_fingerprint.js';
import {
  findKey,
  refusedBy,
  termsOf,
  withLatestRetry,
} from './explained_outcome.js';
import {
  admitAtFront,
  type AdmittingFront,
  quotaAmountOf,
  quotaRankOf,
  refusalForQuota,
} from './front_admission.js';
import type {FrontDependencies} from './front_dependencies.js';
import {RequestTime} from './request_time.js';

/** Dependencies of `RequestExplainer`. */
export interface RequestExplainerDependencies
  extends
    AdmittingFront,
    Pick<
      FrontDependencies,
      | 'crashes'
      | 'domainCount'
      | 'hostId'
      | 'parts'
      | 'paths'
      | 'placement'
      | 'quotas'
      | 'rollouts'
    > {
  /** Returns the state on which software versions depend, read only. */
  readonly peekVersionContext: (service: string) => VersionContext;
  /** Returns the other serving hosts. */
  readonly otherHosts: () => Extract<
    ExplanationAnswer,
    {readonly kind: 'explained'}
  >['otherHosts'];
}

/** The parts of an explanation that follow admission. */
type AdmittedSteps = Pick<
  RequestExplanation,
  'outcome' | 'placement' | 'quota' | 'version'
>;

/** An admitted request, and how refused clients are spread. */
interface AdmittedCall {
  readonly request: ExplainedRequest;
  readonly admission: RoutedAdmission;
  readonly gate: AttemptGate;
  readonly time: RequestTime;
  readonly jitter: number;
}

/** Events and metrics of a request that is not made. */
const NO_EVENTS = {write: (): void => undefined};
const NO_COUNTER = {inc: (): void => undefined};
const NO_METRICS: GateMetrics = {
  admissionPromotions: NO_COUNTER,
  admissionRefusals: NO_COUNTER,
  admissionReturns: NO_COUNTER,
  admissionStartSeconds: {observe: () => undefined},
};

/** Body of a request whose content is not stated. */
const UNKNOWN_BODY = Buffer.alloc(0);

/** Explains requests at one entry host. */
export class RequestExplainer {
  constructor(private readonly dependencies: RequestExplainerDependencies) {}

  /** Explains a request. */
  explain(request: ExplainedRequest): ExplanationAnswer {
    const key = findKey(
      request.workspace,
      this.dependencies.configuration()?.value,
    );
    if (key.kind === 'unknown') {
      return {kind: 'invalid', fault: key.fault};
    }
    // The times stated to refused clients are between these two.
    const soonest = this.explainWith(request, key.key, 0);
    const latest = this.explainWith(request, key.key, 1);
    return {
      kind: 'explained',
      explanation: {
        ...soonest,
        outcome: withLatestRetry(soonest.outcome, latest.outcome),
      },
      otherHosts: this.dependencies.otherHosts(),
    };
  }

  private explainWith(
    request: ExplainedRequest,
    workspaceKey: string | undefined,
    jitter: number,
  ): RequestExplanation {
    const {hostId, clocks} = this.dependencies;
    const {attemptId, host, path, bodyBytes, deadlineMilliseconds} = request;
    const confirmed = this.dependencies.configuration();
    const age = clocks.suspensionAware() - (confirmed?.confirmedAt ?? 0);
    const rules =
      confirmed === undefined ? [] : triedRules(confirmed.value, host, path);
    const common = {
      hostId,
      configurationVersion: confirmed?.value.version ?? -1,
      configurationAgeMilliseconds: confirmed === undefined ? -1 : age,
      rules: rules.map(({rule: {name, pathPrefix}, isMatch}) => {
        return {name, pathPrefix, isMatch};
      }),
    };
    try {
      const admission = admitAtFront(this.dependencies, {
        attemptId,
        host,
        path,
        workspaceKey,
        deadlineMilliseconds,
        bodyBytes,
      });
      return {
        ...common,
        terms: termsOf(admission),
        ...this.explainAdmitted(request, admission, jitter),
      };
    } catch (error) {
      if (error instanceof ServingError) {
        return {...common, outcome: refusedBy(error)};
      }
      throw error;
    }
  }

  private explainAdmitted(
    request: ExplainedRequest,
    admission: RoutedAdmission,
    jitter: number,
  ): AdmittedSteps {
    const quota = this.quotaOf(request, admission);
    const quotaField = quota === undefined ? {} : {quota};
    const workspace = admission.workspace?.name ?? '';
    if (quota !== undefined && quota.wait > 0) {
      const refusal = refusalForQuota(workspace, quota.wait);
      return {...quotaField, outcome: refusedBy(refusal)};
    }
    const call = this.admittedCall(request, admission, jitter);
    const refusal = call.gate.peekRefusal();
    if (refusal !== undefined) {
      return {...quotaField, outcome: refusedBy(refusal)};
    }
    const service = admission.service.name;
    const isAssigned = this.dependencies.rollouts.wouldAssign(
      service,
      request.attemptId,
      this.dependencies.peekVersionContext(service),
    );
    const steps = this.explainVersion(call, isAssigned);
    // A request that the new version cannot serve goes to the others.
    return steps.outcome.kind === 'refused' && isAssigned
      ? {...quotaField, ...this.explainVersion(call, false)}
      : {...quotaField, ...steps};
  }

  private admittedCall(
    request: ExplainedRequest,
    admission: RoutedAdmission,
    jitter: number,
  ): AdmittedCall {
    const {parts, crashes, placement} = this.dependencies;
    const fingerprint = fingerprintOf({
      workspace: admission.workspace?.name ?? '',
      target: request.path,
      body: UNKNOWN_BODY,
    });
    const gate = new AttemptGate(
      {
        events: NO_EVENTS,
        metrics: NO_METRICS,
        crashes,
        parts,
        partTrials: {
          decide: (service, partIds) =>
            Promise.resolve(parts.peekDecision(service, partIds)),
        },
        candidates: placement.explainer.candidates,
        random: () => jitter,
      },
      {
        requestId: request.attemptId,
        service: admission.service.name,
        fingerprint,
        sharedParts: sharedPartIds(request.parts),
      },
    );
    const time = new RequestTime(this.dependencies, admission, fingerprint);
    return {request, admission, gate, time, jitter};
  }

  private quotaOf(
    request: ExplainedRequest,
    admission: RoutedAdmission,
  ): ExplainedQuota | undefined {
    const {workspace} = admission;
    const quota = workspace?.quota;
    if (workspace === undefined || quota === undefined) {
      return undefined;
    }
    const {promptTokens, answerTokens} = request;
    const amount = quotaAmountOf(
      {
        hasTokenCounts: promptTokens !== undefined,
        promptTokens: promptTokens ?? 0,
        maximumAnswerTokens: answerTokens,
      },
      quota,
    );
    const rank = quotaRankOf(this.dependencies, admission);
    return this.dependencies.quotas.peek(workspace.name, quota, amount, rank);
  }

  private explainVersion(
    call: AdmittedCall,
    isAssigned: boolean,
  ): Omit<AdmittedSteps, 'quota'> {
    const {rollouts, peekVersionContext} = this.dependencies;
    const {request, admission} = call;
    const service = admission.service.name;
    const context = peekVersionContext(service);
    const versions = rollouts.peekConstraintOf(
      {service, isAssigned, isBound: false},
      context,
    );
    const versionField = versions === undefined ? {} : {versions};
    const version = {
      use: rollouts.useOf(service, context.now),
      isAssigned,
      ...(versions !== undefined && {constraint: versions}),
    };
    const demand: PlacementDemand = {
      attemptId: request.attemptId,
      parts: request.parts,
      promptTokens: request.promptTokens ?? 0,
      priority: admission.priority,
      ...versionField,
    };
    return {version, ...this.explainPlacement(call, demand)};
  }

  /** Adds the hosts that carry requests to upstreams out of reach. */
  private withCarriers(
    explanation: PlacementExplanation,
  ): PlacementExplanation {
    const {paths} = this.dependencies;
    const shards = explanation.shards.map(shard => ({
      ...shard,
      considered: shard.considered.map(upstream => {
        const way = paths.nextWay(upstream.upstreamId, NO_WAYS_TRIED);
        return way?.kind === 'carried'
          ? {...upstream, carriedBy: way.carrier.hostId}
          : upstream;
      }),
    }));
    return {...explanation, shards};
  }

  private explainPlacement(
    {admission, gate, time, jitter}: AdmittedCall,
    demand: PlacementDemand,
  ): Pick<AdmittedSteps, 'outcome' | 'placement'> {
    const service = admission.service.name;
    const {explainer} = this.dependencies.placement;
    const pause = explainer.candidates.pauseMillisecondsLeft(
      service,
      demand,
      new Set(),
    );
    if (pause !== undefined && pause > 0) {
      const {refusal} = gate.decidePaused(pause, time.latencyBounds());
      return {
        outcome:
          refusal === undefined
            ? {kind: 'waits', milliseconds: pause}
            : refusedBy(refusal),
      };
    }
    const terms = time.admissionTerms();
    const draws = {upstream: undefined, jitter};
    const {explanation, result} = explainer.explain(
      service,
      demand,
      terms,
      draws,
    );
    const placement = this.withCarriers(explanation);
    switch (result?.kind) {
      case undefined:
        return {placement, outcome: refusedBy(new ServingError('no-upstream'))};
      case 'refused': {
        const refusal = gate.refusalByRank(demand, result);
        return {placement, outcome: refusedBy(refusal)};
      }
      case 'limited': {
        const refusal = gate.refusalForLimits(result.milliseconds);
        return {placement, outcome: refusedBy(refusal)};
      }
      case 'placed': {
        const {choice} = result;
        const refusal = gate.refusalIfDeadlineUnreachable(
          choice,
          terms ?? time.latencyBounds(),
        );
        const {upstreamId} = choice.upstream;
        return {
          placement,
          outcome:
            refusal === undefined
              ? {kind: 'sent', upstreamId}
              : refusedBy(refusal),
        };
      }
    }
  }
}
