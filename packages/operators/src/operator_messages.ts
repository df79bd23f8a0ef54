/**
 * Messages between operators and an entry process.
 */
import type {
  Member,
  PublishOutcome,
  SnapshotRecord,
  UpstreamLoad,
} from '@lacewingwinch/decisions';

import type {Explanation} from './explanation.js';

/** State of one shard at its dispatcher. */
export interface ShardStatus {
  readonly shardId: string;
  readonly queueLength: number;
  readonly upstreams: readonly UpstreamLoad[];
}

/** What an entry host reports of itself. */
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

/** Serves what the operator HTTP surface has read. */
export interface OperatorHandler {
  /** Metrics in the text format of Prometheus. */
  metrics(): Promise<string>;
  isReady(): boolean;
  status(): HostStatus;
  configuration(): SnapshotRecord;
  outcome(publishId: string): PublishOutcome | undefined;
  explain(requestId: string): Explanation | undefined;
  drain(): void;
}
