/**
 * The load of each shard, as its dispatcher reports it.
 */
import type {ShardLoad} from '@lacewingwinch/entry-hosts';

/** Milliseconds for which a report counts. */
const REPORT_MILLISECONDS = 3000;

interface DatedLoad {
  readonly load: number;
  readonly heard: number;
}

/** Loads heard from other hosts. */
export class ShardLoads {
  private readonly heard = new Map<string, DatedLoad>();

  constructor(private readonly clock: () => number) {}

  /** Takes the loads of a digest. */
  take(loads: readonly ShardLoad[]): void {
    const heard = this.clock();
    for (const {shardId, load} of loads) {
      this.heard.set(shardId, {load, heard});
    }
  }

  /** The mean load of `shardIds`; 0 where nothing is known. */
  loadOf(shardIds: readonly string[], own: readonly ShardLoad[]): number {
    if (shardIds.length === 0) {
      return 0;
    }
    const loads = shardIds.map(shardId => this.loadOfShard(shardId, own));
    return loads.reduce((sum, load) => sum + load, 0) / loads.length;
  }

  private loadOfShard(shardId: string, own: readonly ShardLoad[]): number {
    const dated = this.heard.get(shardId);
    const isFresh =
      dated !== undefined && this.clock() - dated.heard < REPORT_MILLISECONDS;
    const heard = isFresh ? dated.load : 0;
    const local = own.find(load => load.shardId === shardId)?.load ?? 0;
    return Math.max(heard, local);
  }
}
