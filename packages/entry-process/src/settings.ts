/**
 * The settings of an entry process, from flags and environment variables.
 */
import {LOG_LEVELS} from '@lacewingwinch/observability';
import {z} from 'zod';

const PORT = z.coerce.number().int().min(1).max(65_535);
const SECONDS = z.coerce.number().positive();
const BASE_URL = z.url({protocol: /^https?$/});
const PEER_ADDRESSES = z
  .string()
  .transform(text => text.split(',').filter(part => part !== ''))
  .pipe(
    z.array(
      z
        .string()
        .regex(/^[0-9a-fA-F.:[\]]+:\d+$/, 'must be IP addresses with ports'),
    ),
  );

/** Flag, help text and schema of each setting, by its name. */
export const SETTINGS = {
  hostId: {
    flag: '--host-id <id>',
    help: 'Name of this entry host, unique among all hosts',
    schema: z.string().regex(/^[a-z0-9][a-z0-9-]*$/),
  },
  failureDomain: {
    flag: '--failure-domain <name>',
    help: 'Failure domain of this host',
    schema: z.string().regex(/^[a-z0-9][a-z0-9-]*$/),
  },
  listenAddress: {
    flag: '--listen-address <ip>',
    help: 'IP number to listen on and to be reached at',
    schema: z.union([z.ipv4(), z.ipv6()]).default('127.0.0.1'),
  },
  callerPort: {
    flag: '--caller-port <port>',
    help: 'Port for callers',
    schema: PORT.default(8080),
  },
  peerPort: {
    flag: '--peer-port <port>',
    help: 'Port for other entry hosts',
    schema: PORT.default(8081),
  },
  relayPort: {
    flag: '--relay-port <port>',
    help: 'Port at which other entry hosts have attempts carried to upstreams',
    schema: PORT.default(8083),
  },
  operatorPort: {
    flag: '--operator-port <port>',
    help: 'Port for operators',
    schema: PORT.default(8082),
  },
  logUrl: {
    flag: '--log-url <url>',
    help: 'Base URL of the log service',
    schema: BASE_URL,
  },
  hostListUrl: {
    flag: '--host-list-url <url>',
    help: 'Base URL of the host list',
    schema: BASE_URL,
  },
  cloudUrl: {
    flag: '--cloud-url <url>',
    help: 'Base URL of the cloud API',
    schema: BASE_URL,
  },
  peers: {
    flag: '--peers <addresses>',
    help: 'Peer addresses to join at besides those of the host list, with commas',
    schema: PEER_ADDRESSES.default([]),
  },
  lingerSeconds: {
    flag: '--linger-seconds <seconds>',
    help: 'Seconds for which a leaving host still takes connections',
    schema: SECONDS.default(12),
  },
  stopSeconds: {
    flag: '--stop-seconds <seconds>',
    help: 'Seconds after which a stop hands over what is not finished',
    schema: SECONDS.default(120),
  },
  keptAnswerSeconds: {
    flag: '--kept-answer-seconds <seconds>',
    help: 'Seconds for which an answer is kept for fetching again',
    schema: SECONDS.default(120),
  },
  snapshotSeconds: {
    flag: '--snapshot-seconds <seconds>',
    help: 'Seconds between configuration snapshots in the log',
    schema: SECONDS.default(600),
  },
  hostListSeconds: {
    flag: '--host-list-seconds <seconds>',
    help: 'Seconds between two readings of the host list',
    schema: SECONDS.default(2),
  },
  ordersService: {
    flag: '--orders-service <name>',
    help: 'Service whose upstream hosts are ordered; none when empty',
    schema: z.string().default(''),
  },
  ordersHosts: {
    flag: '--orders-hosts <count>',
    help: 'Upstream hosts to keep for the ordered service',
    schema: z.coerce.number().int().min(0).default(0),
  },
  ordersOnDemand: {
    flag: '--orders-on-demand <count>',
    help: 'On-demand hosts among them, at least',
    schema: z.coerce.number().int().min(0).default(0),
  },
  memoryMegabytes: {
    flag: '--memory-megabytes <count>',
    help: 'MiB of memory that the process may use; clients are refused before it needs more',
    schema: z.coerce.number().int().min(128).default(350),
  },
  fileDescriptors: {
    flag: '--file-descriptors <count>',
    help: 'Descriptors that the process may have open; connections are closed before it needs more',
    schema: z.coerce.number().int().min(300).default(4096),
  },
  logLevel: {
    flag: '--log-level <level>',
    help: 'Least severity that is logged: error, warn or info',
    schema: z.enum(LOG_LEVELS).default('info'),
  },
  traceUrl: {
    flag: '--trace-url <url>',
    help: 'OTLP/HTTP endpoint for traces; off when empty',
    schema: z.union([z.literal(''), BASE_URL]).default(''),
  },
} as const;

const SETTINGS_SCHEMA = z
  .object({
    hostId: SETTINGS.hostId.schema,
    failureDomain: SETTINGS.failureDomain.schema,
    listenAddress: SETTINGS.listenAddress.schema,
    callerPort: SETTINGS.callerPort.schema,
    peerPort: SETTINGS.peerPort.schema,
    relayPort: SETTINGS.relayPort.schema,
    operatorPort: SETTINGS.operatorPort.schema,
    logUrl: SETTINGS.logUrl.schema,
    hostListUrl: SETTINGS.hostListUrl.schema,
    cloudUrl: SETTINGS.cloudUrl.schema,
    peers: SETTINGS.peers.schema,
    lingerSeconds: SETTINGS.lingerSeconds.schema,
    stopSeconds: SETTINGS.stopSeconds.schema,
    keptAnswerSeconds: SETTINGS.keptAnswerSeconds.schema,
    snapshotSeconds: SETTINGS.snapshotSeconds.schema,
    hostListSeconds: SETTINGS.hostListSeconds.schema,
    ordersService: SETTINGS.ordersService.schema,
    ordersHosts: SETTINGS.ordersHosts.schema,
    ordersOnDemand: SETTINGS.ordersOnDemand.schema,
    memoryMegabytes: SETTINGS.memoryMegabytes.schema,
    fileDescriptors: SETTINGS.fileDescriptors.schema,
    logLevel: SETTINGS.logLevel.schema,
    traceUrl: SETTINGS.traceUrl.schema,
  })
  .readonly();

/** The validated settings of an entry process. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/** The name of a setting. */
export type SettingName = keyof typeof SETTINGS;

/** The names of all settings. */
export const SETTING_NAMES = Object.keys(SETTINGS) as readonly SettingName[];

/** The validated settings, or all faults found in them. */
export type SettingsResult =
  | {readonly kind: 'faulty'; readonly faults: readonly string[]}
  | {readonly kind: 'valid'; readonly settings: Settings};

/** Returns the environment variable of a setting. */
export function variableOf(name: SettingName): string {
  const words = name.replaceAll(/[A-Z]/g, letter => `_${letter}`);
  return `LACEWINGWINCH_${words.toUpperCase()}`;
}

/** Returns the flag of a setting without its value placeholder. */
export function flagOf(name: SettingName): string {
  return SETTINGS[name].flag.split(' ', 1)[0] ?? name;
}

/** Reads the settings; a flag overrides its environment variable. */
export function readSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): SettingsResult {
  const given = Object.fromEntries(
    SETTING_NAMES.flatMap(name => {
      const value = flags[name] ?? environment[variableOf(name)];
      return value === undefined ? [] : [[name, toText(value)]];
    }),
  );
  const parsed = SETTINGS_SCHEMA.safeParse(given);
  if (parsed.success) {
    return {kind: 'valid', settings: parsed.data};
  }
  const faults = parsed.error.issues.map(issue => {
    const name = String(issue.path[0]) as SettingName;
    const reason = name in given ? issue.message : 'is missing';
    return `${flagOf(name)} (${variableOf(name)}): ${reason}`;
  });
  return {kind: 'faulty', faults: [...new Set(faults)]};
}

/**
 * Returns the value of a flag, numbers as text. The last value of a repeated
 * flag counts.
 */
function toText(value: unknown): unknown {
  const last: unknown = Array.isArray(value) ? value.at(-1) : value;
  return typeof last === 'number' ? String(last) : last;
}
