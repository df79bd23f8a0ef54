/**
 * The metrics server of a process on the platform, on its own port.
 */
import type {Server} from 'node:http';

import {
  type ClientBounds,
  type DirectoryAnswer,
  listenForDirectory,
} from '@lacewingwinch/callers';
import type {Metrics} from '@lacewingwinch/observability';

import type {Clocks} from '../../util/clocks.js';
import type {ConfigurationFollower} from '../state/configuration_follower.js';
import type {UpstreamFollower} from '../state/upstream_follower.js';

const METRICS_PATH = '/metrics';

/** Sources that are read for each request for metrics. */
export interface MetricsSources {
  readonly metrics: Metrics;
  readonly clocks: Clocks;
  readonly configuration: ConfigurationFollower;
  readonly upstreams: UpstreamFollower;
  readonly isHoldingDuties: () => boolean;
}

/** Starts the metrics server at `address`. */
export function listenForMetrics(
  address: string,
  bounds: ClientBounds,
  sources: MetricsSources,
  onUnexpectedError: (error: unknown) => void,
): Promise<Server> {
  return listenForDirectory({
    name: 'metrics',
    address,
    bounds,
    handler: (_method, target) =>
      target === METRICS_PATH
        ? renderMetrics(sources)
        : {status: 404, body: '{}'},
    onUnexpectedError,
  });
}

async function renderMetrics(
  sources: MetricsSources,
): Promise<DirectoryAnswer> {
  const {metrics, clocks, configuration, upstreams} = sources;
  const now = clocks.suspensionAware();
  const confirmedAtByState = {
    configuration: configuration.current?.confirmedAt,
    upstreams: upstreams.confirmedAt,
  };
  for (const [state, confirmedAt] of Object.entries(confirmedAtByState)) {
    const age = (now - (confirmedAt ?? -Infinity)) / 1000;
    metrics.stateAgeSeconds.set({belief: state}, age);
  }
  metrics.dutiesHeld.set(sources.isHoldingDuties() ? 1 : 0);
  const {registry} = metrics;
  return {
    status: 200,
    body: await registry.metrics(),
    contentType: registry.contentType,
  };
}
