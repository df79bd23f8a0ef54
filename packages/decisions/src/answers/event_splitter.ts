/**
 * Splits a series of events into whole events without changing their bytes.
 */

/** A whole event. */
export interface SplitEvent {
  /** The bytes of the event, its final blank line included. */
  readonly bytes: Buffer;
  /** Its id, if it has one. */
  readonly id: string | undefined;
}

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*?)\r?$/m;

/** Collects bytes until they make whole events. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Takes bytes; returns the events that are whole by now. */
  push(chunk: Buffer): readonly SplitEvent[] {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: SplitEvent[] = [];
    let start = 0;
    for (
      let end = endOfEvent(bytes, start);
      end > 0;
      end = endOfEvent(bytes, start)
    ) {
      const event = bytes.subarray(start, end);
      events.push({bytes: event, id: idOf(event)});
      start = end;
    }
    this.rest = bytes.subarray(start);
    return events;
  }

  /** Bytes after the last whole event. */
  takeRest(): Buffer {
    const rest = this.rest;
    this.rest = Buffer.alloc(0);
    return rest;
  }
}

/** The position after the next blank line; 0 if there is none. */
function endOfEvent(bytes: Buffer, start: number): number {
  for (
    let newline = bytes.indexOf(NEWLINE, start);
    newline >= 0;
    newline = bytes.indexOf(NEWLINE, newline + 1)
  ) {
    const next = newline + 1;
    if (bytes[next] === NEWLINE) {
      return next + 1;
    }
    if (bytes[next] === CARRIAGE_RETURN && bytes[next + 1] === NEWLINE) {
      return next + 2;
    }
  }
  return 0;
}

function idOf(event: Buffer): string | undefined {
  return ID_LINE.exec(event.toString('latin1'))?.[1];
}
