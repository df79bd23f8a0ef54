/**
 * An estimate of the contents of each upstream's prefix cache.
 */

/** Maximum number of prefix blocks that are tracked for one upstream. */
const MAXIMUM_PREFIXES_PER_UPSTREAM = 4096;

/**
 * The prefixes sent to each upstream. The least recently used ones are dropped
 * first.
 */
export class PrefixMap {
  private readonly byUpstream = new Map<string, Map<string, true>>();

  /** Returns how many leading `prefixes` the upstream probably has cached. */
  countHits(upstreamId: string, prefixes: readonly string[]): number {
    const held = this.byUpstream.get(upstreamId);
    if (held === undefined) {
      return 0;
    }
    const firstMissing = prefixes.findIndex(prefix => !held.has(prefix));
    return firstMissing === -1 ? prefixes.length : firstMissing;
  }

  /** Records that the upstream is about to compute `prefixes`. */
  add(upstreamId: string, prefixes: readonly string[]): void {
    const held = this.byUpstream.get(upstreamId) ?? new Map<string, true>();
    this.byUpstream.set(upstreamId, held);
    for (const prefix of prefixes) {
      held.delete(prefix);
      held.set(prefix, true);
    }
    for (const prefix of held.keys()) {
      if (held.size <= MAXIMUM_PREFIXES_PER_UPSTREAM) {
        break;
      }
      held.delete(prefix);
    }
  }

  /** Records that the upstream evicted `prefix` from its cache. */
  removePrefix(upstreamId: string, prefix: string): void {
    this.byUpstream.get(upstreamId)?.delete(prefix);
  }

  /** Drops all prefixes of an upstream that no longer exists. */
  removeUpstream(upstreamId: string): void {
    this.byUpstream.delete(upstreamId);
  }
}
