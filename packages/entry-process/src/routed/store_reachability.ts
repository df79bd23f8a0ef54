/**
 * Logs when a log of the store is lost and regained.
 */
import type {EventLog} from '@lacewingwinch/observability';

/** Whether one log of the store could be read at the last try. */
export class StoreReachability {
  private isReachable = true;

  constructor(
    private readonly stream: string,
    private readonly events: EventLog,
  ) {}

  /** Notes the end of a read, with its error if it failed. */
  note(error: string | undefined): void {
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
