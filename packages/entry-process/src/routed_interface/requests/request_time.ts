/**
 * The time that one request has, and the terms on which it may wait.
 */
import {
  type AdmissionTerms,
  eventPatienceMilliseconds,
  featuresOf,
  type LatencyBounds,
  type RoutedAdmission,
  shareWeightField,
} from '@lacewingwinch/decisions';

import type {FrontDependencies} from './front_dependencies.js';

/** The time of one request, by the steady clock. */
export class RequestTime {
  /** Steady clock reading in milliseconds. */
  readonly startedAt: number;
  /**
   * Steady clock reading in milliseconds at which the complete response is due.
   */
  private readonly deadline: number;

  constructor(
    private readonly dependencies: Pick<
      FrontDependencies,
      'clocks' | 'domainCount'
    >,
    private readonly admission: RoutedAdmission,
    /** What the client repeats when it retries after a refusal. */
    private readonly fingerprint: string,
  ) {
    this.startedAt = dependencies.clocks.steady();
    this.deadline = this.startedAt + admission.budgetMilliseconds;
  }

  millisecondsLeft(): number {
    return this.deadline - this.dependencies.clocks.steady();
  }

  millisecondsSinceStart(): number {
    return this.dependencies.clocks.steady() - this.startedAt;
  }

  latencyBounds(): LatencyBounds {
    return {
      objectiveMilliseconds: this.admission.rule.objectiveMilliseconds,
      millisecondsLeft: this.millisecondsLeft(),
    };
  }

  /** Returns the terms of ranked admission; undefined if it does not apply. */
  admissionTerms(): AdmissionTerms | undefined {
    const {service, rule, workspace} = this.admission;
    const {domainCount} = this.dependencies;
    if (!featuresOf(service, domainCount()).hasRankedAdmission) {
      return undefined;
    }
    const bounds = this.latencyBounds();
    return {
      ...bounds,
      patienceMilliseconds: rule.isStreamed
        ? eventPatienceMilliseconds(rule)
        : bounds.millisecondsLeft,
      workspace: workspace?.name ?? '',
      ...shareWeightField(workspace?.quota),
      fingerprint: this.fingerprint,
    };
  }
}
