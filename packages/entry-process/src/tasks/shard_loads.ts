/**
 * The load of each shard, as reported by its dispatcher.
 */
import type {ShardLoad} from '@lacewingwinch/entry-hosts';

/** Milliseconds for which a reported load is valid. */
const REPORT_VALIDITY_MILLISECONDS = 3000;

interface ReportedLoad {
  readonly load: number;
  readonly receivedAt: number;
}

/** Loads reported by other hosts. */
export class ShardLoads {
  private readonly reports = new Map<string, ReportedLoad>();

  constructor(private readonly clock: () => number) {}

  /** Records the loads of a received digest. */
  update(loads: readonly ShardLoad[]): void {
    const receivedAt = this.clock();
    for (const {shardId, load} of loads) {
      this.reports.set(shardId, {load, receivedAt});
    }
  }

  /**
   * Returns the mean load of `shardIds`; an unknown load counts as 0. `own`
   * holds the loads of the dispatchers of this host.
   */
  meanLoadOf(shardIds: readonly string[], own: readonly ShardLoad[]): number {
    if (shardIds.length === 0) {
      return 0;
    }
    const loads = shardIds.map(shardId => this.loadOfShard(shardId, own));
    return loads.reduce((sum, load) => sum + load, 0) / loads.length;
  }

  private loadOfShard(shardId: string, own: readonly ShardLoad[]): number {
    const report = this.reports.get(shardId);
    const isFresh =
      report !== undefined &&
      this.clock() - report.receivedAt < REPORT_VALIDITY_MILLISECONDS;
    const reported = isFresh ? report.load : 0;
    const local = own.find(load => load.shardId === shardId)?.load ?? 0;
    return Math.max(reported, local);
  }
}
