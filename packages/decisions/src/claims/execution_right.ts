/**
 * The right to execute a non-idempotent request: one object in one process,
 * consumed by the first byte sent to an upstream.
 */

/** Where a right stands. */
export type RightState = 'consumed' | 'destroyed' | 'held';

/** A right that can be used, or given away, at most once. */
export class ExecutionRight {
  private current: RightState = 'held';

  constructor(readonly rightId: string) {}

  /** Where the right stands. */
  get state(): RightState {
    return this.current;
  }

  /** Uses the right; false if it is no longer held. */
  consume(): boolean {
    return this.leaveHeld('consumed');
  }

  /** Destroys the right unused; false if it is no longer held. */
  destroy(): boolean {
    return this.leaveHeld('destroyed');
  }

  private leaveHeld(next: RightState): boolean {
    if (this.current !== 'held') {
      return false;
    }
    this.current = next;
    return true;
  }
}
