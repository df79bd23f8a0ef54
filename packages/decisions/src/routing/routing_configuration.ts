/**
 * The configuration of routed requests: rules, services and workspaces.
 */

/** How often a request that matches a rule may be executed. */
export type Execution =
  /** The request may be executed any number of times. */
  | 'repeatable'
  /** The request may be executed once for each attempt of its client. */
  | 'at-most-once'
  /** The answer is a stream that another upstream can resume at an event ID. */
  | 'resumable';

/** A service to which a rule routes, and its share of the requests. */
export interface RoutingTarget {
  readonly service: string;
  /** The share, relative to the weights of the other targets. */
  readonly weight: number;
}

/** The requests that a rule matches, and how they are served. */
export interface RoutingRule {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly execution: Execution;
  /** Whether the answers are event streams. */
  readonly isStreamed: boolean;
  readonly targets: readonly RoutingTarget[];
  /** Longest time for which a client is kept waiting. */
  readonly timeoutMilliseconds: number;
  /**
   * Latency objective: time to the first byte up to which an answer has its
   * full benefit.
   */
  readonly objectiveMilliseconds: number;
  /** Longest gap between events that is on time; undefined if not stated. */
  readonly eventGapMilliseconds: number | undefined;
  /** Largest number of upstreams to which one request may be sent. */
  readonly maximumAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no workspace key. */
  readonly isPublic: boolean;
}

/** The capacity of each engine of a service. */
export interface EngineModel {
  /** Requests that an engine runs at once. */
  readonly slots: number;
  /** Tokens for which the key-value cache has room. */
  readonly cacheTokens: number;
  /** Whether a request in progress can move to another engine. */
  readonly canMoveRuns: boolean;
}

/**
 * Limits on the number of engines in each failure domain, and the prices of the
 * engines that can be ordered for a service.
 */
export interface ScalingBounds {
  readonly minimumInDomain: number;
  readonly maximumInDomain: number;
  /** Time from the order of an engine until it is ready. */
  readonly bootSeconds: number;
  /**
   * Price of a reclaimable engine as a fraction of the price of an on-demand
   * one; undefined if no engines can be ordered.
   */
  readonly reclaimablePrice: number | undefined;
  /** Price factors by failure domain; 1 for a domain that is not listed. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** A service to which rules route. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one upstream accepts from all entry hosts in total. */
  readonly connectionLimit: number;
  readonly engine: EngineModel | undefined;
  readonly scaling: ScalingBounds | undefined;
}

/** The rate limit of a workspace across all entry hosts. */
export interface WorkspaceQuota {
  readonly unit: 'requests' | 'tokens';
  readonly perSecond: number;
  readonly burst: number;
  /** Tokens counted for a request that does not state its token count. */
  readonly defaultTokens: number;
}

/** A workspace and the keys that identify its clients. */
export interface RoutedWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the rule. */
  readonly priority: number | undefined;
  readonly quota: WorkspaceQuota | undefined;
}

/** Limits on request sizes and on the idle time of client connections. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** A published version of the configuration, indexed for lookups. */
export interface RoutingConfiguration {
  readonly version: number;
  /** Rules by host; the first one that matches applies. */
  readonly rulesByHost: ReadonlyMap<string, readonly RoutingRule[]>;
  readonly services: ReadonlyMap<string, RoutedService>;
  readonly workspaces: readonly RoutedWorkspace[];
  readonly workspaceByKey: ReadonlyMap<string, RoutedWorkspace>;
  readonly limits: ClientLimits;
}

/** The contents of a configuration before they are indexed. */
export interface RoutingParts {
  readonly version: number;
  readonly rules: readonly RoutingRule[];
  readonly services: readonly RoutedService[];
  readonly workspaces: readonly RoutedWorkspace[];
  readonly limits: ClientLimits;
}

/**
 * Returns the indexed configuration. The rules of each host are sorted by
 * decreasing length of the path prefix, so that the most specific one matches
 * first.
 */
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
