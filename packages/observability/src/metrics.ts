/**
 * The metrics that an entry process exports to Prometheus.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const DURATION_BUCKETS_SECONDS = [
  0.001, 0.003, 0.01, 0.03, 0.1, 0.32, 1, 3, 10, 30, 100,
];

/** The metrics of one entry process, and the registry that holds them. */
export interface Metrics {
  readonly registry: Registry;
  readonly requests: Counter<'outcome' | 'service' | 'workspace'>;
  readonly admissionPromotions: Counter<'rank' | 'service'>;
  readonly admissionRefusals: Counter<'rank' | 'reason' | 'service'>;
  readonly admissionReturns: Counter<
    'outcome' | 'rank' | 'returned' | 'service'
  >;
  readonly admissionStartSeconds: Histogram<'rank' | 'service'>;
  readonly placementKnowledgeAgeSeconds: Histogram<'service'>;
  readonly placementErrorSeconds: Histogram<'service'>;
  readonly upstreamLoadRatio: Histogram<'service'>;
  readonly attempts: Counter<'end' | 'service'>;
  readonly answerEnds: Counter<'end' | 'framing'>;
  readonly lostConnections: Counter<'answer'>;
  readonly upstreamLimits: Gauge<'upstream'>;
  readonly brittleUpstreams: Gauge<'upstream'>;
  readonly cutOff: Gauge;
  readonly relayedAttempts: Counter<'result'>;
  readonly carriedAttempts: Counter<'end'>;
  readonly quarantinedParts: Gauge;
  readonly firstByteSeconds: Histogram<'service'>;
  readonly permitWaitSeconds: Histogram<'service'>;
  readonly recomputedTokens: Counter<'cause'>;
  readonly requestsInProgress: Gauge;
  readonly backupsHeld: Gauge;
  readonly configurationVersion: Gauge;
  readonly claims: Counter<'verdict'>;
  readonly members: Gauge<'status'>;
  readonly stateAgeSeconds: Gauge<'belief'>;
  readonly dutiesHeld: Gauge;
  readonly engines: Gauge<
    'failure_domain' | 'host_class' | 'service' | 'state'
  >;
  readonly engineOrders: Counter<
    'failure_domain' | 'host_class' | 'result' | 'service'
  >;
  readonly clientRefusals: Counter<'reason' | 'server'>;
  readonly storeCalls: Counter<'call' | 'end'>;
  readonly rolloutShare: Gauge<'service' | 'version'>;
  readonly versionResults: Counter<'result' | 'service' | 'version'>;
}

/** Creates the metrics of one entry process in a registry of their own. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  registerProcessMetrics(registry);
  return {
    registry,
    requests: new Counter({
      name: 'lacewingwinch_requests_total',
      help: 'Requests answered, by outcome: `answered` or an error kind.',
      labelNames: ['outcome', 'service', 'workspace'],
      registers,
    }),
    admissionPromotions: new Counter({
      name: 'lacewingwinch_admission_promotions_total',
      help: 'Requests sent as the most urgent ones because requests like them were refused several times in a row, by their own rank.',
      labelNames: ['rank', 'service'],
      registers,
    }),
    admissionRefusals: new Counter({
      name: 'lacewingwinch_admission_refusals_total',
      help: 'Requests refused because a service is overloaded, by rank (0 is the most urgent) and reason: `deadline`, `held-back`, `late` or `share`.',
      labelNames: ['rank', 'reason', 'service'],
      registers,
    }),
    admissionReturns: new Counter({
      name: 'lacewingwinch_admission_returns_total',
      help: 'Requests that came again after a refusal, by rank, by whether they came `at-place`, `early` or `without-place`, and by whether they were `admitted` or `refused`.',
      labelNames: ['outcome', 'rank', 'returned', 'service'],
      registers,
    }),
    admissionStartSeconds: new Histogram({
      name: 'lacewingwinch_admission_start_seconds',
      help: 'Seconds until the first event that were expected of admitted requests, by rank.',
      labelNames: ['rank', 'service'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    }),
    placementKnowledgeAgeSeconds: new Histogram({
      name: 'lacewingwinch_placement_knowledge_age_seconds',
      help: 'Age of the loads by which requests of this host were placed, where load is spread by its expected value.',
      labelNames: ['service'],
      buckets: [0.05, 0.1, 0.5, 1, 2, 4],
      registers,
    }),
    placementErrorSeconds: new Histogram({
      name: 'lacewingwinch_placement_error_seconds',
      help: 'Difference between the first output that was expected at the placement and the real one.',
      labelNames: ['service'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    }),
    upstreamLoadRatio: new Histogram({
      name: 'lacewingwinch_upstream_load_ratio',
      help: 'Requests in progress at each upstream as a multiple of the mean of its shard, once a second at the dispatcher.',
      labelNames: ['service'],
      buckets: [0, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3, 5],
      registers,
    }),
    attempts: new Counter({
      name: 'lacewingwinch_attempts_total',
      help: 'Attempts at upstreams, by how they ended.',
      labelNames: ['end', 'service'],
      registers,
    }),
    answerEnds: new Counter({
      name: 'lacewingwinch_answer_ends_total',
      help: 'Answers of upstreams that ended without an error of the connection, by framing and by whether they ended after an event or inside one.',
      labelNames: ['end', 'framing'],
      registers,
    }),
    lostConnections: new Counter({
      name: 'lacewingwinch_lost_connections_total',
      help: 'Connections to upstreams that ended without an answer, by whether the answer had begun.',
      labelNames: ['answer'],
      registers,
    }),
    upstreamLimits: new Gauge({
      name: 'lacewingwinch_upstream_limit',
      help: 'Requests per second that an upstream takes from all hosts together, while it names a limit.',
      labelNames: ['upstream'],
      registers,
    }),
    brittleUpstreams: new Gauge({
      name: 'lacewingwinch_brittle_upstream',
      help: 'Requests per second that an upstream may turn away, while it says that it falls over otherwise.',
      labelNames: ['upstream'],
      registers,
    }),
    cutOff: new Gauge({
      name: 'lacewingwinch_cut_off',
      help: 'Whether this host reaches no upstream over its own links, 0 or 1.',
      registers,
    }),
    relayedAttempts: new Counter({
      name: 'lacewingwinch_relayed_attempts_total',
      help: 'Attempts that another host was to carry, by what became of them.',
      labelNames: ['result'],
      registers,
    }),
    carriedAttempts: new Counter({
      name: 'lacewingwinch_carried_attempts_total',
      help: 'Attempts that this host carried for others, by how they ended.',
      labelNames: ['end'],
      registers,
    }),
    quarantinedParts: new Gauge({
      name: 'lacewingwinch_quarantined_parts',
      help: 'Prompt parts whose requests are refused because upstreams crashed under them.',
      registers,
    }),
    firstByteSeconds: new Histogram({
      name: 'lacewingwinch_first_byte_seconds',
      help: 'Seconds from a request to the first byte of its answer.',
      labelNames: ['service'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    }),
    permitWaitSeconds: new Histogram({
      name: 'lacewingwinch_permit_wait_seconds',
      help: 'Seconds that a permit was waited for.',
      labelNames: ['service'],
      buckets: DURATION_BUCKETS_SECONDS,
      registers,
    }),
    recomputedTokens: new Counter({
      name: 'lacewingwinch_recomputed_tokens_total',
      help: 'Tokens computed again because earlier work was lost, by cause.',
      labelNames: ['cause'],
      registers,
    }),
    requestsInProgress: new Gauge({
      name: 'lacewingwinch_requests_in_progress',
      help: 'Requests accepted and not yet answered.',
      registers,
    }),
    backupsHeld: new Gauge({
      name: 'lacewingwinch_backups_held',
      help: 'Backup copies held for other entry hosts.',
      registers,
    }),
    configurationVersion: new Gauge({
      name: 'lacewingwinch_configuration_version',
      help: 'Offset of the last configuration change in force.',
      registers,
    }),
    claims: new Counter({
      name: 'lacewingwinch_claims_total',
      help: 'Claims of non-idempotent requests, by verdict.',
      labelNames: ['verdict'],
      registers,
    }),
    members: new Gauge({
      name: 'lacewingwinch_members',
      help: 'Entry hosts known, by status.',
      labelNames: ['status'],
      registers,
    }),
    stateAgeSeconds: new Gauge({
      name: 'lacewingwinch_belief_age_seconds',
      help: 'Seconds since a belief was last known to be the newest.',
      labelNames: ['belief'],
      registers,
    }),
    dutiesHeld: new Gauge({
      name: 'lacewingwinch_duties_held',
      help: 'Whether this process holds the duties, 0 or 1.',
      registers,
    }),
    engines: new Gauge({
      name: 'lacewingwinch_engines',
      help: 'Engines at the holder of the duties, by service, failure domain, class (`reclaimable` or `on-demand`) and state: `wanted`, `ordered` (last accepted order) or `there`.',
      labelNames: ['failure_domain', 'host_class', 'service', 'state'],
      registers,
    }),
    engineOrders: new Counter({
      name: 'lacewingwinch_engine_orders_total',
      help: 'Orders of engines, by service, failure domain, class and result: `accepted`, `refused` or `unavailable`.',
      labelNames: ['failure_domain', 'host_class', 'result', 'service'],
      registers,
    }),
    clientRefusals: new Counter({
      name: 'lacewingwinch_client_refusals_total',
      help: 'Clients refused or disconnected for the sake of others, by server and reason: `connection-closed`, `connection-refused`, `request-refused`, `request-unfinished`, `requests-ahead` or `response-untaken`.',
      labelNames: ['reason', 'server'],
      registers,
    }),
    storeCalls: new Counter({
      name: 'lacewingwinch_store_calls_total',
      help: 'Calls to the store, by kind and by how they ended.',
      labelNames: ['call', 'end'],
      registers,
    }),
    rolloutShare: new Gauge({
      name: 'lacewingwinch_rollout_share',
      help: 'Share of the requests of a service that a roll-out assigns to the new software version, at the host that decides.',
      labelNames: ['service', 'version'],
      registers,
    }),
    versionResults: new Counter({
      name: 'lacewingwinch_version_results_total',
      help: 'Results of attempts during a roll-out, by software version.',
      labelNames: ['result', 'service', 'version'],
      registers,
    }),
  };
}

/**
 * Registers the processor time and the memory of this process. The default
 * metrics of prom-client are not used: they sample the event loop a hundred
 * times a second, which costs an idle process more than all its other work.
 */
function registerProcessMetrics(registry: Registry): void {
  const registers = [registry];
  new Gauge({
    name: 'lacewingwinch_processor_seconds',
    help: 'Processor time that the process has used, in seconds.',
    registers,
    collect() {
      const {user, system} = process.cpuUsage();
      this.set((user + system) / MICROSECONDS_PER_SECOND);
    },
  });
  new Gauge({
    name: 'lacewingwinch_resident_bytes',
    help: 'Resident memory of the process, in bytes.',
    registers,
    collect() {
      this.set(process.memoryUsage.rss());
    },
  });
}

const MICROSECONDS_PER_SECOND = 1_000_000;
