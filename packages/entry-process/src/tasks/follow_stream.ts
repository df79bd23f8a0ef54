/**
 * Following of a log stream.
 */
import type {EventLog} from '@lacewingwinch/observability';
import type {LogPage, LogService, LogStream} from '@lacewingwinch/platform';

import {isAborted} from '../util/is_aborted.js';
import {messageOf} from '../util/message_of.js';
import {pause} from '../util/pause.js';

/** Milliseconds that a read waits at the tail. */
const WAIT_MILLISECONDS = 1000;

/** Milliseconds before a failed read is tried again. */
const RETRY_MILLISECONDS = 250;

/** Failed reads in a row before an operator is told. */
const FAILURES_TO_REPORT = 3;

/** What follows a stream. */
export interface StreamFollower {
  /** Offset of the last record that the follower has. */
  readonly readTo: number;
  /** Takes a page read from `readTo` + 1. */
  onPage(page: LogPage): void;
  /** Is told whether the stream can be read. */
  onReadable(isReadable: boolean): void;
}

/** Reads `stream` into `follower` until `signal` aborts. */
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
      const wait = isFirst || failures > 0 ? 0 : WAIT_MILLISECONDS;
      const page = await log.read(stream, follower.readTo + 1, wait, signal);
      if (failures >= FAILURES_TO_REPORT) {
        events.write(2003, {stream});
      }
      failures = 0;
      isFirst = false;
      follower.onReadable(true);
      follower.onPage(page);
    } catch (error) {
      if (isAborted(signal)) {
        return;
      }
      failures += 1;
      if (failures === FAILURES_TO_REPORT) {
        events.write(2002, {stream, error: messageOf(error)});
      }
      follower.onReadable(false);
      await pause(RETRY_MILLISECONDS, signal);
    }
  }
}
