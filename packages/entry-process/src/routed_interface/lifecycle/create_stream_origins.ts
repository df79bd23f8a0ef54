/**
 * What a host needs to continue streams at the software version that began them.
 */
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';
import type {StoreClient} from '@lacewingwinch/platform';

import type {Clocks} from '../../util/clocks.js';
import type {FleetView} from '../state/fleet_view.js';
import {StreamOriginExchange} from '../state/stream_origin_exchange.js';
import {StreamOriginStore} from '../state/stream_origin_store.js';
import type {UpstreamFollower} from '../state/upstream_follower.js';
import {VersionRecorder} from '../state/version_recorder.js';

/** What it shares with the other tasks of a host. */
export interface SharedWithStreamOrigins {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly clocks: Clocks;
  readonly store: StoreClient;
  readonly upstreams: UpstreamFollower;
  /** Returns the other entry hosts. */
  readonly fleet: () => FleetView;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
}

/** Creates the origins of streams and the histories of software versions. */
export function createStreamOrigins(shared: SharedWithStreamOrigins): {
  readonly streams: StreamOriginExchange;
  readonly versions: VersionRecorder;
} {
  const {upstreams, fleet, clocks} = shared;
  const storeReaders = (): readonly string[] => fleet().storeReaders();
  const stored = new StreamOriginStore({
    ...shared,
    hostCount: () => fleet().servingIds().length,
  });
  const streams = new StreamOriginExchange({
    ...shared,
    stored,
    storeReaders,
    servingHosts: () => fleet().servingHosts(),
    versions: upstreams.list.versions,
    confirmVersions: time => upstreams.confirmSince(time),
    clock: clocks.suspensionAware,
  });
  const versions = new VersionRecorder({
    ...shared,
    storeReaders,
    versions: upstreams.list.versions,
    listed: () => (upstreams.isKnown ? upstreams.list.all() : undefined),
    listReadTo: () => upstreams.readTo,
    isKeptByAllHosts: () => fleet().areVersionHistoriesKept(),
    onRestored: era => {
      streams.storeAmbiguous();
      stored.onEra(era);
    },
  });
  return {streams, versions};
}
