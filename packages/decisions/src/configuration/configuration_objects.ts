/**
 * The objects that operators publish, and their schemas.
 */
import {z} from 'zod';

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens');
const POSITIVE = z.number().positive();

/** Class of host an upstream runs on. */
export const HOST_CLASSES = ['reclaimable', 'on-demand'] as const;
const HOST_CLASS = z.enum(HOST_CLASSES);

/** Kind of call a rule can match. */
export const CALL_KINDS = ['completion', 'chat-completion', 'plain'] as const;
const CALL_KIND = z.enum(CALL_KINDS);

const SERVICE_SCHEMA = z
  .strictObject({
    kind: z.literal('service'),
    name: NAME,
    /** What the upstreams of the service are. */
    upstreamKind: z.enum(['model', 'plain']),
    /** Whether a call may be repeated, and who sees to it if not. */
    repetition: z
      .enum(['idempotent', 'non-idempotent', 'deduplicating'])
      .default('idempotent'),
    /** Seconds for which a claimed key is remembered. */
    claimWindowSeconds: POSITIVE.default(3600),
    /** What to do with a key that does not show its age. */
    keysWithoutAge: z.enum(['accept', 'refuse']).default('accept'),
    /** Seconds a request may take when the caller names no deadline. */
    maximumRequestSeconds: POSITIVE.default(120),
    /** Calls that one upstream runs at once. */
    upstreamConcurrency: z.number().int().positive().default(8),
    /** Milliseconds a call may wait for a place at an upstream. */
    maximumQueueMilliseconds: POSITIVE.default(1000),
    /** Bytes a request body may have. */
    maximumBodyBytes: z.number().int().positive().default(1_048_576),
    /** Whether upstreams check the fencing number of orders. */
    checksFencing: z.boolean().default(false),
    /** Further attempts as a fraction of recent first attempts. */
    retryBudgetFraction: z.number().min(0).max(1).default(0.1),
    /** Seconds for which a quarantined content is refused. */
    quarantineSeconds: POSITIVE.default(600),
  })
  .readonly();

const WORKSPACE_SCHEMA = z
  .strictObject({
    kind: z.literal('workspace'),
    name: NAME,
    /** SHA-256 of each accepted key, in hexadecimal. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).readonly(),
    /** Requests a second over all entry hosts. */
    requestsPerSecond: POSITIVE.optional(),
    /** Requests in progress over all entry hosts. */
    requestsInFlight: z.number().int().positive().optional(),
  })
  .readonly();

const RULE_MATCH_SCHEMA = z
  .strictObject({
    workspaces: z.array(NAME).min(1).readonly().optional(),
    services: z.array(NAME).min(1).readonly().optional(),
    callKinds: z.array(CALL_KIND).min(1).readonly().optional(),
    minimumBytes: z.number().int().nonnegative().optional(),
    maximumBytes: z.number().int().nonnegative().optional(),
    minimumPriority: z.number().int().min(0).max(9).optional(),
    maximumPriority: z.number().int().min(0).max(9).optional(),
    /** Milliseconds until the deadline of the request. */
    minimumTimeLeft: z.number().nonnegative().optional(),
    maximumTimeLeft: z.number().nonnegative().optional(),
    /** Load of the service: calls in progress over places for calls. */
    minimumLoad: z.number().nonnegative().optional(),
    maximumLoad: z.number().nonnegative().optional(),
    reclaimWave: z.boolean().optional(),
  })
  .readonly();

const SEND_SCHEMA = z
  .strictObject({
    kind: z.literal('send'),
    /** Host classes allowed, cheapest first unless stated otherwise. */
    hostClasses: z
      .array(HOST_CLASS)
      .min(1)
      .readonly()
      .default([...HOST_CLASSES]),
    /** Failure domains in order of preference; empty means any. */
    failureDomains: z.array(NAME).readonly().default([]),
    /** Model version or adapter, passed to the upstream. */
    model: z.string().min(1).optional(),
    /** Attempts in all, the first one included. */
    maximumAttempts: z.number().int().min(1).max(10).default(3),
    /** Whether a request may be held by this host alone. */
    holdAlone: z.boolean().default(false),
  })
  .readonly();

const REFUSE_SCHEMA = z
  .strictObject({
    kind: z.literal('refuse'),
    reason: z.string().min(1).max(200),
  })
  .readonly();

const RULE_SCHEMA = z
  .strictObject({
    name: NAME,
    when: RULE_MATCH_SCHEMA.default({}),
    then: z.discriminatedUnion('kind', [SEND_SCHEMA, REFUSE_SCHEMA]),
  })
  .readonly();

const RULE_LIST_SCHEMA = z
  .strictObject({
    kind: z.literal('rules'),
    name: z.literal('rules'),
    rules: z.array(RULE_SCHEMA).readonly(),
  })
  .readonly();

/** Schema of any object that an operator may publish. */
export const CONFIGURATION_OBJECT_SCHEMA = z.discriminatedUnion('kind', [
  SERVICE_SCHEMA,
  WORKSPACE_SCHEMA,
  RULE_LIST_SCHEMA,
]);

/** A class of host: reclaimable or on-demand. */
export type HostClass = (typeof HOST_CLASSES)[number];
/** A kind of call that a caller makes. */
export type CallKind = (typeof CALL_KINDS)[number];
/** A group of upstreams that does one job. */
export type Service = z.infer<typeof SERVICE_SCHEMA>;
/** A customer, its keys and its limits. */
export type Workspace = z.infer<typeof WORKSPACE_SCHEMA>;
/** The condition of one rule; an absent field matches everything. */
export type RuleMatch = z.infer<typeof RULE_MATCH_SCHEMA>;
/** What a rule decides. */
export type RuleOutcome = z.infer<typeof RULE_SCHEMA>['then'];
/** The outcome that sends a request to upstreams. */
export type SendOutcome = z.infer<typeof SEND_SCHEMA>;
/** One rule: when this holds, then do that. */
export type Rule = z.infer<typeof RULE_SCHEMA>;
/** The ordered rule list. */
export type RuleList = z.infer<typeof RULE_LIST_SCHEMA>;
/** Any object that an operator publishes. */
export type ConfigurationObject = z.infer<typeof CONFIGURATION_OBJECT_SCHEMA>;

/** The key of an object in the configuration, as `kind/name`. */
export function objectKey(
  object: Pick<ConfigurationObject, 'kind' | 'name'>,
): string {
  return `${object.kind}/${object.name}`;
}
