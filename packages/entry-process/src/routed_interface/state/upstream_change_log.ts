/**
 * Logs the changes of upstreams; those of the first list in one line for each
 * service, because the hosts of a large fleet start while requests wait.
 */
import type {UpstreamChange} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';

/** The log of the changes of upstreams. */
export class UpstreamChangeLog {
  private hasFirstList = false;

  constructor(private readonly events: EventLog) {}

  /** Logs changes that were read together. */
  write(changes: readonly UpstreamChange[]): void {
    const isFirstList = !this.hasFirstList;
    this.hasFirstList = true;
    const counts = new Map<string, number>();
    for (const change of changes) {
      const {service, state} = change;
      if (isFirstList && state === 'listed') {
        counts.set(service, (counts.get(service) ?? 0) + 1);
      } else {
        this.events.write(3005, {...change});
      }
    }
    counts.forEach((count, service) =>
      this.events.write(3041, {count, service}),
    );
  }
}
