/**
 * Cache events and load reports of model engines. Both lag and have gaps.
 */
import {z} from 'zod';

import type {UpstreamConnections} from './upstream_connections.js';
import {exchange} from './upstream_exchange.js';

const EVENTS_SCHEMA = z
  .object({
    /** Where to read on. */
    next: z.number(),
    evicted: z.array(z.string()).readonly(),
    running: z.number(),
  })
  .readonly();

/** What an engine published since a position. */
export type EngineReport = z.infer<typeof EVENTS_SCHEMA>;

const TIMEOUT_MILLISECONDS = 1000;

/** Reads what the engine at `address` published after position `after`. */
export async function readEngineReport(
  connections: UpstreamConnections,
  address: string,
  after: number,
): Promise<EngineReport> {
  const chunks: Buffer[] = [];
  await exchange(
    connections.kept,
    `http://${address}`,
    {
      method: 'GET',
      path: `/events?after=${after}`,
      headers: {},
      body: undefined,
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      mayBeSent: () => true,
    },
    {onHead: () => undefined, onData: chunk => chunks.push(chunk)},
  );
  return EVENTS_SCHEMA.parse(JSON.parse(Buffer.concat(chunks).toString()));
}
