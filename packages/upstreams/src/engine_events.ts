/**
 * Cache events and load reports of model engines. Both are delayed and may have
 * gaps.
 */
import {z} from 'zod';

import type {UpstreamConnections} from './upstream_connections.js';
import {exchange} from './upstream_exchange.js';

const ENGINE_REPORT_SCHEMA = z
  .object({
    /** Position from which to continue reading. */
    next: z.number(),
    evicted: z.array(z.string()).readonly(),
    running: z.number(),
  })
  .readonly();

/** The events that an engine published from a position on, and its load. */
export type EngineReport = z.infer<typeof ENGINE_REPORT_SCHEMA>;

const REPORT_TIMEOUT_MILLISECONDS = 1000;

/** Reads the report of the engine at `address`, from position `after` on. */
export async function readEngineReport(
  connections: UpstreamConnections,
  address: string,
  after: number,
): Promise<EngineReport> {
  const chunks: Buffer[] = [];
  await exchange(
    connections.persistent,
    `http://${address}`,
    {
      method: 'GET',
      path: `/events?after=${after}`,
      headers: {},
      body: undefined,
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MILLISECONDS),
      canSend: () => true,
    },
    {onHead: () => undefined, onData: chunk => chunks.push(chunk)},
  );
  return ENGINE_REPORT_SCHEMA.parse(
    JSON.parse(Buffer.concat(chunks).toString()),
  );
}
