/**
 * The attempts that a connection has carried, for as long as one of them may be sent
 * again.
 */

/** The IDs of attempts that a connection has carried. */
export class CarriedAttempts {
  /** Time at which each attempt must be over, by its ID. */
  private readonly dueTimes = new Map<string, number>();

  /** Returns whether the connection has carried the attempt `attemptId`. */
  has(attemptId: string): boolean {
    return this.dueTimes.has(attemptId);
  }

  /**
   * Records an attempt that must be over at `dueAt`; forgets those that are over by
   * `now`.
   */
  add(attemptId: string, dueAt: number, now: number): void {
    for (const [id, due] of this.dueTimes) {
      if (due > now) {
        break;
      }
      this.dueTimes.delete(id);
    }
    this.dueTimes.set(attemptId, dueAt);
  }
}
