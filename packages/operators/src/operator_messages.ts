/**
 * Messages of the operator HTTP interface of an entry process.
 */
import type {
  Member,
  PublishOutcome,
  SnapshotRecord,
  UpstreamLoad,
} from '@lacewingwinch/decisions';

import type {Explanation} from './explanation.js';

/** The state of a shard at its dispatcher. */
export interface ShardStatus {
  readonly shardId: string;
  readonly queueLength: number;
  readonly upstreams: readonly UpstreamLoad[];
}

/** The status that an entry host reports about itself. */
export interface HostStatus {
  readonly hostId: string;
  readonly status: Member['status'];
  readonly isReady: boolean;
  readonly configurationVersion: number;
  readonly configurationReadTo: number;
  readonly isLogReadable: boolean;
  readonly requestsInProgress: number;
  readonly backupsHeld: number;
  readonly members: readonly Member[];
  readonly shards: readonly ShardStatus[];
  readonly leavingUpstreams: readonly string[];
}

/** Handler of the requests to the operator HTTP interface. */
export interface OperatorHandler {
  /** Returns the metrics in the Prometheus text format. */
  metrics(): Promise<string>;
  isReady(): boolean;
  status(): HostStatus;
  configuration(): SnapshotRecord;
  outcome(publishId: string): PublishOutcome | undefined;
  explain(requestId: string): Explanation | undefined;
  drain(): void;
}
