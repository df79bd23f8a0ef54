/**
 * What changed in the list of upstreams. Upstreams list themselves again every
 * second; only what differs from before is worth a log line or an order.
 */
import type {UpstreamUpdate} from './upstream_list.js';

/** A change of one upstream. */
export interface UpstreamChange {
  readonly upstreamId: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly state: 'listed' | 'leaving' | 'withdrawn';
}

/** Tells changes from repetitions. */
export class UpstreamChanges {
  private readonly known = new Map<string, UpstreamChange>();

  /** The changes that `updates` bring. */
  take(updates: readonly UpstreamUpdate[]): readonly UpstreamChange[] {
    return updates.flatMap(update => {
      const change = this.changeOf(update);
      return change === undefined ? [] : [change];
    });
  }

  private changeOf(update: UpstreamUpdate): UpstreamChange | undefined {
    switch (update.kind) {
      case 'withdrawn': {
        const known = this.known.get(update.upstreamId);
        this.known.delete(update.upstreamId);
        return known && {...known, state: 'withdrawn'};
      }
      case 'listed': {
        const {upstreamId, service, failureDomain, isLeaving} = update.upstream;
        const state = isLeaving ? 'leaving' : 'listed';
        if (this.known.get(upstreamId)?.state === state) {
          return undefined;
        }
        const change = {upstreamId, service, failureDomain, state} as const;
        this.known.set(upstreamId, change);
        return change;
      }
    }
  }
}
