/**
 * Splits a stream of server-sent events into complete events without changing
 * their bytes.
 */

/** A complete server-sent event. */
export interface SplitEvent {
  /** The bytes of the event, including its final blank line. */
  readonly bytes: Buffer;
  /** The value of its `id` field, if it has one. */
  readonly id: string | undefined;
}

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*?)\r?$/m;

/** Buffers bytes until they form complete events. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Number of bytes after the last complete event. */
  get pendingBytes(): number {
    return this.remainder.length;
  }

  /** Adds `chunk` and returns the events that it completes. */
  push(chunk: Buffer): readonly SplitEvent[] {
    const bytes =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
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
    this.remainder = bytes.subarray(start);
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const remainder = this.remainder;
    this.remainder = Buffer.alloc(0);
    return remainder;
  }
}

/** Returns the position after the next blank line, or 0 if there is none. */
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
