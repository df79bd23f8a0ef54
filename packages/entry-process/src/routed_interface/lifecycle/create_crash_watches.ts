/**
 * The watches for contents and prompt parts that crash upstreams.
 */
import type {Metrics} from '@lacewingwinch/observability';
import type {StoreClient} from '@lacewingwinch/platform';
import type {ConnectionPool} from '@lacewingwinch/upstreams';

import {ProcessProbes} from '../../paths/process_probe.js';
import type {UpstreamPaths} from '../../paths/upstream_paths.js';
import {PartTrials} from '../../tasks/part_trials.js';
import {PartWatch} from '../../tasks/part_watch.js';
import type {Clocks} from '../../util/clocks.js';
import {ContentVerdictStore} from '../evidence/content_verdict_store.js';
import {
  CrashWatch,
  type CrashWatchDependencies,
} from '../evidence/crash_watch.js';
import {PartVerdictStore} from '../evidence/part_verdict_store.js';
import {UnconfirmedEnds} from '../evidence/unconfirmed_ends.js';

/** What the watches share with the other tasks of a host. */
export interface SharedWithWatches extends Pick<
  CrashWatchDependencies,
  'events' | 'hostId' | 'peers' | 'servingHosts' | 'trueTime'
> {
  readonly clocks: Clocks;
  readonly metrics: Metrics;
  readonly paths: UpstreamPaths;
  readonly store: StoreClient;
  readonly pool: ConnectionPool;
}

/** The watches of a host. */
export interface CrashWatches {
  readonly crashes: CrashWatch;
  readonly parts: PartWatch;
  readonly partTrials: PartTrials;
  readonly unconfirmedEnds: UnconfirmedEnds;
}

/** Creates the watches of a host. */
export function createCrashWatches(shared: SharedWithWatches): CrashWatches {
  const {clocks, events, paths, pool, store} = shared;
  const probes = new ProcessProbes(pool);
  const crashes = new CrashWatch({
    ...shared,
    isToBlame: upstream => paths.isUpstreamToBlame(upstream),
    isRunning: process => probes.isRunning(process),
    clock: clocks.steady,
    verdicts: new ContentVerdictStore({store, events}),
  });
  const parts = new PartWatch({
    ...shared,
    random: Math.random,
    verdicts: new PartVerdictStore({store, events}),
    clock: clocks.steady,
    isAlive: upstream => paths.isAlive(upstream),
  });
  const unconfirmedEnds = new UnconfirmedEnds({
    ...shared,
    crashes,
    probe: process => probes.probe(process),
  });
  const partTrials = new PartTrials({...shared, parts});
  return {crashes, parts, partTrials, unconfirmedEnds};
}
