/**
 * A signal that wakes whoever waits for the next change of a state.
 */

/** Wakes waiting code when a state changes. */
export class Signal {
  private wake: (() => void) | undefined;
  private waiting: Promise<void> | undefined;

  /** Resolves at the next `notify`. */
  next(): Promise<void> {
    this.waiting ??= new Promise(resolve => {
      this.wake = resolve;
    });
    return this.waiting;
  }

  /** Wakes everyone who waits. */
  notify(): void {
    this.wake?.();
    this.wake = undefined;
    this.waiting = undefined;
  }
}
