/**
 * Ends responses that exceed their limits while the HTTP parser reports no
 * progress, such as a status line without end.
 */
import {hasExcessiveFraming} from '@lacewingwinch/decisions';

/** Milliseconds between two checks for overdue responses. */
const CHECK_PERIOD_MILLISECONDS = 500;

/** A response in progress. */
export interface WatchedResponse {
  /** Time by which the response must be complete. */
  readonly dueAt: number;
  /** Returns the bytes that were parsed so far, including the body. */
  readonly parsedBytes: () => number;
  readonly bodyBytes: () => number;
  /** Ends the response. */
  readonly fail: (reason: string) => void;
}

/** Watches the responses in progress of one process. */
export class ResponseWatch {
  private readonly responses = new Set<WatchedResponse>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly clock: () => number) {}

  /** Watches `response` until `remove` is called. */
  add(response: WatchedResponse): void {
    this.responses.add(response);
    this.timer ??= setInterval(
      () => this.endOverdue(this.clock()),
      CHECK_PERIOD_MILLISECONDS,
    ).unref();
  }

  /** Stops watching `response`. */
  remove(response: WatchedResponse): void {
    this.responses.delete(response);
  }

  /** Stops watching all responses. */
  close(): void {
    this.responses.clear();
    this.stopTimer();
  }

  private endOverdue(now: number): void {
    if (this.responses.size === 0) {
      this.stopTimer();
      return;
    }
    for (const response of this.responses) {
      if (now >= response.dueAt) {
        response.fail('the response was not complete in time');
      }
    }
  }

  private stopTimer(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }
}

/** Ends `response` if it has more bytes than its body can account for. */
export function endIfExcessive(response: WatchedResponse): void {
  if (hasExcessiveFraming(response.parsedBytes(), response.bodyBytes())) {
    response.fail('the response has too many bytes besides its body');
  }
}
