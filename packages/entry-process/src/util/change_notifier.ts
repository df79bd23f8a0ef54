/**
 * A notifier for code that waits for the next change of a state.
 */

import {pause} from './pause.js';

/** Notifies waiting code when a state changes. */
export class ChangeNotifier {
  private resolveNextChange: (() => void) | undefined;
  private nextChange: Promise<void> | undefined;
  private readonly activeWaits = new Set<() => void>();

  /** Resolves at the next `notify`. */
  next(): Promise<void> {
    this.nextChange ??= new Promise(resolve => {
      this.resolveNextChange = resolve;
    });
    return this.nextChange;
  }

  /**
   * Resolves at the next `notify`, after `milliseconds`, or as soon as `signal`
   * aborts. A `Promise.race` with `next` would leak memory: every call would
   * leave a reaction on the promise of `next` until the next `notify`.
   */
  async nextWithin(milliseconds: number, signal: AbortSignal): Promise<void> {
    const controller = new AbortController();
    const end = (): void => controller.abort();
    this.activeWaits.add(end);
    signal.addEventListener('abort', end, {once: true});
    if (signal.aborted) {
      end();
    }
    await pause(milliseconds, controller.signal);
    signal.removeEventListener('abort', end);
    this.activeWaits.delete(end);
  }

  /** Resolves all pending `next` and `nextWithin` calls. */
  notify(): void {
    this.activeWaits.forEach(end => end());
    this.resolveNextChange?.();
    this.resolveNextChange = undefined;
    this.nextChange = undefined;
  }
}
