/**
 * The arguments of the measurements and of the fuzzing.
 */
import {
  ArgumentError,
  type CommandCall,
  type CommandLine,
  readCommandLine,
  wholeNumberOf,
} from '@lacewingwinch/stand-ins';

const DEFAULT_SECONDS = 10;

const DAY_SECONDS = 86_400;

/** How long to fuzz, and the first seed. */
export interface FuzzSettings {
  readonly seconds: number;
  readonly seed: number;
}

/** Returns the command line of the measurements `names`. */
export function measureCommand(names: readonly string[]): CommandLine {
  return {
    name: 'measure',
    description: `Run one measurement: ${names.join(', ')}`,
    argument: '<name>',
    options: [],
  };
}

/** Reads the name of a measurement. */
export function readMeasureArguments<N extends string>(
  names: readonly N[],
  argv: readonly string[],
): CommandCall<N> {
  return readCommandLine(measureCommand(names), argv, ({argument}) => {
    const name = names.find(known => known === argument);
    if (name === undefined) {
      throw new ArgumentError(
        `there is no measurement ${argument ?? ''}, only ${names.join(', ')}`,
      );
    }
    return name;
  });
}

/** The command line of the fuzzing. */
export const FUZZ_COMMAND: CommandLine = {
  name: 'fuzz',
  description: 'Fuzz the protocol code until the first failure',
  options: [
    {
      flag: '--seconds <count>',
      help: `How long to fuzz, by default ${DEFAULT_SECONDS}`,
    },
    {flag: '--seed <number>', help: 'First seed, by default 1'},
  ],
};

/** Reads the arguments of the fuzzing. */
export function readFuzzArguments(
  argv: readonly string[],
): CommandCall<FuzzSettings> {
  return readCommandLine(FUZZ_COMMAND, argv, given => ({
    seconds: wholeNumberOf(given, 'seconds', {
      minimum: 1,
      maximum: DAY_SECONDS,
      fallback: DEFAULT_SECONDS,
    }),
    seed: wholeNumberOf(given, 'seed', {
      minimum: 0,
      maximum: Number.MAX_SAFE_INTEGER,
      fallback: 1,
    }),
  }));
}
