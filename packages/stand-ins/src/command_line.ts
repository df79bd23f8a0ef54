/**
 * The command lines of the tools that play or measure something.
 */
import {cac} from 'cac';

/** Exit code for invalid arguments. */
export const EXIT_USAGE = 2;

/** An option with one value. */
export interface CommandOption {
  /** Name and value, such as `--seconds <count>`. */
  readonly flag: string;
  readonly help: string;
}

/** A command line with positional arguments and options. */
export interface CommandLine {
  readonly name: string;
  readonly description: string;
  /** Positional argument, such as `<name>`; absent if there is none. */
  readonly argument?: string;
  readonly options: readonly CommandOption[];
}

/** The arguments of a command. */
export interface CommandArguments {
  /** Value of the positional argument. */
  readonly argument: string | undefined;
  /** Values as they were given, by the name of the option. */
  readonly options: Readonly<Record<string, string>>;
}

/** What a command was called with. */
export type CommandCall<T> =
  | {readonly kind: 'run'; readonly settings: T}
  /** The help was requested and has been printed. */
  | {readonly kind: 'help'}
  | {readonly kind: 'invalid'; readonly fault: string};

/** Error of an argument, with what is wrong with it. */
export class ArgumentError extends Error {
  override readonly name = 'ArgumentError';
}

/**
 * Reads the arguments of a command; `settingsOf` turns them into its settings or
 * throws an `ArgumentError`.
 */
export function readCommandLine<T>(
  commandLine: CommandLine,
  argv: readonly string[],
  settingsOf: (given: CommandArguments) => T,
): CommandCall<T> {
  const {name, description, argument = '', options} = commandLine;
  const cli = cac(name);
  const command = cli.command(argument, description);
  options.forEach(({flag, help}) => command.option(flag, help));
  cli.help();
  let call: CommandCall<T> = {kind: 'help'};
  command.action((...given: readonly unknown[]) => {
    const flags = given.at(-1) as Readonly<Record<string, unknown>>;
    if (cli.args.length > (argument === '' ? 0 : 1)) {
      throw new ArgumentError(`too many arguments: ${cli.args.join(' ')}`);
    }
    call = {
      kind: 'run',
      settings: settingsOf({
        argument: cli.args[0],
        options: valuesOf(flags),
      }),
    };
  });
  try {
    cli.parse(['node', name, ...argv], {run: false});
    cli.runMatchedCommand();
    return call;
  } catch (error) {
    const isFault =
      error instanceof ArgumentError ||
      (error instanceof Error && error.name === 'CACError');
    if (!isFault) {
      throw error;
    }
    return {kind: 'invalid', fault: error.message};
  }
}

/**
 * Returns the settings of a command. Ends the process after the help was printed,
 * and with a fault on standard error if the arguments are invalid.
 */
export function settingsOrExit<T>(
  {name}: CommandLine,
  call: CommandCall<T>,
): T {
  switch (call.kind) {
    case 'run':
      return call.settings;
    case 'help':
      return process.exit(0);
    case 'invalid':
      process.stderr.write(`${name}: ${call.fault}; see --help\n`);
      return process.exit(EXIT_USAGE);
  }
}

/** Returns a whole number of an option or its default. */
export function wholeNumberOf(
  {options}: CommandArguments,
  name: string,
  {minimum, maximum, fallback}: WholeNumberBounds,
): number {
  const text = options[name];
  if (text === undefined) {
    return fallback;
  }
  const value = Number(text);
  if (!/^\d+$/.test(text) || value < minimum || value > maximum) {
    throw new ArgumentError(
      `--${name}: must be a whole number from ${minimum} to ${maximum}`,
    );
  }
  return value;
}

/** The values that an option may have, and its default. */
export interface WholeNumberBounds {
  readonly minimum: number;
  readonly maximum: number;
  readonly fallback: number;
}

function valuesOf(
  flags: Readonly<Record<string, unknown>>,
): Readonly<Record<string, string>> {
  const given = Object.entries(flags).filter(([name]) => name !== '--');
  return Object.fromEntries(
    given.map(([name, value]) => {
      if (typeof value !== 'string' && typeof value !== 'number') {
        throw new ArgumentError(`--${name}: must be given once, with a value`);
      }
      return [name, String(value)];
    }),
  );
}
