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
import type {AttemptTimes} from './attempted_request.js';
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
  /** The present attempt, and whether its answer has begun. */
  private choice: EngineChoice | undefined;
  private hasStarted = false;

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

  /** Records that an attempt begins. */
  recordBegun(choice: EngineChoice): void {
    const {softwareVersion} = choice.upstream;
    this.choice = choice;
    this.hasStarted = false;
    this.dependencies.rollouts.recordBegun(this.call.service, softwareVersion);
  }

  /** Records the first event of a stream, sent at `sentAt`. */
  recordFirstEvent({sentAt}: AttemptTimes): void {
    this.firstEventAt = this.dependencies.clocks.steady();
    this.recordStart(sentAt, this.firstEventAt);
  }

  /** Records the end of the attempt. */
  recordEnded(
    outcome: AttemptOutcome,
    {sentAt, answerBegunAt, eventCount}: AttemptCourse,
  ): void {
    const {rollouts, metrics, clocks, versionContext} = this.dependencies;
    const {service, route, objectiveMilliseconds} = this.call;
    const {choice} = this;
    if (choice === undefined) {
      return;
    }
    const {upstream} = choice;
    const {softwareVersion} = upstream;
    rollouts.recordEnded(service, softwareVersion);
    this.unassign();
    const endedAt = clocks.steady();
    const hasWaited = endedAt - (sentAt ?? endedAt) >= objectiveMilliseconds;
    const result = versionOutcomeOf(outcome, hasWaited);
    if (sentAt === undefined || result === undefined) {
      return;
    }
    if (result !== 'failed') {
      this.recordStart(sentAt, answerBegunAt ?? endedAt);
    }
    const beganAt = this.firstEventAt;
    const isCounted = rollouts.recordResult(
      {
        service,
        route,
        upstream,
        isGuess: isGuess(choice),
        outcome: result,
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

  private recordStart(sentAt: number | undefined, startedAt: number): void {
    const {choice} = this;
    if (this.hasStarted || sentAt === undefined || choice === undefined) {
      return;
    }
    this.hasStarted = true;
    const {rollouts, versionContext} = this.dependencies;
    const {service, route} = this.call;
    const {upstream, tokensToRead} = choice;
    rollouts.recordStart(
      {
        service,
        route,
        upstream,
        milliseconds: startedAt - sentAt,
        tokensToRead,
        isGuess: isGuess(choice),
      },
      versionContext(service).now,
    );
  }
}

/** Returns whether the choice rests on knowledge that is not complete. */
function isGuess({knowledgeAgeMilliseconds = 0}: EngineChoice): boolean {
  return knowledgeAgeMilliseconds > 0;
}
