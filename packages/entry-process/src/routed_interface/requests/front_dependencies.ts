/**
 * What the requests of one entry host share.
 */
import type {
  AnswerMemory,
  ConfirmedValue,
  ListedUpstream,
  RolloutFront,
  RoutingConfiguration,
  ServiceLoadCounter,
  ServiceRetryBudgets,
  UpstreamAnnouncements,
  UsableUpstream,
  VersionContext,
} from '@lacewingwinch/decisions';
import type {EventLog, Metrics} from '@lacewingwinch/observability';
import type {ConnectionPool} from '@lacewingwinch/upstreams';

import type {UpstreamPaths} from '../../paths/upstream_paths.js';
import type {PartTrials} from '../../tasks/part_trials.js';
import type {PartWatch} from '../../tasks/part_watch.js';
import type {Clocks} from '../../util/clocks.js';
import type {QuotaExchange} from '../admission/quota_exchange.js';
import type {AnswerAnnouncements} from '../evidence/answer_announcements.js';
import type {CrashWatch} from '../evidence/crash_watch.js';
import type {UnconfirmedEnds} from '../evidence/unconfirmed_ends.js';
import type {RoutedPlacement} from '../placement/routed_placement.js';
import type {StreamOriginExchange} from '../state/stream_origin_exchange.js';

/** What the front shares with the requests that it serves. */
export interface FrontDependencies {
  readonly clocks: Clocks;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly pool: ConnectionPool;
  readonly placement: RoutedPlacement;
  readonly hostId: string;
  readonly announcements: UpstreamAnnouncements;
  readonly answers: AnswerAnnouncements;
  readonly paths: UpstreamPaths;
  readonly answerMemory: AnswerMemory;
  readonly quotas: QuotaExchange;
  readonly crashes: CrashWatch;
  readonly unconfirmedEnds: UnconfirmedEnds;
  readonly parts: PartWatch;
  readonly partTrials: PartTrials;
  /** Returns whether an upstream ends because it leaves or is reclaimed. */
  readonly isEndExpected: (upstream: UsableUpstream) => boolean;
  readonly streams: StreamOriginExchange;
  /** Returns the present entry of an upstream. */
  readonly listedUpstream: (upstreamId: string) => ListedUpstream | undefined;
  /**
   * Resolves with whether the list holds everything that was listed by a time of the
   * suspension-aware clock, reading the store if it does not yet.
   */
  readonly confirmUpstreams: (time: number) => Promise<boolean>;
  /** Returns true time in milliseconds since the epoch. */
  readonly trueTime: () => number;
  readonly retryBudgets: ServiceRetryBudgets;
  readonly loads: ServiceLoadCounter;
  readonly rollouts: RolloutFront;
  /** Returns the state of this host on which software versions depend. */
  readonly versionContext: (service: string) => VersionContext;
  readonly configuration: () =>
    ConfirmedValue<RoutingConfiguration> | undefined;
  /**
   * Returns the maximum age of the keys in milliseconds; beyond it, no request
   * with a key is served.
   */
  readonly maximumKeyAge: () => number;
  /** Returns whether the list of upstreams is known. */
  readonly isUpstreamListKnown: () => boolean;
  /** Returns whether this host is about to stop and accepts no new requests. */
  readonly isClosing: () => boolean;
  /** Returns the number of entry hosts that share limits and budgets. */
  readonly sharingHostCount: () => number;
  /** Returns the number of failure domains with entry hosts. */
  readonly domainCount: () => number;
  /** Called when a request of `workspace` begins to run. */
  readonly onRunStarted: (workspace: string) => void;
}
