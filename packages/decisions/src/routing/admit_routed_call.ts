/**
 * The decision on whether a routed request may be served, and by which rule.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import {hashBucket} from '../util/rendezvous_hash.js';
import type {
  RoutedService,
  RoutedWorkspace,
  RoutingConfiguration,
  RoutingRule,
} from './routing_configuration.js';

/**
 * State learned from the store or from peers, with the time at which it was
 * last confirmed.
 */
export interface ConfirmedValue<T> {
  readonly value: T;
  /**
   * Time at which the confirming request was sent, in milliseconds of the
   * suspension-aware clock.
   */
  readonly confirmedAt: number;
}

/** The properties of a request on which admission depends. */
export interface RoutedCallFacts {
  readonly attemptId: string;
  readonly host: string;
  readonly path: string;
  readonly workspaceKey: string | undefined;
  /** Milliseconds that the client waits; undefined if it stated no deadline. */
  readonly deadlineMilliseconds: number | undefined;
  readonly bodyBytes: number;
}

/** The terms on which a request may be served. */
export interface RoutedAdmission {
  readonly rule: RoutingRule;
  readonly service: RoutedService;
  /** Undefined for a public rule, or if no workspaces are configured. */
  readonly workspace: RoutedWorkspace | undefined;
  readonly configurationVersion: number;
  /** Milliseconds from now until the final answer is due. */
  readonly budgetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** The result of admission. */
export type RoutedVerdict =
  | {readonly kind: 'admitted'; readonly admission: RoutedAdmission}
  | {
      readonly kind: 'refused';
      readonly error: ErrorKind;
      readonly detail: string;
    };

/** Longest time for a request; a timer cannot be much longer. */
const MAXIMUM_BUDGET_MILLISECONDS = 86_400_000;

/** Hash buckets among which the targets of a rule divide the attempts. */
const TARGET_BUCKETS = 10_000;

/**
 * Admits or refuses a request by the first rule that matches it. `maximumAge`
 * is the age in milliseconds up to which a configuration can be used without
 * restriction. With an older one, requests that match a public rule are still
 * admitted, but those that match no rule or need a key are refused as not
 * ready.
 */
export function admitRoutedCall(
  facts: RoutedCallFacts,
  configuration: ConfirmedValue<RoutingConfiguration> | undefined,
  maximumAge: number,
  now: number,
): RoutedVerdict {
  if (configuration === undefined) {
    return refuse('not-ready', 'no configuration is known yet');
  }
  const {value} = configuration;
  const rule = findRoutingRule(value, facts.host, facts.path);
  const age = now - configuration.confirmedAt;
  const isStale = age > maximumAge;
  if (rule === undefined) {
    return isStale
      ? refuse('not-ready', `the configuration is ${Math.round(age)} ms old`)
      : refuse('path-unknown', 'no rule matches host and path');
  }
  if (facts.bodyBytes > value.limits.bodyBytes) {
    return refuse(
      'request-too-large',
      `at most ${value.limits.bodyBytes} bytes`,
    );
  }
  if (!rule.isPublic && isStale) {
    return refuse('not-ready', `keys were confirmed ${Math.round(age)} ms ago`);
  }
  const workspace = authenticateWorkspace(facts, rule, value);
  if (workspace === 'rejected') {
    return refuse('workspace-key-rejected', 'the key is missing or unknown');
  }
  const service = chooseService(rule, facts.attemptId, value);
  if (service === undefined) {
    return refuse('no-upstream', `rule ${rule.name} names no known service`);
  }
  const budgetMilliseconds = Math.min(
    rule.timeoutMilliseconds,
    facts.deadlineMilliseconds ?? Infinity,
    MAXIMUM_BUDGET_MILLISECONDS,
  );
  if (budgetMilliseconds <= 0) {
    return refuse(
      'deadline-passed',
      'the request leaves no time for an answer',
    );
  }
  return {
    kind: 'admitted',
    admission: {
      rule,
      service,
      workspace,
      configurationVersion: value.version,
      budgetMilliseconds,
      priority: workspace?.priority ?? rule.priority,
    },
  };
}

/** A rule that was compared with a request. */
export interface TriedRule {
  readonly rule: RoutingRule;
  readonly isMatch: boolean;
}

/**
 * Returns the rules of `host` in the order in which they are tried for `path`,
 * up to the first one that matches.
 */
export function triedRules(
  configuration: RoutingConfiguration,
  host: string,
  path: string,
): readonly TriedRule[] {
  const match = findRoutingRule(configuration, host, path);
  const rules = configuration.rulesByHost.get(host) ?? [];
  const count = match === undefined ? rules.length : rules.indexOf(match) + 1;
  return rules.slice(0, count).map(rule => ({rule, isMatch: rule === match}));
}

/** Returns the first rule of `host` whose path prefix matches `path`. */
export function findRoutingRule(
  configuration: RoutingConfiguration,
  host: string,
  path: string,
): RoutingRule | undefined {
  return configuration.rulesByHost
    .get(host)
    ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
}

function authenticateWorkspace(
  facts: RoutedCallFacts,
  rule: RoutingRule,
  configuration: RoutingConfiguration,
): RoutedWorkspace | 'rejected' | undefined {
  if (rule.isPublic || configuration.workspaces.length === 0) {
    return undefined;
  }
  const workspace =
    facts.workspaceKey === undefined
      ? undefined
      : configuration.workspaceByKey.get(facts.workspaceKey);
  return workspace ?? 'rejected';
}

/**
 * Returns the service of one target, chosen by a hash of the attempt ID so that
 * the requests are divided in proportion to the weights.
 */
function chooseService(
  rule: RoutingRule,
  attemptId: string,
  configuration: RoutingConfiguration,
): RoutedService | undefined {
  const targets = rule.targets.filter(
    ({service, weight}) => weight > 0 && configuration.services.has(service),
  );
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let remainingWeight =
    (hashBucket(attemptId, TARGET_BUCKETS) / TARGET_BUCKETS) * total;
  for (const {service, weight} of targets) {
    remainingWeight -= weight;
    if (remainingWeight < 0) {
      return configuration.services.get(service);
    }
  }
  const last = targets.at(-1);
  return last === undefined
    ? undefined
    : configuration.services.get(last.service);
}

function refuse(error: ErrorKind, detail: string): RoutedVerdict {
  return {kind: 'refused', error, detail};
}
