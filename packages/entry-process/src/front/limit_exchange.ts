/**
 * The task that gives surplus limit tokens to the hosts that lack them.
 */
import {
  findWorkspace,
  listWorkspaces,
  type Member,
} from '@lacewingwinch/decisions';
import type {WorkspaceDemand} from '@lacewingwinch/entry-hosts';

import {pause} from '../util/pause.js';
import type {FrontContext} from './front_context.js';

/** Milliseconds between two rounds of giving. */
const PERIOD_MILLISECONDS = 200;

/** Milliseconds for which a stated demand counts. */
const DEMAND_MILLISECONDS = 2000;

interface DatedDemand {
  readonly wanted: number;
  readonly heard: number;
}

/** Gives tokens away and takes what others give. */
export class LimitExchange {
  /** Demand that other hosts stated, by workspace and host. */
  private readonly demands = new Map<string, Map<string, DatedDemand>>();

  constructor(private readonly context: FrontContext) {}

  /** What this host lacks, for the next digest. */
  ownDemands(): readonly WorkspaceDemand[] {
    const now = this.context.clock();
    return listWorkspaces(this.context.configuration()).flatMap(workspace => {
      const {name, requestsPerSecond: limit} = workspace;
      if (limit === undefined) {
        return [];
      }
      const demand = this.context.limits.wanted(name, limit, this.hosts(), now);
      return demand.wanted > 0 ? [demand] : [];
    });
  }

  /** Is told what `host` lacks. */
  onDemands(host: Member, demands: readonly WorkspaceDemand[]): void {
    const heard = this.context.clock();
    for (const {workspace, wanted} of demands) {
      const byHost =
        this.demands.get(workspace) ?? new Map<string, DatedDemand>();
      byHost.set(host.hostId, {wanted, heard});
      this.demands.set(workspace, byHost);
    }
  }

  /** Takes tokens that another host destroyed before it sent them. */
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

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await pause(PERIOD_MILLISECONDS, signal);
      for (const workspace of this.demands.keys()) {
        this.giveTokens(workspace);
      }
    }
  }

  private giveTokens(workspaceName: string): void {
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
      this.hosts(),
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
    const since = this.context.clock() - DEMAND_MILLISECONDS;
    const demands =
      this.demands.get(workspace) ?? new Map<string, DatedDemand>();
    return new Map(
      [...demands]
        .filter(([, {heard}]) => heard >= since)
        .map(([host, {wanted}]) => [host, wanted]),
    );
  }

  private hosts(): number {
    return this.context.membership.live().length + 1;
  }
}
