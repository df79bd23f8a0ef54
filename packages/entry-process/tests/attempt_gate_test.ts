/** Tests of the checks before each attempt of a request. */
import {createEventLog, createMetrics} from '@lacewingwinch/observability';
import {describe, expect, it} from 'vitest';

import {AttemptGate} from '../src/routed_interface/admission/attempt_gate.js';

const OBJECTIVE_MILLISECONDS = 100;

describe('a wait for paused upstreams', () => {
  it.each<{
    readonly name: string;
    readonly pauses: number[];
    readonly millisecondsLeft: number;
    readonly isRefused: boolean;
  }>([
    {
      name: 'that ends a fraction of a millisecond early continues',
      pauses: [20, 0.4],
      millisecondsLeft: 1000,
      isRefused: false,
    },
    {
      name: 'that is extended by another answer continues while there is time',
      pauses: [20, 30],
      millisecondsLeft: 1000,
      isRefused: false,
    },
    {
      name: 'that is extended beyond the deadline is refused',
      pauses: [20, 5000],
      millisecondsLeft: 1000,
      isRefused: true,
    },
  ])('$name', async ({pauses, millisecondsLeft, isRefused}) => {
    const gate = new AttemptGate(
      {
        events: createEventLog('host-0', 'error'),
        metrics: createMetrics(),
        crashes: {
          decide: () => Promise.resolve({kind: 'clear'}),
          isRefused: () => false,
          peekDecision: () => ({kind: 'clear'}),
        },
        parts: {
          peekDecision: () => ({kind: 'clear'}),
          isRefused: () => false,
        },
        partTrials: {decide: () => Promise.resolve({kind: 'clear'})},
        candidates: {pauseMillisecondsLeft: () => pauses.shift() ?? 0},
        random: () => 0,
      },
      {
        requestId: 'attempt-1',
        service: 'plain',
        fingerprint: '',
        sharedParts: [],
      },
    );
    const refusal = await gate.waitWhilePaused(
      {attemptId: 'attempt-1', parts: [], promptTokens: 0, priority: 1},
      new Set(),
      () => ({objectiveMilliseconds: OBJECTIVE_MILLISECONDS, millisecondsLeft}),
      new AbortController().signal,
    );
    expect(refusal !== undefined).toBe(isRefused);
    expect(pauses).toEqual([]);
  });
});
