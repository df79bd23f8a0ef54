/** Tests of the arguments of the measurements and of the fuzzing. */
import {describe, expect, it} from 'vitest';

import {readFuzzArguments, readMeasureArguments} from '../src/index.js';

const NAMES = ['path', 'start'] as const;

describe('a measurement', () => {
  it.each<{readonly argv: readonly string[]; readonly call: object}>([
    {argv: ['path'], call: {kind: 'run', settings: 'path'}},
    {argv: ['--help'], call: {kind: 'help'}},
    {
      argv: ['path', 'start'],
      call: {kind: 'invalid', fault: 'too many arguments: path start'},
    },
    {
      argv: ['speed'],
      call: {
        kind: 'invalid',
        fault: 'there is no measurement speed, only path, start',
      },
    },
    {
      argv: [],
      call: {
        kind: 'invalid',
        fault: expect.stringContaining('name') as string,
      },
    },
    {
      argv: ['path', '--fast'],
      call: {
        kind: 'invalid',
        fault: expect.stringContaining('--fast') as string,
      },
    },
  ])('with $argv', ({argv, call}) => {
    expect(readMeasureArguments(NAMES, argv)).toEqual(call);
  });
});

describe('the fuzzing', () => {
  it.each([
    {argv: [], settings: {seconds: 10, seed: 1}},
    {
      argv: ['--seconds', '60', '--seed', '7'],
      settings: {seconds: 60, seed: 7},
    },
  ])('runs with $argv', ({argv, settings}) => {
    expect(readFuzzArguments(argv)).toEqual({kind: 'run', settings});
  });

  it.each([
    {argv: ['--seconds', '0']},
    {argv: ['--seconds', 'long']},
    {argv: ['--seconds']},
    {argv: ['--seed', '1.5']},
    {argv: ['--seed', 'x']},
    {argv: ['--seeds', '1']},
    {argv: ['60']},
  ])('does not start with $argv', ({argv}) => {
    expect(readFuzzArguments(argv).kind).toBe('invalid');
  });
});
