/**
 * The configuration of the routed interface: rules, services and workspaces.
 */

/** How often a request that matches a rule may be executed. */
export type Execution =
  /** It may run any number of times. */
  | 'repeatable'
  /** It may run once for each attempt of its caller. */
  | 'at-most-once'
  /** A stream that another upstream may continue at an event id. */
  | 'resumable';

/** A service that a rule sends to, and its share of the requests. */
export interface RoutingTarget {
  readonly service: string;
  readonly weight: number;
}

/** One rule: which requests it decides, and how they are served. */
export interface RoutingRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly execution: Execution;
  /** Whether answers are series of events. */
  readonly isStreamed: boolean;
  readonly targets: readonly RoutingTarget[];
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Time to the first byte within which an answer has its full benefit. */
  readonly objectiveMilliseconds: number;
  /** Upstreams that one request may be sent to. */
  readonly maximumAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether no workspace key is needed. */
  readonly isPublic: boolean;
}

/** What is known of the engines of a service. */
export interface EngineModel {
  readonly slots: number;
  readonly cacheTokens: number;
  readonly canMoveRuns: boolean;
}

/** Bounds and prices of the engines that may be ordered for a service. */
export interface ScalingBounds {
  readonly minimumInDomain: number;
  readonly maximumInDomain: number;
  readonly bootSeconds: number;
  /** Price of a reclaimable engine as a share of the price of another. */
  readonly reclaimablePrice: number | undefined;
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** A service that rules send to. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one upstream accepts from all entry hosts together. */
  readonly connectionLimit: number;
  readonly engine: EngineModel | undefined;
  readonly scaling: ScalingBounds | undefined;
}

/** A limit of a workspace over all entry hosts. */
export interface WorkspaceQuota {
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  readonly burst: number;
  /** Tokens counted for a request that does not say how many it has. */
  readonly defaultTokens: number;
}

/** A workspace and the keys by which its callers are known. */
export interface RoutedWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the priority of the rule. */
  readonly priority: number | undefined;
  readonly quota: WorkspaceQuota | undefined;
}

/** Bounds of what a caller may send and how long it may idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** One version of the configuration, as published. */
export interface RoutingConfiguration {
  readonly version: number;
  /** Rules of each host; the first that matches decides. */
  readonly rulesByHost: ReadonlyMap<string, readonly RoutingRule[]>;
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly workspaces: readonly RoutedWorkspace[];
  readonly workspaceByKey: ReadonlyMap<string, RoutedWorkspace>;
  readonly limits: CallerLimits;
}

/** The parts of a configuration before they are indexed. */
export interface RoutingParts {
  readonly version: number;
  readonly rules: readonly RoutingRule[];
  readonly services: readonly RoutedService[];
  readonly workspaces: readonly RoutedWorkspace[];
  readonly limits: CallerLimits;
}

/** Indexes `parts`; rules of a host are ordered by longer prefix first. */
export function buildRoutingConfiguration(
  parts: RoutingParts,
): RoutingConfiguration {
  const rulesByHost = new Map<string, RoutingRule[]>();
  for (const rule of parts.rules) {
    const rules = rulesByHost.get(rule.host) ?? [];
    rules.push(rule);
    rulesByHost.set(rule.host, rules);
  }
  for (const rules of rulesByHost.values()) {
    rules.sort(
      (left, right) => right.pathPrefix.length - left.pathPrefix.length,
    );
  }
  return {
    version: parts.version,
    rulesByHost,
    services: new Map(parts.services.map(service => [service.name, service])),
    workspaces: parts.workspaces,
    workspaceByKey: new Map(
      parts.workspaces.flatMap(workspace =>
        workspace.keys.map(key => [key, workspace] as const),
      ),
    ),
    limits: parts.limits,
  };
}
