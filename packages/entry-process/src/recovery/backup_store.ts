/**
 * The task that holds copies of requests for other fronts.
 */
import type {BackupCopy} from '@lacewingwinch/entry-hosts';

/** Milliseconds after its deadline for which a copy is still held. */
const MARGIN_MILLISECONDS = 10_000;

/** Owns the backup copies that this host holds. */
export class BackupStore {
  private readonly copies = new Map<string, BackupCopy>();

  /** Number of copies held. */
  get size(): number {
    return this.copies.size;
  }

  /** Holds `copy`. */
  store(copy: BackupCopy): void {
    this.copies.set(copy.requestId, copy);
  }

  /** Drops copies of requests that have ended. */
  drop(requestIds: readonly string[]): void {
    for (const requestId of requestIds) {
      this.copies.delete(requestId);
    }
  }

  /** The copy of a request. */
  find(requestId: string): BackupCopy | undefined {
    return this.copies.get(requestId);
  }

  /** The copies held for `front`. */
  copiesOf(front: string): readonly BackupCopy[] {
    return [...this.copies.values()].filter(copy => copy.front === front);
  }

  /** Drops copies whose deadline is long past. */
  forget(now: number): void {
    for (const copy of this.copies.values()) {
      if (now >= copy.deadline + MARGIN_MILLISECONDS) {
        this.copies.delete(copy.requestId);
      }
    }
  }
}
