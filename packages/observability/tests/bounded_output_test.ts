/** Tests of `BoundedOutput`. */
import {Writable} from 'node:stream';

import {expect, it} from 'vitest';

import {BoundedOutput} from '../src/index.js';

/** A reader that accepts the next chunk only when `read` is called. */
class SlowReader extends Writable {
  readonly lines: string[] = [];
  private release: (() => void) | undefined;

  override _write(
    chunk: Buffer,
    _encoding: BufferEncoding,
    callback: () => void,
  ): void {
    this.lines.push(chunk.toString());
    this.release = callback;
  }

  /** Reads everything that is buffered. */
  async read(): Promise<void> {
    while (this.writableLength > 0) {
      this.release?.();
      await new Promise(resolve => setImmediate(resolve));
    }
  }
}

it('drops and counts lines instead of waiting for a stalled reader', async () => {
  const reader = new SlowReader();
  const output = new BoundedOutput(reader, 100);
  for (let line = 0; line < 50; line += 1) {
    expect(output.write(`line ${line}\n`)).toBe(true);
  }
  const {droppedLineCount} = output;
  expect(droppedLineCount).toBeGreaterThan(30);
  expect(reader.writableLength).toBeLessThanOrEqual(100);
  await reader.read();
  output.write('after\n');
  await reader.read();
  const text = reader.lines.join('');
  expect(text).toContain(`{"linesLeftOut":${droppedLineCount}}\nafter\n`);
  expect(output.droppedLineCount).toBe(0);
});
