/**
 * What the parts of the front share.
 */
import type {
  Configuration,
  LimitShares,
  Member,
  Quarantine,
  RetryBudget,
} from '@lacewingwinch/decisions';
import type {PeerCaller} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics, Tracing} from '@lacewingwinch/observability';
import type {UpstreamConnections} from '@lacewingwinch/upstreams';

import type {ClaimClient} from '../recovery/claim_client.js';
import type {MembershipTask} from '../tasks/membership_task.js';
import type {PermitClient} from '../tasks/permit_client.js';
import type {UpstreamDirectory} from '../tasks/upstream_directory.js';

/** What the parts of the front share. */
export interface FrontContext {
  readonly hostId: string;
  readonly clock: () => number;
  readonly newId: () => string;
  readonly configuration: () => Configuration;
  readonly membership: MembershipTask;
  readonly directory: UpstreamDirectory;
  readonly permits: PermitClient;
  readonly claims: ClaimClient;
  readonly peers: PeerCaller;
  readonly connections: UpstreamConnections;
  readonly quarantine: Quarantine;
  readonly limits: LimitShares;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly keptAnswerSeconds: number;
  /** Load of a service, 0 when idle. */
  readonly loadOf: (service: string) => number;
  /** The retry budget of a service. */
  readonly retryBudgetOf: (service: string) => RetryBudget;
}

/** The address of `member` for callers, as a base URL. */
export function callerUrlOf(member: Member): string {
  return `http://${member.addresses.callers}`;
}

/** Where `member` answers for a request. */
export function requestUrlAt(member: Member, requestId: string): string {
  return `${callerUrlOf(member)}/v1/requests/${requestId}`;
}
