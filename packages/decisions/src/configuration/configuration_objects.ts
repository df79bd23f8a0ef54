/**
 * The configuration objects that operators publish, and their schemas.
 */
import {z} from 'zod';

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens');
const POSITIVE = z.number().positive();

/** The classes of hosts on which upstreams run. */
export const HOST_CLASSES = ['reclaimable', 'on-demand'] as const;
const HOST_CLASS = z.enum(HOST_CLASSES);

/** The kinds of calls that a rule can match. */
export const CALL_KINDS = ['completion', 'chat-completion', 'plain'] as const;
const CALL_KIND = z.enum(CALL_KINDS);

const SERVICE_SCHEMA = z
  .strictObject({
    kind: z.literal('service'),
    name: NAME,
    /** Kind of upstreams that serve the service. */
    upstreamKind: z.enum(['model', 'plain']),
    /**
     * Whether a call that may have run can be repeated: `idempotent` calls can,
     * `non-idempotent` ones cannot, and `deduplicating` upstreams recognize
     * repeated calls themselves.
     */
    repetition: z
      .enum(['idempotent', 'non-idempotent', 'deduplicating'])
      .default('idempotent'),
    /** Seconds for which a claimed idempotency key is kept. */
    claimWindowSeconds: POSITIVE.default(3600),
    /** Handling of idempotency keys whose creation time is not known. */
    keysWithoutAge: z.enum(['accept', 'refuse']).default('accept'),
    /** Time limit in seconds for a request without a deadline. */
    maximumRequestSeconds: POSITIVE.default(120),
    /** Number of calls that one upstream runs concurrently. */
    upstreamConcurrency: z.number().int().positive().default(8),
    /** Milliseconds that a call may wait for a slot at an upstream. */
    maximumQueueMilliseconds: POSITIVE.default(1000),
    /** Maximum size of a request body in bytes. */
    maximumBodyBytes: z.number().int().positive().default(1_048_576),
    /** Whether upstreams check the fencing numbers of orders. */
    checksFencing: z.boolean().default(false),
    /** Maximum number of retries as a fraction of recent first attempts. */
    retryBudgetFraction: z.number().min(0).max(1).default(0.1),
    /** Seconds for which quarantined content is refused. */
    quarantineSeconds: POSITIVE.default(600),
  })
  .readonly();

const WORKSPACE_SCHEMA = z
  .strictObject({
    kind: z.literal('workspace'),
    name: NAME,
    /** SHA-256 hash of each accepted workspace key, in hexadecimal. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).readonly(),
    /** Maximum number of requests per second over all entry hosts. */
    requestsPerSecond: POSITIVE.optional(),
    /** Maximum number of requests in progress over all entry hosts. */
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
    /** Load of the service: calls in progress divided by slots for calls. */
    minimumLoad: z.number().nonnegative().optional(),
    maximumLoad: z.number().nonnegative().optional(),
    reclaimWave: z.boolean().optional(),
  })
  .readonly();

const SEND_SCHEMA = z
  .strictObject({
    kind: z.literal('send'),
    /** Allowed host classes, cheapest first by default. */
    hostClasses: z
      .array(HOST_CLASS)
      .min(1)
      .readonly()
      .default([...HOST_CLASSES]),
    /** Allowed failure domains in order of preference; empty allows any. */
    failureDomains: z.array(NAME).readonly().default([]),
    /** Model version or adapter that is passed to the upstream. */
    model: z.string().min(1).optional(),
    /** Maximum number of attempts, including the first one. */
    maximumAttempts: z.number().int().min(1).max(10).default(3),
    /** Whether this host may hold a request without a copy on another host. */
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

/** The schema of any object that an operator can publish. */
export const CONFIGURATION_OBJECT_SCHEMA = z.discriminatedUnion('kind', [
  SERVICE_SCHEMA,
  WORKSPACE_SCHEMA,
  RULE_LIST_SCHEMA,
]);

/** A class of hosts: reclaimable or on-demand. */
export type HostClass = (typeof HOST_CLASSES)[number];
/** A kind of call that a client makes. */
export type CallKind = (typeof CALL_KINDS)[number];
/** A group of upstreams that serve the same purpose, with its settings. */
export type Service = z.infer<typeof SERVICE_SCHEMA>;
/** A customer with its keys and limits. */
export type Workspace = z.infer<typeof WORKSPACE_SCHEMA>;
/** The condition of one rule; an absent field matches everything. */
export type RuleMatch = z.infer<typeof RULE_MATCH_SCHEMA>;
/** The decision of a rule that matches: send the request or refuse it. */
export type RuleOutcome = z.infer<typeof RULE_SCHEMA>['then'];
/** The rule outcome that sends a request to upstreams. */
export type SendOutcome = z.infer<typeof SEND_SCHEMA>;
/** A rule: a condition on requests and the outcome for those that meet it. */
export type Rule = z.infer<typeof RULE_SCHEMA>;
/** The list of rules, of which the first match decides. */
export type RuleList = z.infer<typeof RULE_LIST_SCHEMA>;
/** Any object that an operator can publish. */
export type ConfigurationObject = z.infer<typeof CONFIGURATION_OBJECT_SCHEMA>;

/** Returns the key of an object in the configuration, as `kind/name`. */
export function objectKey(
  object: Pick<ConfigurationObject, 'kind' | 'name'>,
): string {
  return `${object.kind}/${object.name}`;
}
