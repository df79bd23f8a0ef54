/**
 * Continuous reading of a log stream.
 */
import type {EventLog} from '@lacewingwinch/observability';
import type {LogPage, LogService, LogStream} from '@lacewingwinch/platform';

import {isAborted} from '../util/is_aborted.js';
import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';

/** Milliseconds that a read at the tail waits for new records. */
const TAIL_WAIT_MILLISECONDS = 1000;

/** Milliseconds before a failed read is retried. */
const RETRY_DELAY_MILLISECONDS = 250;

/** Consecutive failed reads after which a warning is logged. */
const FAILURES_BEFORE_REPORT = 3;

/** Consumer of a log stream. */
export interface StreamFollower {
  /** Offset of the last record that the follower has taken in. */
  readonly readTo: number;
  /** Processes a page read from offset `readTo` + 1. */
  onPage(page: LogPage): void;
  /** Records whether the last read succeeded; called after every read. */
  setReadable(isReadable: boolean): void;
}

/** Reads `stream` and passes its pages to `follower` until `signal` aborts. */
export async function followStream(
  log: LogService,
  stream: LogStream,
  follower: StreamFollower,
  events: EventLog,
  signal: AbortSignal,
): Promise<void> {
  let failures = 0;
  let isFirst = true;
  while (!signal.aborted) {
    try {
      const wait = isFirst || failures > 0 ? 0 : TAIL_WAIT_MILLISECONDS;
      const page = await log.read(stream, follower.readTo + 1, wait, signal);
      if (failures >= FAILURES_BEFORE_REPORT) {
        events.write(2003, {stream});
      }
      failures = 0;
      isFirst = false;
      follower.setReadable(true);
      follower.onPage(page);
    } catch (error) {
      if (isAborted(signal)) {
        return;
      }
      failures += 1;
      if (failures === FAILURES_BEFORE_REPORT) {
        events.write(2002, {stream, error: messageOf(error)});
      }
      follower.setReadable(false);
      await pause(RETRY_DELAY_MILLISECONDS, signal);
    }
  }
}
