/** Tests of splitting streams into events, and of the work that it takes. */
import {afterEach, describe, expect, it, vi} from 'vitest';

import {ByteAccumulator, EventSplitter} from '../src/index.js';

describe('the event splitter', () => {
  const stream =
    'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda';

  it.each([1, 2, 3, 7, 100])(
    'finds complete events in chunks of %i bytes',
    size => {
      const splitter = new EventSplitter();
      const events = [];
      for (let start = 0; start < stream.length; start += size) {
        events.push(
          ...splitter.push(Buffer.from(stream.slice(start, start + size))),
        );
      }
      expect(events.map(({id}) => id)).toEqual(['1', '2', undefined]);
      const remainder = splitter.takeRemainder().toString();
      expect(remainder).toBe('id: 4\nda');
      expect(
        events.map(({bytes}) => bytes.toString()).join('') + remainder,
      ).toBe(stream);
    },
  );
});

describe('the end of an event', () => {
  it.each([
    {name: 'lines that end with a newline', bytes: 'a\n\nb', events: ['a\n\n']},
    {
      name: 'lines that end with CR LF',
      bytes: 'a\r\n\r\nb',
      events: ['a\r\n\r\n'],
    },
    {name: 'a CR inside a line', bytes: 'a\n\rb\n\n', events: ['a\n\rb\n\n']},
    {
      name: 'two CR after a newline',
      bytes: 'a\n\r\r\nb\n\n',
      events: ['a\n\r\r\nb\n\n'],
    },
    {name: 'blank lines alone', bytes: '\n\n\n\nx', events: ['\n\n', '\n\n']},
    {name: 'no blank line', bytes: 'a\nb\nc', events: []},
  ])('is found with $name, in chunks of any size', ({bytes, events}) => {
    for (let size = 1; size <= bytes.length; size += 1) {
      const splitter = new EventSplitter();
      const found: string[] = [];
      for (let start = 0; start < bytes.length; start += size) {
        const chunk = Buffer.from(bytes.slice(start, start + size));
        found.push(
          ...splitter.push(chunk).map(event => event.bytes.toString()),
        );
      }
      expect(found).toEqual(events);
      expect(splitter.pendingBytes).toBe(bytes.length - events.join('').length);
    }
  });
});

/**
 * Guards against work that grows with what is pending: a few streams of short lines
 * that complete no event made a host stand still for seconds.
 */
describe('an event without end', () => {
  const CHUNK_BYTES = 1400;

  /** Enough that work which grows with it would exceed the bounds many times. */
  const PENDING_BYTES = 65_536;

  afterEach(() => {
    vi.restoreAllMocks();
  });

  it.each([
    {name: 'short lines', piece: 'x\n'},
    {name: 'data fields with CR LF', piece: 'data: x\r\n'},
    {name: 'one line', piece: 'x'},
    {name: 'lines that begin with CR', piece: 'x\n\r'},
  ])('of $name is searched and copied a bounded number of times', ({piece}) => {
    const chunk = Buffer.from(
      piece.repeat(Math.ceil(CHUNK_BYTES / piece.length)),
    );
    const chunks = Math.floor(PENDING_BYTES / chunk.length);
    const lines = chunks * chunk.toString().split('\n').length;
    const prototype = Buffer.prototype as Buffer;
    const searches = vi.spyOn(prototype, 'indexOf');
    const copies = vi.spyOn(prototype, 'copy');
    const joins = vi.spyOn(Buffer, 'concat');
    const splitter = new EventSplitter();
    for (let count = 0; count < chunks; count += 1) {
      splitter.push(chunk);
    }
    expect(splitter.pendingBytes).toBe(chunks * chunk.length);
    const copiedBytes = [
      ...copies.mock.results.map(({value}) => Number(value)),
      ...joins.mock.results.map(({value}) => (value as Buffer).length),
    ].reduce((sum, bytes) => sum + bytes, 0);
    expect(searches.mock.calls.length).toBeLessThanOrEqual(lines + chunks);
    expect(copiedBytes).toBeLessThanOrEqual(4 * PENDING_BYTES);
  });
});

describe('the byte accumulator', () => {
  it('returns the bytes of all chunks and is empty afterwards', () => {
    const accumulator = new ByteAccumulator();
    const chunks = ['', 'a', 'bc', 'd'.repeat(5000), 'e'];
    chunks.forEach(chunk => accumulator.append(Buffer.from(chunk)));
    expect(accumulator.length).toBe(5004);
    const taken = accumulator.take();
    expect(accumulator.length).toBe(0);
    accumulator.append(Buffer.from('other'));
    expect(taken.toString()).toBe(chunks.join(''));
    expect(accumulator.take().toString()).toBe('other');
  });
});
