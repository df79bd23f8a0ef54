/**
 * The explanation of what would become of a request now, as one host knows it.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import type {QuotaOutlook} from '../limits/quota_share.js';
import type {PromptPart} from '../placement/choose_engine.js';
import type {VersionConstraint} from '../placement/version_constraint.js';
import type {VersionUse} from '../rollouts/rollout_steps.js';
import type {PlacementExplanation} from './placement_explanation.js';

/** How the workspace of a request is stated. */
export type ExplainedWorkspace =
  | {readonly kind: 'none'}
  | {readonly kind: 'name'; readonly name: string}
  | {readonly kind: 'key'; readonly key: string};

/** A request that is not sent. */
export interface ExplainedRequest {
  readonly host: string;
  readonly path: string;
  readonly workspace: ExplainedWorkspace;
  readonly attemptId: string;
  /** Milliseconds that the client waits; absent if it states no deadline. */
  readonly deadlineMilliseconds?: number;
  readonly bodyBytes: number;
  readonly parts: readonly PromptPart[];
  /** Absent if the client states no tokens. */
  readonly promptTokens?: number;
  readonly answerTokens: number;
}

/** A rule that was tried. */
export interface ExplainedRule {
  readonly name: string;
  readonly pathPrefix: string;
  readonly isMatch: boolean;
}

/** The terms on which a request is served. */
export interface ExplainedTerms {
  readonly service: string;
  /** Absent for a public rule, or if no workspaces are configured. */
  readonly workspace?: string;
  readonly rank: number;
  readonly budgetMilliseconds: number;
  readonly objectiveMilliseconds: number;
}

/** What is left of the quota of a workspace. */
export type ExplainedQuota =
  /** This host holds a part of it; others may give it more. */
  | ({
      readonly kind: 'held';
      readonly unit: 'requests' | 'tokens';
      readonly amount: number;
      /** Other hosts that hold parts. */
      readonly otherHolders: readonly string[];
    } & QuotaOutlook)
  /** Other hosts hold it; this one queries them for each request. */
  | {
      readonly kind: 'held-elsewhere';
      readonly unit: 'requests' | 'tokens';
      readonly amount: number;
      readonly otherHolders: readonly string[];
      /** Milliseconds for which it is known to be used up; 0 if it is not. */
      readonly wait: number;
    };

/** The software versions that may run a request. */
export interface ExplainedVersion {
  readonly use: VersionUse;
  /** Whether the roll-out assigns the request to its version. */
  readonly isAssigned: boolean;
  /** Absent if all versions may run it. */
  readonly constraint?: VersionConstraint;
}

/** The time stated to a refused client, which is spread. */
export interface ExplainedRetry {
  readonly leastSeconds: number;
  readonly mostSeconds: number;
}

/** What would become of a request. */
export type ExplainedOutcome =
  | {readonly kind: 'sent'; readonly upstreamId: string}
  /** It waits until the first upstream accepts requests again. */
  | {readonly kind: 'waits'; readonly milliseconds: number}
  | {
      readonly kind: 'refused';
      readonly error: ErrorKind;
      readonly status: number;
      readonly detail: string;
      /** Absent if none is stated. */
      readonly retryAfter?: ExplainedRetry;
    };

/** What would become of a request, step by step. */
export interface RequestExplanation {
  readonly hostId: string;
  /** Version of the configuration; -1 without any. */
  readonly configurationVersion: number;
  /** Milliseconds since it was confirmed; -1 without any. */
  readonly configurationAgeMilliseconds: number;
  readonly rules: readonly ExplainedRule[];
  /** These are absent where the request is refused before. */
  readonly terms?: ExplainedTerms;
  readonly quota?: ExplainedQuota;
  readonly version?: ExplainedVersion;
  readonly placement?: PlacementExplanation;
  readonly outcome: ExplainedOutcome;
}
