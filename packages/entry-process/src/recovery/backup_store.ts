/**
 * The store of backup copies of requests that other fronts serve.
 */
import type {BackupCopy} from '@lacewingwinch/entry-hosts';

/** Milliseconds for which a copy is held after the deadline of its request. */
const EXPIRY_MARGIN_MILLISECONDS = 10_000;

/** Holds the backup copies of this host. */
export class BackupStore {
  private readonly copies = new Map<string, BackupCopy>();

  /** Number of copies held. */
  get size(): number {
    return this.copies.size;
  }

  /** Stores `copy`, or replaces the earlier copy of the same request. */
  store(copy: BackupCopy): void {
    this.copies.set(copy.requestId, copy);
  }

  /** Drops copies of requests that have ended. */
  drop(requestIds: readonly string[]): void {
    for (const requestId of requestIds) {
      this.copies.delete(requestId);
    }
  }

  /** Returns the copy of a request. */
  find(requestId: string): BackupCopy | undefined {
    return this.copies.get(requestId);
  }

  /** Returns the copies of the requests that `front` serves. */
  copiesOf(front: string): readonly BackupCopy[] {
    return [...this.copies.values()].filter(copy => copy.front === front);
  }

  /** Drops copies of requests whose deadline and margin have passed. */
  dropExpired(now: number): void {
    for (const copy of this.copies.values()) {
      if (now >= copy.deadline + EXPIRY_MARGIN_MILLISECONDS) {
        this.copies.delete(copy.requestId);
      }
    }
  }
}
