/**
 * Calls of operators to the admin HTTP surface of entry processes.
 */
import {
  CONFIGURATION_RECORD_SCHEMA,
  type SnapshotRecord,
} from '@lacewingwinch/decisions';
import {request} from 'undici';

import type {Explanation} from './explanation.js';
import type {HostStatus} from './operator_messages.js';

const TIMEOUT_MILLISECONDS = 3000;

/** The status of the entry host whose operator address is `address`. */
export async function fetchStatus(address: string): Promise<HostStatus> {
  const status = await getJson(address, '/status');
  if (status === undefined) {
    throw new Error(`${address} has no status`);
  }
  return status as HostStatus;
}

/** The configuration in force at `address`. */
export async function fetchConfiguration(
  address: string,
): Promise<SnapshotRecord> {
  const record = CONFIGURATION_RECORD_SCHEMA.parse(
    await getJson(address, '/configuration'),
  );
  if (record.type !== 'snapshot') {
    throw new Error(`${address} answered with another record`);
  }
  return record;
}

/** The explanation of a request, if the host at `address` knows it. */
export async function fetchExplanation(
  address: string,
  requestId: string,
): Promise<Explanation | undefined> {
  const path = `/explain/${encodeURIComponent(requestId)}`;
  return (await getJson(address, path)) as Explanation | undefined;
}

/** Asks the entry host at `address` to leave. */
export async function requestDrain(address: string): Promise<void> {
  const answer = await request(`http://${address}/drain`, {
    method: 'POST',
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
  });
  await answer.body.dump();
}

async function getJson(address: string, path: string): Promise<unknown> {
  const answer = await request(`http://${address}${path}`, {
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
  });
  if (answer.statusCode === 404) {
    await answer.body.dump();
    return undefined;
  }
  return answer.body.json();
}
