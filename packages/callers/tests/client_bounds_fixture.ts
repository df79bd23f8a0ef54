/** Bounds of clients for tests. */
import {ClientMemory, servingLimitsOf} from '@lacewingwinch/decisions';

import {
  type ClientBounds,
  ConnectionProbes,
  ParsingTurns,
} from '../src/index.js';

const LIMITS = servingLimitsOf({
  memoryBytes: 0,
  heapBytes: Infinity,
  fileDescriptors: 0,
});

/** The bounds of a process without limits. */
export const UNBOUNDED: ClientBounds = {
  limits: LIMITS,
  memory: new ClientMemory(LIMITS),
  turns: new ParsingTurns(),
  probes: new ConnectionProbes(),
  onRead: () => undefined,
  clock: () => performance.now(),
  onRefused: () => undefined,
};
