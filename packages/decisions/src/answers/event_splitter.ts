/**
 * Splits a stream of server-sent events into complete events without changing
 * their bytes. The work for a chunk does not depend on what is pending.
 */
import {ByteAccumulator} from './byte_accumulator.js';

/** A complete server-sent event. */
export interface SplitEvent {
  /** The bytes of the event, including its final blank line. */
  readonly bytes: Buffer;
  /** The value of its `id` field, if it has one. */
  readonly id: string | undefined;
  /** Whether the bytes have the form of an event. */
  readonly isWellFormed: boolean;
}

/** What the bytes of the pending event end with. */
type LineState = 'in-line' | 'after-newline' | 'after-carriage-return';

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*?)\r?$/m;

/** A field or a comment. */
const FIRST_LINE = /^(?:[\w-]*:|[\w-]+\r?$|\r?$)/m;

/** A line that makes up an event or a comment. */
const EVENT_LINE = /^(?:(?:id|data|event|retry)(?::|\r?$)|:)/m;

const BLANK_LINES = /^[\r\n]*$/;

/** Buffers bytes until they form complete events. */
export class EventSplitter {
  private readonly pending = new ByteAccumulator();
  private lineState: LineState = 'in-line';

  /** Number of bytes after the last complete event. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds `chunk` and returns the events that it completes. */
  push(chunk: Buffer): readonly SplitEvent[] {
    const events: SplitEvent[] = [];
    let start = 0;
    for (
      let end = this.findEnd(chunk, start);
      end !== undefined;
      end = this.findEnd(chunk, start)
    ) {
      const bytes = this.complete(chunk.subarray(start, end));
      events.push(readEvent(bytes));
      start = end;
    }
    this.pending.append(chunk.subarray(start));
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    this.lineState = 'in-line';
    return this.pending.take();
  }

  /** Returns the event that ends with `bytes`. */
  private complete(bytes: Buffer): Buffer {
    if (this.pending.length === 0) {
      return bytes;
    }
    this.pending.append(bytes);
    return this.pending.take();
  }

  /**
   * Returns the position in `chunk` after the next blank line; undefined without
   * one. Continues the search of the chunk before.
   */
  private findEnd(chunk: Buffer, start: number): number | undefined {
    let position = start;
    while (position < chunk.length) {
      if (this.lineState === 'in-line') {
        const newline = chunk.indexOf(NEWLINE, position);
        if (newline < 0) {
          return undefined;
        }
        position = newline + 1;
        this.lineState = 'after-newline';
        continue;
      }
      const byte = chunk[position];
      position += 1;
      if (byte === NEWLINE) {
        this.lineState = 'in-line';
        return position;
      }
      this.lineState =
        byte === CARRIAGE_RETURN && this.lineState === 'after-newline'
          ? 'after-carriage-return'
          : 'in-line';
    }
    return undefined;
  }
}

function readEvent(bytes: Buffer): SplitEvent {
  const text = bytes.toString('latin1');
  return {
    bytes,
    id: ID_LINE.exec(text)?.[1],
    isWellFormed:
      BLANK_LINES.test(text) ||
      (FIRST_LINE.exec(text)?.index === 0 && EVENT_LINE.test(text)),
  };
}
