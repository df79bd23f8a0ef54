/**
 * Requests to upstreams, made from accepted requests.
 */
import {isRecord} from '@lacewingwinch/decisions';
import type {BackupCopy} from '@lacewingwinch/entry-hosts';
import type {ResumePoint} from '@lacewingwinch/upstreams';

import type {ServedRequest} from './served_request.js';

/** Highest priority of a request; engines count the other way round. */
const HIGHEST_PRIORITY = 9;

/** Headers of one attempt. */
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

/** The body for an engine: always streamed, resumed where needed. */
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

/** The idempotency key as the caller gave it. */
export function clientKeyOf(claimKey: string): string {
  return claimKey.split('/').slice(2).join('/');
}

/** The key of a claim: workspace, service and idempotency key. */
export function claimKeyOf(
  workspace: string,
  service: string,
  key: string,
): string {
  return `${workspace}/${service}/${key}`;
}
