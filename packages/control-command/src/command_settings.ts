/**
 * The settings of `lacewingctl`, read from flags and environment variables.
 */
import {z} from 'zod';

/** Flags that all commands accept. */
export const COMMON_FLAGS = {
  logUrl: {
    flag: '--log-url <url>',
    variable: 'LACEWINGWINCH_LOG_URL',
    help: 'Base URL of the log service',
  },
  operatorAddress: {
    flag: '--operator-address <address>',
    variable: 'LACEWINGWINCH_OPERATOR_ADDRESS',
    help: 'Operator address of any entry host, as IP:port',
  },
  peerAddress: {
    flag: '--peer-address <address>',
    variable: 'LACEWINGWINCH_PEER_ADDRESS',
    help: 'Address of any entry host on the platform for other hosts, as IP:port',
  },
  output: {
    flag: '--output <format>',
    variable: 'LACEWINGWINCH_OUTPUT',
    help: 'text or json',
  },
  waitSeconds: {
    flag: '--wait-seconds <seconds>',
    variable: 'LACEWINGWINCH_WAIT_SECONDS',
    help: 'Seconds to wait for a change to be in force everywhere',
  },
} as const;

const ADDRESS = z
  .string()
  .regex(/^\S+:\d{1,5}$/, 'must be an IP address and a port');

const SCHEMA = z
  .object({
    logUrl: z.url({protocol: /^https?$/}).optional(),
    operatorAddress: ADDRESS.optional(),
    peerAddress: ADDRESS.optional(),
    output: z.enum(['text', 'json']).default('text'),
    waitSeconds: z.coerce.number().positive().default(10),
  })
  .readonly();

/** The validated settings of a command. */
export type CommandSettings = z.infer<typeof SCHEMA>;

/** Error for invalid arguments or settings of a command. */
export class UsageError extends Error {
  override readonly name = 'UsageError';

  constructor(readonly faults: readonly string[]) {
    super(faults.join('\n'));
  }
}

type FlagName = keyof typeof COMMON_FLAGS;

/**
 * Reads the common settings. A flag takes precedence over its environment
 * variable.
 */
export function readCommandSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): CommandSettings {
  const names = Object.keys(COMMON_FLAGS) as readonly FlagName[];
  const values = Object.fromEntries(
    names.flatMap(name => {
      const value = flags[name] ?? environment[COMMON_FLAGS[name].variable];
      return value === undefined ? [] : [[name, value]];
    }),
  );
  const parsed = SCHEMA.safeParse(values);
  if (parsed.success) {
    return parsed.data;
  }
  throw new UsageError(
    parsed.error.issues.map(issue => {
      const name = String(issue.path[0]) as FlagName;
      const flag = COMMON_FLAGS[name].flag.split(' ', 1)[0] ?? name;
      return `${flag} (${COMMON_FLAGS[name].variable}): ${issue.message}`;
    }),
  );
}

/** Returns the log URL, or throws a `UsageError` if it is not set. */
export function requireLogUrl(settings: CommandSettings): string {
  if (settings.logUrl === undefined) {
    throw new UsageError(['--log-url (LACEWINGWINCH_LOG_URL): is missing']);
  }
  return settings.logUrl;
}

/** Returns the operator address, or throws a `UsageError` if it is not set. */
export function requireOperatorAddress(settings: CommandSettings): string {
  if (settings.operatorAddress === undefined) {
    throw new UsageError([
      '--operator-address (LACEWINGWINCH_OPERATOR_ADDRESS): is missing',
    ]);
  }
  return settings.operatorAddress;
}

/** Returns the peer address, or throws a `UsageError` if it is not set. */
export function requirePeerAddress(settings: CommandSettings): string {
  if (settings.peerAddress === undefined) {
    throw new UsageError([
      '--peer-address (LACEWINGWINCH_PEER_ADDRESS): is missing',
    ]);
  }
  return settings.peerAddress;
}
