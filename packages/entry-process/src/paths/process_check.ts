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

/** Returns the check for the process that started at `bornAt`. */
export function createProcessCheck(bornAt: number): ConnectionCheck {
  return {
    path: UPSTREAM_REPORT_PATH,
    maximumMilliseconds: REPORT_MILLISECONDS,
    isMet: ({status}, body) =>
      status === SUCCESS_STATUS && decodeReportedStart(body) === bornAt,
    failure: `the process that started at ${bornAt} does not answer`,
  };
}
