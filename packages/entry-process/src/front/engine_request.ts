/**
 * Headers and bodies of the requests sent to upstreams.
 */
import {isRecord} from '@lacewingwinch/decisions';
import type {BackupCopy} from '@lacewingwinch/entry-hosts';
import type {ResumePoint} from '@lacewingwinch/upstreams';

import type {ServedRequest} from './served_request.js';

/**
 * Priority of the most urgent requests. Engines use the opposite order, in
 * which 0 is the most urgent.
 */
const HIGHEST_PRIORITY = 9;

/** Returns the headers of one attempt. */
export function upstreamHeaders(
  copy: BackupCopy,
  attemptId: string,
  traceparent: string | undefined,
): Readonly<Record<string, string>> {
  return {
    'content-type': copy.contentType,
    'x-request-id': copy.requestId,
    'x-attempt-id': attemptId,
    ...(copy.key === '' ? {} : {'idempotency-key': clientKeyOf(copy.key)}),
    ...(traceparent === undefined ? {} : {traceparent}),
  };
}

/**
 * Returns the request body for an engine. It always requests a stream, which
 * begins at `resume` if that is given.
 */
export function engineBody(
  request: ServedRequest,
  model: string | undefined,
  resume: ResumePoint | undefined,
): Buffer {
  const parsed: unknown = JSON.parse(request.body.toString());
  const document = isRecord(parsed) ? parsed : {};
  return Buffer.from(
    JSON.stringify({
      ...document,
      stream: true,
      priority: HIGHEST_PRIORITY - request.copy.priority,
      ...(model === undefined ? {} : {model}),
      ...(resume === undefined ? {} : {resume_from: resume}),
    }),
  );
}

/** Returns the idempotency key that the client sent, taken from a claim key. */
export function clientKeyOf(claimKey: string): string {
  return claimKey.split('/').slice(2).join('/');
}

/** Returns the claim key: workspace, service and idempotency key. */
export function claimKeyOf(
  workspace: string,
  service: string,
  key: string,
): string {
  return `${workspace}/${service}/${key}`;
}
