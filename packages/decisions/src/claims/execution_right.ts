/**
 * The right to execute a non-idempotent request. It exists as one object in one
 * process and is consumed when the first byte is sent to an upstream, or to another
 * host that sends it there.
 */

/** The state of an execution right. */
export type RightState = 'consumed' | 'destroyed' | 'held';

/** A right that can be consumed or destroyed, but only once. */
export class ExecutionRight {
  private currentState: RightState = 'held';

  constructor(readonly rightId: string) {}

  /** The current state of the right. */
  get state(): RightState {
    return this.currentState;
  }

  /** Consumes the right; returns false if it is no longer held. */
  consume(): boolean {
    return this.transitionTo('consumed');
  }

  /** Holds a consumed right again, of which no byte was sent to an upstream. */
  restore(): void {
    if (this.currentState === 'consumed') {
      this.currentState = 'held';
    }
  }

  /** Destroys the unused right; returns false if it is no longer held. */
  destroy(): boolean {
    return this.transitionTo('destroyed');
  }

  private transitionTo(next: RightState): boolean {
    if (this.currentState !== 'held') {
      return false;
    }
    this.currentState = next;
    return true;
  }
}
