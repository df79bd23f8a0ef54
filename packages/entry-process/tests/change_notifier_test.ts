/** Tests of waits for the next change, with a time limit. */
import {getEventListeners} from 'node:events';

import {describe, expect, it} from 'vitest';

import {ChangeNotifier} from '../src/util/change_notifier.js';

const LONG_MILLISECONDS = 1_000_000;

describe('a wait with a time limit', () => {
  it.each<{
    readonly name: string;
    readonly milliseconds: number;
    readonly end: (notifier: ChangeNotifier, stopping: AbortController) => void;
  }>([
    {
      name: 'when notified',
      milliseconds: LONG_MILLISECONDS,
      end: notifier => notifier.notify(),
    },
    {
      name: 'when its abort signal aborts',
      milliseconds: LONG_MILLISECONDS,
      end: (_notifier, stopping) => stopping.abort(),
    },
    {name: 'at its time limit', milliseconds: 1, end: () => undefined},
  ])(
    'ends $name and leaves no listener behind',
    async ({milliseconds, end}) => {
      const notifier = new ChangeNotifier();
      const stopping = new AbortController();
      const waiting = notifier.nextWithin(milliseconds, stopping.signal);
      end(notifier, stopping);
      await waiting;
      expect(getEventListeners(stopping.signal, 'abort')).toEqual([]);
    },
  );

  it('ends at once if its abort signal has already aborted', async () => {
    await new ChangeNotifier().nextWithin(
      LONG_MILLISECONDS,
      AbortSignal.abort(),
    );
  });
});
