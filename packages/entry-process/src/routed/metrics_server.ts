/**
 * The metrics of a process on the platform, at a port of their own.
 */
import type {Server} from 'node:http';

import {type DirectoryAnswer, listenForDirectory} from '@lacewingwinch/callers';
import type {Metrics} from '@lacewingwinch/observability';

import type {Clocks} from './clocks.js';
import type {ConfigurationFollower} from './configuration_follower.js';
import type {UpstreamFollower} from './upstream_follower.js';

const PATH = '/metrics';

/** What is read at each look at the metrics. */
export interface MetricsSources {
  readonly metrics: Metrics;
  readonly clocks: Clocks;
  readonly configuration: ConfigurationFollower;
  readonly upstreams: UpstreamFollower;
  readonly isHoldingDuties: () => boolean;
}

/** Serves the metrics at `address`. */
export function listenForMetrics(
  address: string,
  sources: MetricsSources,
  onUnexpected: (error: unknown) => void,
): Promise<Server> {
  return listenForDirectory(
    address,
    (_method, target) =>
      target === PATH ? read(sources) : {status: 404, body: '{}'},
    onUnexpected,
  );
}

async function read(sources: MetricsSources): Promise<DirectoryAnswer> {
  const {metrics, clocks, configuration, upstreams} = sources;
  const now = clocks.counting();
  const confirmed = {
    configuration: configuration.current?.confirmedAt,
    upstreams: upstreams.confirmedAt,
  };
  for (const [belief, confirmedAt] of Object.entries(confirmed)) {
    const age = (now - (confirmedAt ?? -Infinity)) / 1000;
    metrics.beliefAgeSeconds.set({belief}, age);
  }
  metrics.dutiesHeld.set(sources.isHoldingDuties() ? 1 : 0);
  const {registry} = metrics;
  return {
    status: 200,
    body: await registry.metrics(),
    contentType: registry.contentType,
  };
}
