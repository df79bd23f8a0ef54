/**
 * A signal that wakes whoever waits for the next change of a state.
 */

import {pause} from './pause.js';

/** Wakes waiting code when a state changes. */
export class Signal {
  private wake: (() => void) | undefined;
  private waiting: Promise<void> | undefined;
  private readonly pauses = new Set<() => void>();

  /** Resolves at the next `notify`. */
  next(): Promise<void> {
    this.waiting ??= new Promise(resolve => {
      this.wake = resolve;
    });
    return this.waiting;
  }

  /**
   * Resolves at the next `notify`, after `milliseconds`, or as soon as `signal`
   * aborts. A race with `next` would keep a part of every round until `notify`.
   */
  async nextWithin(milliseconds: number, signal: AbortSignal): Promise<void> {
    const ended = new AbortController();
    const end = (): void => ended.abort();
    this.pauses.add(end);
    signal.addEventListener('abort', end, {once: true});
    if (signal.aborted) {
      end();
    }
    await pause(milliseconds, ended.signal);
    signal.removeEventListener('abort', end);
    this.pauses.delete(end);
  }

  /** Wakes everyone who waits. */
  notify(): void {
    this.pauses.forEach(end => end());
    this.wake?.();
    this.wake = undefined;
    this.waiting = undefined;
  }
}
