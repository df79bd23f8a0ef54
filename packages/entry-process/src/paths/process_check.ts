/**
 * The check that a connection leads to a certain process of an upstream. Another
 * process may have started under the same id since the upstream listed itself.
 */
import {
  decodeReportedStart,
  UPSTREAM_REPORT_PATH,
} from '@lacewingwinch/platform';
import type {ConnectionCheck} from '@lacewingwinch/upstreams';

/** Milliseconds to wait for a report, which needs no slot of the upstream. */
const REPORT_MILLISECONDS = 300;

const SUCCESS_STATUS = 200;

/** The process of an upstream to which a request may be sent. */
export interface RequiredProcess {
  /** Start of the process, in milliseconds since the epoch. */
  readonly start: number;
  /** Whether a process that does not report its start gets the request as well. */
  readonly isReportOptional: boolean;
}

/** Returns the check for a process. */
export function createProcessCheck({
  start,
  isReportOptional,
}: RequiredProcess): ConnectionCheck {
  return {
    path: UPSTREAM_REPORT_PATH,
    maximumMilliseconds: REPORT_MILLISECONDS,
    readStart: ({status}, body) =>
      status === SUCCESS_STATUS ? decodeReportedStart(body) : undefined,
    requiredStart: start,
    isOptional: isReportOptional,
  };
}
