/**
 * Whether a routed call may be served, and by which rule.
 */
import type {ErrorKind} from '../errors/error_kinds.js';
import {hashBucket} from '../util/rendezvous_hash.js';
import type {
  RoutedService,
  RoutedWorkspace,
  RoutingConfiguration,
  RoutingRule,
} from './routing_configuration.js';

/** What a belief says and when it was last known to be true. */
export interface Belief<T> {
  readonly value: T;
  /** Suspension-aware milliseconds at which the confirming call was sent. */
  readonly confirmedAt: number;
}

/** The part of a call that admission looks at. */
export interface RoutedCallFacts {
  readonly attemptId: string;
  readonly host: string;
  readonly path: string;
  readonly workspaceKey: string | undefined;
  /** Milliseconds for which the caller waits; undefined if it did not say. */
  readonly deadlineMilliseconds: number | undefined;
  readonly bodyBytes: number;
}

/** A call that may be served. */
export interface RoutedAdmission {
  readonly rule: RoutingRule;
  readonly service: RoutedService;
  /** Undefined on a public rule. */
  readonly workspace: RoutedWorkspace | undefined;
  readonly configurationVersion: number;
  /** Milliseconds from now until the final answer is due. */
  readonly budgetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** The verdict on a call. */
export type RoutedVerdict =
  | {readonly kind: 'admitted'; readonly admission: RoutedAdmission}
  | {
      readonly kind: 'refused';
      readonly error: ErrorKind;
      readonly detail: string;
    };

/** Buckets in which a weighted choice is made. */
const SPLIT_BUCKETS = 10_000;

/** Decides on `facts` by the first rule that matches. */
export function admitRoutedCall(
  facts: RoutedCallFacts,
  configuration: Belief<RoutingConfiguration> | undefined,
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
  const workspace = workspaceOf(facts, rule, value);
  if (workspace === 'rejected') {
    return refuse('workspace-key-rejected', 'the key is missing or unknown');
  }
  const service = serviceOf(rule, facts.attemptId, value);
  if (service === undefined) {
    return refuse('no-upstream', `rule ${rule.name} names no known service`);
  }
  return {
    kind: 'admitted',
    admission: {
      rule,
      service,
      workspace,
      configurationVersion: value.version,
      budgetMilliseconds: Math.min(
        rule.timeoutMilliseconds,
        facts.deadlineMilliseconds ?? Infinity,
      ),
      priority: workspace?.priority ?? rule.priority,
    },
  };
}

/** The first rule of `host` whose prefix begins `path`. */
export function findRoutingRule(
  configuration: RoutingConfiguration,
  host: string,
  path: string,
): RoutingRule | undefined {
  return configuration.rulesByHost
    .get(host)
    ?.find(({pathPrefix}) => path.startsWith(pathPrefix));
}

function workspaceOf(
  facts: RoutedCallFacts,
  rule: RoutingRule,
  configuration: RoutingConfiguration,
): RoutedWorkspace | 'rejected' | undefined {
  if (rule.isPublic || configuration.workspaces.length === 0) {
    return undefined;
  }
  const known =
    facts.workspaceKey === undefined
      ? undefined
      : configuration.workspaceByKey.get(facts.workspaceKey);
  return known ?? 'rejected';
}

/** A share of the requests goes to each target, by a hash of the attempt. */
function serviceOf(
  rule: RoutingRule,
  attemptId: string,
  configuration: RoutingConfiguration,
): RoutedService | undefined {
  const targets = rule.targets.filter(
    ({service, weight}) => weight > 0 && configuration.services.has(service),
  );
  const total = targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = (hashBucket(attemptId, SPLIT_BUCKETS) / SPLIT_BUCKETS) * total;
  for (const {service, weight} of targets) {
    left -= weight;
    if (left < 0) {
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
