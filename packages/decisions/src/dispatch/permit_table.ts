/**
 * The permits that a dispatcher has granted, and the exact counts of calls in
 * progress.
 */
import type {HeldPermit} from './dispatch_messages.js';

/** Time after its last renewal by the front at which a permit expires. */
export const PERMIT_LEASE_MILLISECONDS = 5000;

/** Weight of the newest sample in the average holding time of a permit. */
const HOLDING_TIME_WEIGHT = 0.1;

/** A permit in use. */
export interface Permit extends HeldPermit {
  readonly front: string;
  /** Time of the grant, in milliseconds since the epoch. */
  readonly granted: number;
  /** Time of the last renewal, in milliseconds since the epoch. */
  readonly renewed: number;
}

/** The permits in use at one shard. */
export class PermitTable {
  private readonly permits = new Map<string, Permit>();
  /** Number of calls in progress by upstream. */
  private readonly inFlightByUpstream = new Map<string, number>();
  /** Number of permits that exclude any other call, by upstream. */
  private readonly exclusivePermits = new Map<string, number>();
  /** Number of calls in progress by workspace. */
  private readonly inFlightByWorkspace = new Map<string, number>();
  private averageHolding = 0;

  /** Number of permits in use. */
  get size(): number {
    return this.permits.size;
  }

  /** Moving average of the time between grant and release; 0 at first. */
  get averageHoldingMilliseconds(): number {
    return this.averageHolding;
  }

  has(permitId: string): boolean {
    return this.permits.has(permitId);
  }

  get(permitId: string): Permit | undefined {
    return this.permits.get(permitId);
  }

  /** Returns the number of calls in progress at an upstream. */
  inFlightAt(upstreamId: string): number {
    return this.inFlightByUpstream.get(upstreamId) ?? 0;
  }

  /** Returns the number of calls in progress of a workspace. */
  inFlightOf(workspace: string): number {
    return this.inFlightByWorkspace.get(workspace) ?? 0;
  }

  /** Returns the number of calls in progress of each other workspace. */
  inFlightOfOthers(workspace: string): readonly number[] {
    return [...this.inFlightByWorkspace]
      .filter(([other]) => other !== workspace)
      .map(([, count]) => count);
  }

  /** Returns whether a permit excludes any other call at an upstream. */
  isHeldAlone(upstreamId: string): boolean {
    return this.exclusivePermits.has(upstreamId);
  }

  add(permit: Permit): void {
    this.permits.set(permit.permitId, permit);
    addToCount(this.inFlightByUpstream, permit.upstreamId, 1);
    addToCount(this.inFlightByWorkspace, permit.workspace, 1);
    if (permit.isAlone) {
      addToCount(this.exclusivePermits, permit.upstreamId, 1);
    }
  }

  /** Renews permits that `front` holds, and adds those that are unknown. */
  renew(front: string, held: readonly HeldPermit[], now: number): void {
    for (const permit of held) {
      const existing = this.permits.get(permit.permitId);
      if (existing === undefined) {
        this.add({...permit, front, granted: now, renewed: now});
        continue;
      }
      this.permits.set(permit.permitId, {...existing, renewed: now});
    }
  }

  /** Removes the permits that were not renewed in time. */
  expire(now: number): void {
    for (const permit of this.permits.values()) {
      if (now - permit.renewed >= PERMIT_LEASE_MILLISECONDS) {
        this.remove(permit);
      }
    }
  }

  /** Removes a permit and records how long it was held. */
  release(permit: Permit, now: number): void {
    this.remove(permit);
    const heldMilliseconds = now - permit.granted;
    this.averageHolding +=
      (this.averageHolding === 0 ? 1 : HOLDING_TIME_WEIGHT) *
      (heldMilliseconds - this.averageHolding);
  }

  private remove(permit: Permit): void {
    this.permits.delete(permit.permitId);
    addToCount(this.inFlightByUpstream, permit.upstreamId, -1);
    addToCount(this.inFlightByWorkspace, permit.workspace, -1);
    if (permit.isAlone) {
      addToCount(this.exclusivePermits, permit.upstreamId, -1);
    }
  }
}

function addToCount(
  counts: Map<string, number>,
  key: string,
  amount: number,
): void {
  const next = (counts.get(key) ?? 0) + amount;
  if (next <= 0) {
    counts.delete(key);
    return;
  }
  counts.set(key, next);
}
