/**
 * Logs the entries in the list of upstreams that name no upstream to use.
 */
import type {UpstreamUpdate} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';

/** Largest number of entries that are logged until one of them is mended. */
const MAXIMUM_LOGGED_ENTRIES = 256;

/** Largest number of characters of a logged id. */
const MAXIMUM_ID_LENGTH = 64;

/** The faulty entries that one host has logged, each with its fault. */
export class FaultyEntries {
  private readonly faults = new Map<string, string>();

  constructor(private readonly events: EventLog) {}

  /** Logs the entries among `updates` whose fault is new. */
  record(updates: readonly UpstreamUpdate[]): void {
    for (const update of updates) {
      switch (update.kind) {
        case 'listed':
          this.faults.delete(update.upstream.upstreamId);
          break;
        case 'withdrawn':
          this.recordFault(update.upstreamId, update.fault);
          break;
      }
    }
  }

  private recordFault(upstreamId: string, fault: string | undefined): void {
    if (fault === undefined) {
      this.faults.delete(upstreamId);
      return;
    }
    const isKnown = this.faults.get(upstreamId) === fault;
    const isFull = this.faults.size >= MAXIMUM_LOGGED_ENTRIES;
    if (isKnown || (isFull && !this.faults.has(upstreamId))) {
      return;
    }
    this.faults.set(upstreamId, fault);
    this.events.write(3030, {
      upstreamId: upstreamId.slice(0, MAXIMUM_ID_LENGTH),
      fault,
    });
  }
}
