/**
 * The steps of an explanation in the words of its answer.
 */
import type {
  ExplainedOutcome,
  ExplainedWorkspace,
  RequestExplanation,
  RoutedAdmission,
  RoutingConfiguration,
  ServingError,
} from '@lacewingwinch/decisions';

/** The key of a request, or why there is none. */
export type FoundKey =
  | {readonly kind: 'found'; readonly key: string | undefined}
  | {readonly kind: 'unknown'; readonly fault: string};

/** Returns a key of the workspace that a request states. */
export function findKey(
  workspace: ExplainedWorkspace,
  configuration: RoutingConfiguration | undefined,
): FoundKey {
  switch (workspace.kind) {
    case 'none':
      return {kind: 'found', key: undefined};
    case 'key':
      return {kind: 'found', key: workspace.key};
    case 'name': {
      const {name} = workspace;
      const found = configuration?.workspaces.find(
        candidate => candidate.name === name,
      );
      const key = found?.keys[0];
      if (found === undefined) {
        return {kind: 'unknown', fault: `no workspace is named ${name}`};
      }
      return key === undefined
        ? {kind: 'unknown', fault: `the workspace ${name} has no key`}
        : {kind: 'found', key};
    }
  }
}

/** Returns the terms of an admitted request. */
export function termsOf({
  service,
  workspace,
  rule,
  priority,
  budgetMilliseconds,
}: RoutedAdmission): NonNullable<RequestExplanation['terms']> {
  return {
    service: service.name,
    ...(workspace !== undefined && {workspace: workspace.name}),
    rank: priority,
    budgetMilliseconds,
    objectiveMilliseconds: rule.objectiveMilliseconds,
  };
}

/** Returns the outcome of a request that is refused with `error`. */
export function refusedBy(error: ServingError): ExplainedOutcome {
  const {kind, status, message, retryAfterSeconds} = error;
  return {
    kind: 'refused',
    error: kind,
    status,
    detail: message,
    ...(retryAfterSeconds !== undefined && {
      retryAfter: {
        leastSeconds: retryAfterSeconds,
        mostSeconds: retryAfterSeconds,
      },
    }),
  };
}

/** Returns an outcome with all times stated to refused clients. */
export function withLatestRetry(
  soonest: ExplainedOutcome,
  latest: ExplainedOutcome,
): ExplainedOutcome {
  if (
    soonest.kind !== 'refused' ||
    latest.kind !== 'refused' ||
    soonest.retryAfter === undefined ||
    latest.retryAfter === undefined
  ) {
    return soonest;
  }
  const {mostSeconds} = latest.retryAfter;
  return {...soonest, retryAfter: {...soonest.retryAfter, mostSeconds}};
}
