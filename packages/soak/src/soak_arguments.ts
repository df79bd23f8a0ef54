/**
 * The arguments of the soak.
 */
import {
  ArgumentError,
  type CommandCall,
  type CommandLine,
  readCommandLine,
  wholeNumberOf,
} from '@lacewingwinch/stand-ins';

import {DEFAULT_SIZE} from './run_seed.js';

/** Largest number of hosts, each of which is a process. */
const MAXIMUM_HOSTS = 50;

/** The seeds of a soak and its size. */
export interface SoakSettings {
  readonly first: number;
  readonly last: number;
  readonly hosts: number;
  /** Path of the program of another build, which runs beside the present one. */
  readonly otherProgram?: string;
}

/** The command line of the soak. */
export const SOAK_COMMAND: CommandLine = {
  name: 'soak',
  description: 'Run real processes under the faults of each seed',
  options: [
    {flag: '--seeds <range>', help: 'One seed, or a range such as 1..20'},
    {
      flag: '--hosts <count>',
      help: `Number of entry hosts, by default ${DEFAULT_SIZE.hosts}`,
    },
    {
      flag: '--beside <program>',
      help: 'Program of another build; all hosts change between both in turn',
    },
  ],
};

/** Reads the arguments of the soak. */
export function readSoakArguments(
  argv: readonly string[],
): CommandCall<SoakSettings> {
  return readCommandLine(SOAK_COMMAND, argv, given => ({
    ...readSeeds(given.options['seeds']),
    hosts: wholeNumberOf(given, 'hosts', {
      minimum: 1,
      maximum: MAXIMUM_HOSTS,
      fallback: DEFAULT_SIZE.hosts,
    }),
    ...(given.options['beside'] !== undefined && {
      otherProgram: given.options['beside'],
    }),
  }));
}

function readSeeds(
  text: string | undefined,
): Pick<SoakSettings, 'first' | 'last'> {
  if (text === undefined) {
    throw new ArgumentError('--seeds: is missing');
  }
  const range = /^(\d+)(?:\.\.(\d+))?$/.exec(text);
  const first = Number(range?.[1]);
  const last = Number(range?.[2] ?? range?.[1]);
  if (!Number.isSafeInteger(first) || !Number.isSafeInteger(last)) {
    throw new ArgumentError('--seeds: must be a seed or a range such as 1..20');
  }
  if (last < first) {
    throw new ArgumentError('--seeds: the last seed is below the first one');
  }
  return {first, last};
}
