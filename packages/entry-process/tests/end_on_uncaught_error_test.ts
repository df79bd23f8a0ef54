/** Tests of the end of a process after an error that nothing caught. */
import {EventEmitter} from 'node:events';

import {describe, expect, it} from 'vitest';

import {
  type EndingProcess,
  endOnUncaughtError,
} from '../src/end_on_uncaught_error.js';

class FakeProcess extends EventEmitter implements EndingProcess {
  exitCode: number | string | null | undefined;
  readonly exits: number[] = [];

  exit(code: number): void {
    this.exits.push(code);
  }
}

const SETTLE_MILLISECONDS = 60;

function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS));
}

describe('a process with an uncaught error', () => {
  it.each<{
    readonly event: 'uncaughtException' | 'unhandledRejection';
    readonly error: unknown;
    readonly logged: RegExp;
  }>([
    {
      event: 'uncaughtException',
      error: new Error('assertion'),
      logged: /assertion[^]*end_on_uncaught_error_test/,
    },
    {event: 'unhandledRejection', error: 'lost', logged: /^lost$/},
  ])(
    'leaves in order and exits with 1 after $event',
    async ({event, error, logged}) => {
      const fake = new FakeProcess();
      const logs: string[] = [];
      let finishLeaving: () => void = () => undefined;
      let leaves = 0;
      endOnUncaughtError(fake, {
        log: stack => logs.push(stack),
        leave: () => {
          leaves += 1;
          return new Promise(resolve => {
            finishLeaving = resolve;
          });
        },
      });
      fake.emit(event, error);
      fake.emit(event, error);
      await settle();
      expect(logs).toHaveLength(2);
      expect(logs[0]).toMatch(logged);
      expect(fake.exits).toEqual([]);
      expect(fake.exitCode).toBe(1);
      finishLeaving();
      await settle();
      expect(fake.exits).toEqual([1]);
      expect(leaves).toBe(1);
    },
  );

  it('exits if it cannot leave', async () => {
    const fake = new FakeProcess();
    const logs: string[] = [];
    endOnUncaughtError(fake, {
      log: stack => logs.push(stack),
      leave: () => Promise.reject(new Error('stuck')),
    });
    fake.emit('uncaughtException', new Error('first'));
    await settle();
    expect(fake.exits).toEqual([1]);
    expect(logs.at(-1)).toContain('stuck');
  });
});
