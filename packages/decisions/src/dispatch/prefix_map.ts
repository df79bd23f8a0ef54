/**
 * What a dispatcher believes each upstream has in its prefix cache.
 */

/** Prefix blocks remembered for one upstream. */
const MAXIMUM_PREFIXES = 4096;

/** The prefixes sent to each upstream, least recently used first. */
export class PrefixMap {
  private readonly byUpstream = new Map<string, Map<string, true>>();

  /** Number of leading `prefixes` that the upstream probably holds. */
  hits(upstreamId: string, prefixes: readonly string[]): number {
    const held = this.byUpstream.get(upstreamId);
    if (held === undefined) {
      return 0;
    }
    const firstMissing = prefixes.findIndex(prefix => !held.has(prefix));
    return firstMissing === -1 ? prefixes.length : firstMissing;
  }

  /** Notes that the upstream is about to compute `prefixes`. */
  add(upstreamId: string, prefixes: readonly string[]): void {
    const held = this.byUpstream.get(upstreamId) ?? new Map<string, true>();
    this.byUpstream.set(upstreamId, held);
    for (const prefix of prefixes) {
      held.delete(prefix);
      held.set(prefix, true);
    }
    for (const prefix of held.keys()) {
      if (held.size <= MAXIMUM_PREFIXES) {
        break;
      }
      held.delete(prefix);
    }
  }

  /** Notes that the upstream dropped `prefix`. */
  evict(upstreamId: string, prefix: string): void {
    this.byUpstream.get(upstreamId)?.delete(prefix);
  }

  /** Forgets an upstream that is gone. */
  forget(upstreamId: string): void {
    this.byUpstream.delete(upstreamId);
  }
}
