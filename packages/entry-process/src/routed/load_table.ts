/**
 * The work that this host has under way at each upstream.
 */
import type {PlacementLoad} from '@lacewingwinch/decisions';

const NO_LOAD: PlacementLoad = {running: 0, waitingTokens: 0};

/** Requests in progress and prompt tokens not yet read, by upstream. */
export class LoadTable {
  private readonly loads = new Map<string, PlacementLoad>();

  /** The own load of `upstreamId`. */
  loadOf(upstreamId: string): PlacementLoad {
    return this.loads.get(upstreamId) ?? NO_LOAD;
  }

  /** Every upstream with own work under way. */
  all(): ReadonlyMap<string, PlacementLoad> {
    return this.loads;
  }

  /** Adds to the load of `upstreamId`; negative figures take away. */
  add(upstreamId: string, running: number, waitingTokens: number): void {
    const known = this.loadOf(upstreamId);
    const load = {
      running: known.running + running,
      waitingTokens: known.waitingTokens + waitingTokens,
    };
    if (load.running <= 0 && load.waitingTokens <= 0) {
      this.loads.delete(upstreamId);
      return;
    }
    this.loads.set(upstreamId, load);
  }
}
