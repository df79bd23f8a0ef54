/**
 * The ways from a host to its upstreams.
 */
import type {UpstreamList} from '@lacewingwinch/decisions';
import {canConnect, type ConnectionPool} from '@lacewingwinch/upstreams';

import {
  UpstreamPaths,
  type UpstreamPathsDependencies,
} from '../../paths/upstream_paths.js';
import type {Clocks} from '../../util/clocks.js';

/** Milliseconds within which an upstream that lives accepts a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** What the ways share with the other tasks of a host. */
export interface SharedWithPaths extends Pick<
  UpstreamPathsDependencies,
  | 'events'
  | 'failureDomain'
  | 'metrics'
  | 'onCutOffChange'
  | 'otherHosts'
  | 'peers'
> {
  readonly clocks: Clocks;
  readonly pool: ConnectionPool;
  readonly upstreams: UpstreamList;
}

/** Creates the ways of a host. */
export function createUpstreamPaths(shared: SharedWithPaths): UpstreamPaths {
  const {clocks, pool, upstreams} = shared;
  return new UpstreamPaths({
    ...shared,
    clock: clocks.steady,
    random: Math.random,
    addressOf: upstreamId => upstreams.find(upstreamId)?.address,
    listedStarts: () => upstreams.all(),
    canConnect: address => canConnect(address, CONNECT_TIMEOUT_MILLISECONDS),
    closeIdle: address =>
      address === undefined ? pool.closeAllIdle() : pool.closeIdle(address),
  });
}
