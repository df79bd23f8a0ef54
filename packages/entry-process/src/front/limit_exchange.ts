/**
 * The task that transfers surplus rate limit tokens to hosts that need them.
 */
import {
  findWorkspace,
  listWorkspaces,
  type Member,
} from '@lacewingwinch/decisions';
import type {WorkspaceDemand} from '@lacewingwinch/entry-hosts';

import {pause} from '../util/pause.js';
import type {FrontContext} from './front_context.js';

/** Milliseconds between two rounds of transfers. */
const TRANSFER_PERIOD_MILLISECONDS = 200;

/** Milliseconds after which a reported demand is ignored. */
const DEMAND_LIFETIME_MILLISECONDS = 2000;

interface ReportedDemand {
  /** Requests per second beyond the host's own share of the limit. */
  readonly excessPerSecond: number;
  /** Time at which the demand was received, in milliseconds since the epoch. */
  readonly receivedAt: number;
}

/** Exchanges rate limit tokens with the other entry hosts. */
export class LimitExchange {
  /** Demands that other hosts reported, by workspace and host. */
  private readonly demands = new Map<string, Map<string, ReportedDemand>>();

  constructor(private readonly context: FrontContext) {}

  /** Returns the demands of this host, for the next gossip digest. */
  ownDemands(): readonly WorkspaceDemand[] {
    const now = this.context.clock();
    return listWorkspaces(this.context.configuration()).flatMap(workspace => {
      const {name, requestsPerSecond: limit} = workspace;
      if (limit === undefined) {
        return [];
      }
      const demand = this.context.limits.wanted(
        name,
        limit,
        this.liveHostCount(),
        now,
      );
      return demand.wanted > 0 ? [demand] : [];
    });
  }

  /** Records the demands that `host` reported. */
  onDemands(host: Member, demands: readonly WorkspaceDemand[]): void {
    const receivedAt = this.context.clock();
    for (const {workspace, wanted} of demands) {
      const byHost =
        this.demands.get(workspace) ?? new Map<string, ReportedDemand>();
      byHost.set(host.hostId, {excessPerSecond: wanted, receivedAt});
      this.demands.set(workspace, byHost);
    }
  }

  /**
   * Adds tokens that another host transferred; that host destroyed them before
   * it sent them.
   */
  onTransfer(workspaceName: string, tokens: number): void {
    const workspace = findWorkspace(
      this.context.configuration(),
      workspaceName,
    );
    if (workspace?.requestsPerSecond !== undefined) {
      this.context.limits.receive(
        workspaceName,
        tokens,
        workspace.requestsPerSecond,
      );
    }
  }

  /** Transfers surplus tokens periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(TRANSFER_PERIOD_MILLISECONDS, signal);
      for (const workspace of this.demands.keys()) {
        this.transferSurplus(workspace);
      }
    }
  }

  private transferSurplus(workspaceName: string): void {
    const workspace = findWorkspace(
      this.context.configuration(),
      workspaceName,
    );
    const limit = workspace?.requestsPerSecond;
    if (limit === undefined) {
      this.demands.delete(workspaceName);
      return;
    }
    const transfers = this.context.limits.give(
      workspaceName,
      this.freshDemands(workspaceName),
      limit,
      this.liveHostCount(),
      this.context.clock(),
    );
    for (const {to, tokens} of transfers) {
      const member = this.context.membership.find(to);
      if (member !== undefined) {
        const params = {workspace: workspaceName, tokens};
        this.context.peers.notify(
          member.addresses.peers,
          'limit.transfer',
          params,
        );
      }
    }
  }

  private freshDemands(workspace: string): ReadonlyMap<string, number> {
    const oldestReceived = this.context.clock() - DEMAND_LIFETIME_MILLISECONDS;
    const demands =
      this.demands.get(workspace) ?? new Map<string, ReportedDemand>();
    return new Map(
      [...demands]
        .filter(([, {receivedAt}]) => receivedAt >= oldestReceived)
        .map(([host, {excessPerSecond}]) => [host, excessPerSecond]),
    );
  }

  /** Returns the number of live entry hosts, including this one. */
  private liveHostCount(): number {
    return this.context.membership.live().length + 1;
  }
}
