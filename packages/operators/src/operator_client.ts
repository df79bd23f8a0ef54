/**
 * Client of the operator HTTP interface of entry processes.
 */
import {
  CONFIGURATION_RECORD_SCHEMA,
  type SnapshotRecord,
} from '@lacewingwinch/decisions';
import {request} from 'undici';

import type {Explanation} from './explanation.js';
import type {HostStatus} from './operator_messages.js';

const REQUEST_TIMEOUT_MILLISECONDS = 3000;

/** Fetches the status of the entry host with operator address `address`. */
export async function fetchStatus(address: string): Promise<HostStatus> {
  const status = await getJson(address, '/status');
  if (status === undefined) {
    throw new Error(`${address} does not serve /status`);
  }
  return status as HostStatus;
}

/**
 * Fetches the configuration in force at the entry host with operator address
 * `address`.
 */
export async function fetchConfiguration(
  address: string,
): Promise<SnapshotRecord> {
  const record = CONFIGURATION_RECORD_SCHEMA.parse(
    await getJson(address, '/configuration'),
  );
  if (record.type !== 'snapshot') {
    throw new Error(`${address} returned a record that is not a snapshot`);
  }
  return record;
}

/**
 * Fetches the explanation of a request from the entry host with operator
 * address `address`; undefined if that host does not know the request.
 */
export async function fetchExplanation(
  address: string,
  requestId: string,
): Promise<Explanation | undefined> {
  const path = `/explain/${encodeURIComponent(requestId)}`;
  return (await getJson(address, path)) as Explanation | undefined;
}

/** Requests the drain of the entry host with operator address `address`. */
export async function requestDrain(address: string): Promise<void> {
  const answer = await request(`http://${address}/drain`, {
    method: 'POST',
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
  });
  await answer.body.dump();
}

async function getJson(address: string, path: string): Promise<unknown> {
  const answer = await request(`http://${address}${path}`, {
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
  });
  if (answer.statusCode === 404) {
    await answer.body.dump();
    return undefined;
  }
  return answer.body.json();
}
