/**
 * The metrics of placement: age of the knowledge, error of the estimates, and
 * how evenly the load is spread.
 */
import type {EngineChoice, LoadStatement} from '@lacewingwinch/decisions';
import type {Metrics} from '@lacewingwinch/observability';

/** The metrics that placement writes. */
export type PlacementMetrics = Pick<
  Metrics,
  'placementErrorSeconds' | 'placementKnowledgeAgeSeconds' | 'upstreamLoadRatio'
>;

/** Records on what knowledge a request was placed. */
export function recordPlacement(
  {placementKnowledgeAgeSeconds}: PlacementMetrics,
  service: string,
  {knowledgeAgeMilliseconds}: EngineChoice,
): void {
  if (knowledgeAgeMilliseconds !== undefined) {
    placementKnowledgeAgeSeconds.observe(
      {service},
      knowledgeAgeMilliseconds / 1000,
    );
  }
}

/** Records the first output of a request, `elapsed` after its placement. */
export function recordFirstOutput(
  {placementErrorSeconds}: PlacementMetrics,
  service: string,
  {estimateMilliseconds, errorMilliseconds}: EngineChoice,
  elapsed: number,
): void {
  if (errorMilliseconds !== undefined) {
    placementErrorSeconds.observe(
      {service},
      Math.abs(elapsed - estimateMilliseconds) / 1000,
    );
  }
}

/** Records how the requests of a shard are spread over its upstreams. */
export function recordLoadSpread(
  {upstreamLoadRatio}: PlacementMetrics,
  service: string,
  loads: readonly Pick<LoadStatement, 'running'>[],
): void {
  const total = loads.reduce((sum, {running}) => sum + running, 0);
  if (total === 0) {
    return;
  }
  const mean = total / loads.length;
  for (const {running} of loads) {
    upstreamLoadRatio.observe({service}, running / mean);
  }
}
