/**
 * Request rate limits of workspaces, divided among the entry hosts. Each host
 * has a token bucket that refills at an equal part of the rate, and can give
 * unused tokens to other hosts. A token exists on one host only: the giver
 * destroys it before sending it, so that the total never exceeds the limit,
 * even in a network partition.
 */

/** Maximum number of saved tokens, in seconds of the refill rate. */
export const BURST_SECONDS = 1;

/** Number of tokens that a giver keeps, in seconds of its own demand. */
const RESERVE_SECONDS = 0.5;

/** Time constant of the moving average of demand. */
const DEMAND_WINDOW_MILLISECONDS = 2000;

/** The unmet demand of one workspace on one host, as reported to the others. */
export interface UnmetDemand {
  readonly workspace: string;
  /** Requests per second that arrive in excess of the host's own part. */
  readonly wanted: number;
}

/** Tokens to send to another host, already destroyed on this one. */
export interface TokenTransfer {
  readonly workspace: string;
  readonly to: string;
  readonly tokens: number;
}

interface Share {
  tokens: number;
  updatedAt: number;
  /** Moving average of the demand, in requests per second. */
  demand: number;
}

/** The token buckets of one entry host, by workspace. */
export class LimitShares {
  private readonly shares = new Map<string, Share>();

  /**
   * Takes one token; returns false if there is none. `perSecond` is the limit
   * of the workspace over all entry hosts, `hosts` the number of entry hosts.
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

  /** Adds tokens from another host, up to a burst of the entire limit. */
  receive(workspace: string, tokens: number, perSecond: number): void {
    const share = this.shares.get(workspace);
    if (share !== undefined) {
      share.tokens = Math.min(share.tokens + tokens, perSecond * BURST_SECONDS);
    }
  }

  /** Returns the demand of `workspace` that this host's part doesn't cover. */
  wanted(
    workspace: string,
    perSecond: number,
    hosts: number,
    now: number,
  ): UnmetDemand {
    const share = this.refill(workspace, perSecond, hosts, now);
    return {
      workspace,
      wanted: Math.max(0, share.demand - perSecond / hosts),
    };
  }

  /**
   * Destroys surplus tokens and returns them as transfers to `others`, in
   * proportion to the rates that they want.
   */
  give(
    workspace: string,
    others: ReadonlyMap<string, number>,
    perSecond: number,
    hosts: number,
    now: number,
  ): readonly TokenTransfer[] {
    const share = this.refill(workspace, perSecond, hosts, now);
    const totalWantedRate = [...others.values()].reduce(
      (sum, wantedRate) => sum + wantedRate,
      0,
    );
    const reserve = Math.min(share.tokens, share.demand * RESERVE_SECONDS);
    const surplus = share.tokens - reserve;
    if (totalWantedRate <= 0 || surplus <= 0) {
      return [];
    }
    share.tokens = reserve;
    return [...others]
      .filter(([, wantedRate]) => wantedRate > 0)
      .map(([to, wantedRate]) => ({
        workspace,
        to,
        tokens: (surplus * wantedRate) / totalWantedRate,
      }));
  }

  private refill(
    workspace: string,
    perSecond: number,
    hosts: number,
    now: number,
  ): Share {
    const tokensPerSecond = perSecond / Math.max(1, hosts);
    const share = this.shares.get(workspace);
    if (share === undefined) {
      const newShare = {
        tokens: tokensPerSecond * BURST_SECONDS,
        updatedAt: now,
        demand: 0,
      };
      this.shares.set(workspace, newShare);
      return newShare;
    }
    const elapsed = Math.max(0, now - share.updatedAt);
    const accrued = (tokensPerSecond * elapsed) / 1000;
    const maximumTokens = Math.max(
      share.tokens,
      tokensPerSecond * BURST_SECONDS,
    );
    share.tokens = Math.min(share.tokens + accrued, maximumTokens);
    share.demand *= Math.exp(-elapsed / DEMAND_WINDOW_MILLISECONDS);
    share.updatedAt = Math.max(share.updatedAt, now);
    return share;
  }
}
