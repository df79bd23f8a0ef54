/**
 * The hosts of the fuzzing, as far as they fail.
 */

/** Hosts of the world. */
export const FUZZ_HOSTS = 3;

/** Which hosts stand still. */
export class FuzzHosts {
  private readonly paused = new Set<number>();

  pause(host: number, isPaused: boolean): void {
    if (isPaused) {
      this.paused.add(host);
    } else {
      this.paused.delete(host);
    }
  }

  isDown(host: number): boolean {
    return host >= FUZZ_HOSTS || this.paused.has(host);
  }
}
