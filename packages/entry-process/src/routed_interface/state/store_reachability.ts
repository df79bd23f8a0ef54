/**
 * Logs when access to a log of the store is lost and restored.
 */
import type {EventLog} from '@lacewingwinch/observability';

/** Whether the last read of one log of the store succeeded. */
export class StoreReachability {
  private isReachable = true;

  constructor(
    private readonly stream: string,
    private readonly events: EventLog,
  ) {}

  /** Records the result of a read; `error` is undefined if it succeeded. */
  recordRead(error: string | undefined): void {
    const isReachable = error === undefined;
    if (isReachable === this.isReachable) {
      return;
    }
    this.isReachable = isReachable;
    const {stream} = this;
    if (error === undefined) {
      this.events.write(2003, {stream});
      return;
    }
    this.events.write(2002, {stream, error});
  }
}
