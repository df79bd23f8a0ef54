/** Tests of the arguments of the soak. */
import {describe, expect, it} from 'vitest';

import {DEFAULT_SIZE, readSoakArguments} from '../src/index.js';

describe('the soak', () => {
  it.each([
    {
      argv: ['--seeds', '12'],
      settings: {first: 12, last: 12, hosts: DEFAULT_SIZE.hosts},
    },
    {
      argv: ['--seeds', '3..7', '--hosts', '4'],
      settings: {first: 3, last: 7, hosts: 4},
    },
    {
      argv: ['--seeds', '3', '--beside', '/other/program.cjs'],
      settings: {
        first: 3,
        last: 3,
        hosts: DEFAULT_SIZE.hosts,
        otherProgram: '/other/program.cjs',
      },
    },
  ])('runs with $argv', ({argv, settings}) => {
    expect(readSoakArguments(argv)).toEqual({kind: 'run', settings});
  });

  it.each([['--help'], ['-h'], ['--seeds', '1', '--help']])(
    'prints its usage with %s %s %s',
    (...argv) => {
      expect(readSoakArguments(argv)).toEqual({kind: 'help'});
    },
  );

  it.each<{readonly argv: readonly string[]; readonly fault: RegExp}>([
    {argv: [], fault: /--seeds/},
    {argv: ['--seeds'], fault: /seeds/},
    {argv: ['--seeds', 'many'], fault: /--seeds/},
    {argv: ['--seeds', '-1'], fault: /seeds|option/i},
    {argv: ['--seeds', '1.5'], fault: /--seeds/},
    {argv: ['--seeds', '7..3'], fault: /below/},
    {argv: ['--seeds', '1..'], fault: /--seeds/},
    {argv: ['--seeds', '99999999999999999999'], fault: /--seeds/},
    {argv: ['--seeds', '1', '--seeds', '2'], fault: /--seeds/},
    {argv: ['--seeds', '1', '--hosts', '0'], fault: /--hosts/},
    {argv: ['--seeds', '1', '--hosts', '2.5'], fault: /--hosts/},
    {argv: ['--seeds', '1', '--hosts', '100000'], fault: /--hosts/},
    {argv: ['--seeds', '1', '--unknown', '1'], fault: /unknown/i},
    {argv: ['--seeds', '1', 'more'], fault: /more/},
  ])('does not start with $argv', ({argv, fault}) => {
    expect(readSoakArguments(argv)).toEqual({
      kind: 'invalid',
      fault: expect.stringMatching(fault) as string,
    });
  });
});
