/**
 * Dependencies that the classes of the front have in common.
 */
import type {
  Configuration,
  LimitShares,
  Member,
  Quarantine,
  RetryBudget,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics, Tracing} from '@lacewingwinch/observability';
import type {UpstreamConnections} from '@lacewingwinch/upstreams';

import type {UpstreamPaths} from '../paths/upstream_paths.js';
import type {ClaimClient} from '../recovery/claim_client.js';
import type {MembershipTask} from '../tasks/membership_task.js';
import type {PartWatch} from '../tasks/part_watch.js';
import type {PermitClient} from '../tasks/permit_client.js';
import type {UpstreamDirectory} from '../tasks/upstream_directory.js';

/** Dependencies that the classes of the front have in common. */
export interface FrontContext {
  readonly hostId: string;
  /** Returns the time, in milliseconds since the epoch. */
  readonly clock: () => number;
  /** Returns a new unique id. */
  readonly newId: () => string;
  readonly configuration: () => Configuration;
  readonly membership: MembershipTask;
  readonly directory: UpstreamDirectory;
  readonly permits: PermitClient;
  readonly claims: ClaimClient;
  readonly peers: PeerClient;
  readonly connections: UpstreamConnections;
  readonly paths: UpstreamPaths;
  readonly quarantine: Quarantine;
  /** Messages under which upstreams crash, whatever else a request holds. */
  readonly parts: PartWatch;
  readonly limits: LimitShares;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  /** Seconds for which responses can be fetched again. */
  readonly keptAnswerSeconds: number;
  /** Returns the load of a service, 0 when idle. */
  readonly loadOf: (service: string) => number;
  /** Returns the retry budget of a service. */
  readonly retryBudgetOf: (service: string) => RetryBudget;
}

/** Returns the base URL at which `member` serves clients. */
export function clientUrlOf(member: Member): string {
  return `http://${member.addresses.callers}`;
}

/** Returns the URL at which `member` returns the response to a request. */
export function requestUrlAt(member: Member, requestId: string): string {
  return `${clientUrlOf(member)}/v1/requests/${requestId}`;
}
