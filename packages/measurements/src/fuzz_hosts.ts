/**
 * Availability of the simulated hosts in the fuzzing.
 */

/** Number of simulated hosts. */
export const FUZZ_HOST_COUNT = 3;

/** Tracks which hosts are suspended. */
export class FuzzHosts {
  private readonly suspended = new Set<number>();

  /** Suspends or resumes `host`. */
  setSuspended(host: number, isSuspended: boolean): void {
    if (isSuspended) {
      this.suspended.add(host);
    } else {
      this.suspended.delete(host);
    }
  }

  /** Returns whether `host` is suspended or does not exist. */
  isUnavailable(host: number): boolean {
    return host >= FUZZ_HOST_COUNT || this.suspended.has(host);
  }
}
