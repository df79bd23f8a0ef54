/**
 * Finds the upstream of the next attempt of one request, and decides whether the
 * attempt is made: quarantine, pauses, limits, retry budget and deadline.
 */
import type {
  AdmissionTerms,
  LatencyBounds,
  PlacementDemand,
  ServingError,
} from '@lacewingwinch/decisions';

import {isAborted} from '../../util/is_aborted.js';
import type {AttemptGate} from '../admission/attempt_gate.js';
import type {Placement} from '../placement/placement_result.js';
import type {RoutedPlacement} from '../placement/routed_placement.js';
import type {AttemptRunner} from './attempt_runner.js';

/** Whether and where the next attempt is made. */
export type NextPlacement =
  | {readonly kind: 'placed'; readonly placement: Placement}
  /** The request is refused, unless an upstream has received it. */
  | {readonly kind: 'refused'; readonly error: ServingError}
  /** No upstream or no retry is left. */
  | {readonly kind: 'none'}
  /** The client left, or the time ran out. */
  | {readonly kind: 'interrupted'};

/** Dependencies of `AttemptPlacement`. */
export interface AttemptPlacementDependencies {
  readonly placement: RoutedPlacement;
  readonly gate: AttemptGate;
  readonly runner: AttemptRunner;
  readonly service: string;
  /** Returns what the next attempt demands of its upstream. */
  readonly demand: () => PlacementDemand;
  readonly latencyBounds: () => LatencyBounds;
  /** Returns the terms of ranked admission; undefined if it does not apply. */
  readonly admissionTerms: () => AdmissionTerms | undefined;
  /** Takes a retry from the budget; returns false if there is none. */
  readonly takeRetryBudget: () => boolean;
  /** Returns whether the client has received a part of the answer. */
  readonly hasAnswerBegun: () => boolean;
  /** Aborts when the client leaves or the time runs out. */
  readonly interrupted: AbortSignal;
}

/** Places the attempts of one request. */
export class AttemptPlacement {
  constructor(private readonly dependencies: AttemptPlacementDependencies) {}

  /** Places the next attempt and waits until it may be sent. */
  async next(drawsOnBudget: boolean): Promise<NextPlacement> {
    const {placement, gate, runner, service, demand, interrupted} =
      this.dependencies;
    const refusal = await this.refusalBeforePlacing();
    if (refusal !== undefined) {
      return {kind: 'refused', error: refusal};
    }
    const terms = this.mayBeRefused()
      ? this.dependencies.admissionTerms()
      : undefined;
    const result = await placement.place(
      service,
      demand(),
      runner.tried,
      terms,
    );
    if (result?.kind === 'refused' && !isAborted(interrupted)) {
      return {kind: 'refused', error: gate.refusalByRank(demand(), result)};
    }
    if (result?.kind === 'limited' && !isAborted(interrupted)) {
      const error = gate.refusalForLimits(result.milliseconds);
      return {kind: 'refused', error};
    }
    if (result?.kind !== 'placed') {
      return {kind: isAborted(interrupted) ? 'interrupted' : 'none'};
    }
    const next = await this.decide(result, drawsOnBudget);
    if (next.kind !== 'placed') {
      result.reportEnded();
    } else if (terms !== undefined) {
      gate.recordAdmission(demand(), result);
    }
    return next;
  }

  private async refusalBeforePlacing(): Promise<ServingError | undefined> {
    const {gate, runner, demand, latencyBounds, interrupted} =
      this.dependencies;
    return (
      (await gate.refusalIfQuarantined()) ??
      (await gate.waitWhilePaused(
        demand(),
        runner.tried,
        latencyBounds,
        interrupted,
      ))
    );
  }

  private async decide(
    placement: Placement,
    drawsOnBudget: boolean,
  ): Promise<NextPlacement> {
    const {gate, interrupted, takeRetryBudget} = this.dependencies;
    if (isAborted(interrupted)) {
      return {kind: 'interrupted'};
    }
    if (drawsOnBudget && !takeRetryBudget()) {
      return {kind: 'none'};
    }
    const refusal = this.refusalForDeadline(placement);
    if (refusal !== undefined) {
      return {kind: 'refused', error: refusal};
    }
    await gate.waitForGrant(placement.choice, interrupted);
    return isAborted(interrupted)
      ? {kind: 'interrupted'}
      : {kind: 'placed', placement};
  }

  /** Returns the refusal of a request that cannot meet its deadline. */
  private refusalForDeadline({choice}: Placement): ServingError | undefined {
    const {gate, latencyBounds, admissionTerms} = this.dependencies;
    return this.mayBeRefused()
      ? gate.refusalIfDeadlineUnreachable(
          choice,
          admissionTerms() ?? latencyBounds(),
        )
      : undefined;
  }

  /** Returns whether no upstream has received the request so far. */
  private mayBeRefused(): boolean {
    const {runner, hasAnswerBegun} = this.dependencies;
    return runner.upstreamsReached === 0 && !hasAnswerBegun();
  }
}
