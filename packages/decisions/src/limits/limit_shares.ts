/**
 * Limits of a workspace, shared out over the entry hosts. Each host earns an
 * equal part of a rate; what it does not use it may give to another host. A
 * token exists in one place only: the giver destroys it before it sends it, so
 * that the total never exceeds the limit, also in a partition.
 */

/** Seconds of its part that a host may save up. */
export const BURST_SECONDS = 1;

/** Seconds of its own demand that a giver keeps back. */
const RESERVE_SECONDS = 0.5;

/** Milliseconds over which demand is averaged. */
const DEMAND_WINDOW_MILLISECONDS = 2000;

/** Demand of one workspace at one host, as hosts tell it to one another. */
export interface Demand {
  readonly workspace: string;
  /** Requests a second that arrive beyond the host's own part. */
  readonly wanted: number;
}

/** Tokens to send to another host; already destroyed here. */
export interface TokenTransfer {
  readonly workspace: string;
  readonly to: string;
  readonly tokens: number;
}

interface Share {
  tokens: number;
  updated: number;
  demand: number;
}

/** The tokens that one entry host holds, by workspace. */
export class LimitShares {
  private readonly shares = new Map<string, Share>();

  /**
   * Takes one token; false if there is none. `perSecond` is the limit of the
   * workspace over all entry hosts, `hosts` the number of entry hosts.
   */
  take(
    workspace: string,
    perSecond: number,
    hosts: number,
    now: number,
  ): boolean {
    const share = this.refill(workspace, perSecond, hosts, now);
    share.demand += 1000 / DEMAND_WINDOW_MILLISECONDS;
    if (share.tokens < 1) {
      return false;
    }
    share.tokens -= 1;
    return true;
  }

  /** Adds tokens that another host gave; never more than a burst. */
  receive(workspace: string, tokens: number, perSecond: number): void {
    const share = this.shares.get(workspace);
    if (share !== undefined) {
      share.tokens = Math.min(share.tokens + tokens, perSecond * BURST_SECONDS);
    }
  }

  /** What this host lacks of `workspace`. */
  wanted(
    workspace: string,
    perSecond: number,
    hosts: number,
    now: number,
  ): Demand {
    const share = this.refill(workspace, perSecond, hosts, now);
    return {
      workspace,
      wanted: Math.max(0, share.demand - perSecond / hosts),
    };
  }

  /** Destroys surplus tokens and returns them as transfers to `others`. */
  give(
    workspace: string,
    others: ReadonlyMap<string, number>,
    perSecond: number,
    hosts: number,
    now: number,
  ): readonly TokenTransfer[] {
    const share = this.refill(workspace, perSecond, hosts, now);
    const total = [...others.values()].reduce((sum, want) => sum + want, 0);
    const reserve = Math.min(share.tokens, share.demand * RESERVE_SECONDS);
    const surplus = share.tokens - reserve;
    if (total <= 0 || surplus <= 0) {
      return [];
    }
    share.tokens = reserve;
    return [...others]
      .filter(([, want]) => want > 0)
      .map(([to, want]) => ({
        workspace,
        to,
        tokens: (surplus * want) / total,
      }));
  }

  private refill(
    workspace: string,
    perSecond: number,
    hosts: number,
    now: number,
  ): Share {
    const part = perSecond / Math.max(1, hosts);
    const share = this.shares.get(workspace);
    if (share === undefined) {
      const fresh = {tokens: part * BURST_SECONDS, updated: now, demand: 0};
      this.shares.set(workspace, fresh);
      return fresh;
    }
    const elapsed = Math.max(0, now - share.updated);
    const earned = (part * elapsed) / 1000;
    const cap = Math.max(share.tokens, part * BURST_SECONDS);
    share.tokens = Math.min(share.tokens + earned, cap);
    share.demand *= Math.exp(-elapsed / DEMAND_WINDOW_MILLISECONDS);
    share.updated = Math.max(share.updated, now);
    return share;
  }
}
