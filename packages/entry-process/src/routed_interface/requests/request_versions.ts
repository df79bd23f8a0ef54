/**
 * The software versions at which one request may run, and what its attempts show
 * of them.
 */
import type {
  EngineChoice,
  RolloutFront,
  UsableUpstream,
  VersionConstraint,
  VersionContext,
} from '@lacewingwinch/decisions';
import type {Metrics} from '@lacewingwinch/observability';

import type {Clocks} from '../../util/clocks.js';
import type {AttemptTimes} from './attempt_runner.js';
import type {AttemptOutcome} from './routed_attempt.js';
import {versionOutcomeOf} from './upstream_result.js';

/** What requests need to know of roll-outs. */
export interface RequestVersionsDependencies {
  readonly clocks: Clocks;
  readonly rollouts: RolloutFront;
  readonly metrics: Metrics;
  /** Returns the state of this host on which versions depend. */
  readonly versionContext: (service: string) => VersionContext;
}

/** One request, as roll-outs see it. */
export interface VersionedCall {
  readonly service: string;
  readonly route: string;
  readonly attemptId: string;
  readonly objectiveMilliseconds: number;
}

/** What happened in an attempt; the times are steady clock readings. */
export interface AttemptCourse extends AttemptTimes {
  readonly eventCount: number;
}

/** The versions of one request. */
export class RequestVersions {
  private isAssigned: boolean | undefined;
  /** Steady clock reading; undefined before the first event of an attempt. */
  private firstEventAt: number | undefined;

  constructor(
    private readonly dependencies: RequestVersionsDependencies,
    private readonly call: VersionedCall,
  ) {}

  /** Returns the constraint of the next attempt. */
  constraint(boundVersion: string | undefined): VersionConstraint | undefined {
    if (boundVersion !== undefined) {
      return {kind: 'only', softwareVersion: boundVersion};
    }
    const {rollouts, versionContext} = this.dependencies;
    const {service, attemptId} = this.call;
    const context = versionContext(service);
    this.isAssigned ??= rollouts.assign(service, attemptId, context);
    const {isAssigned} = this;
    return rollouts.constraintOf(
      {service, isAssigned, isBound: false},
      context,
    );
  }

  /** Returns whether the request may be sent to `upstream` at this moment. */
  mayBeSent(
    {softwareVersion}: UsableUpstream,
    boundVersion: string | undefined,
  ): boolean {
    const {rollouts, versionContext} = this.dependencies;
    const {service} = this.call;
    return rollouts.mayBeSent(
      {
        service,
        isAssigned: this.isAssigned ?? false,
        isBound: boundVersion !== undefined,
      },
      softwareVersion,
      versionContext(service),
    );
  }

  /**
   * Sends the following attempts to the versions that serve already; returns
   * whether the request was assigned to the new one.
   */
  unassign(): boolean {
    const wasAssigned = this.isAssigned === true;
    this.isAssigned = false;
    return wasAssigned;
  }

  /** Records that an attempt at `upstream` begins. */
  recordBegun({softwareVersion}: UsableUpstream): void {
    this.dependencies.rollouts.recordBegun(this.call.service, softwareVersion);
  }

  /** Records the first event of a stream. */
  recordFirstEvent(): void {
    this.firstEventAt = this.dependencies.clocks.steady();
  }

  /** Records the end of an attempt. */
  recordEnded(
    {upstream, tokensToRead}: EngineChoice,
    outcome: AttemptOutcome,
    {sentAt, answerBegunAt, eventCount}: AttemptCourse,
  ): void {
    const {rollouts, metrics, clocks, versionContext} = this.dependencies;
    const {service, route, objectiveMilliseconds} = this.call;
    const {softwareVersion} = upstream;
    rollouts.recordEnded(service, softwareVersion);
    this.unassign();
    if (sentAt === undefined) {
      return;
    }
    const endedAt = clocks.steady();
    const hasWaited = endedAt - sentAt >= objectiveMilliseconds;
    const result = versionOutcomeOf(outcome, hasWaited);
    if (result === undefined) {
      return;
    }
    const beganAt = this.firstEventAt ?? answerBegunAt;
    const startedAt = result === 'unfinished' ? (beganAt ?? endedAt) : beganAt;
    const isCounted = rollouts.recordResult(
      {
        service,
        route,
        upstream,
        outcome: result,
        startMilliseconds:
          startedAt === undefined ? undefined : startedAt - sentAt,
        tokensToRead,
        gapMilliseconds:
          beganAt === undefined || eventCount < 2
            ? undefined
            : (endedAt - beganAt) / (eventCount - 1),
      },
      versionContext(service).now,
    );
    if (isCounted) {
      metrics.versionResults.inc({service, version: softwareVersion, result});
    }
  }
}
