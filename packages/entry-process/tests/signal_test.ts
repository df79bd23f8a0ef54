/** Tests of waiting for a signal. */
import {getEventListeners} from 'node:events';

import {describe, expect, it} from 'vitest';

import {Signal} from '../src/util/signal.js';

const LONG_MILLISECONDS = 1_000_000;

describe('a wait with a bound', () => {
  it.each<{
    readonly name: string;
    readonly milliseconds: number;
    readonly end: (signal: Signal, stopping: AbortController) => void;
  }>([
    {
      name: 'at a notice',
      milliseconds: LONG_MILLISECONDS,
      end: signal => signal.notify(),
    },
    {
      name: 'when its owner stops',
      milliseconds: LONG_MILLISECONDS,
      end: (_signal, stopping) => stopping.abort(),
    },
    {name: 'at its bound', milliseconds: 1, end: () => undefined},
  ])('ends $name and leaves nothing behind', async ({milliseconds, end}) => {
    const signal = new Signal();
    const stopping = new AbortController();
    const waiting = signal.nextWithin(milliseconds, stopping.signal);
    end(signal, stopping);
    await waiting;
    expect(getEventListeners(stopping.signal, 'abort')).toEqual([]);
  });

  it('ends at once where its owner has stopped', async () => {
    await new Signal().nextWithin(LONG_MILLISECONDS, AbortSignal.abort());
  });
});
