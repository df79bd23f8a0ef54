/**
 * Settings files as the platform writes them, for processes on loopback.
 */
import {findFreePorts, waitFor} from './child_process_group.js';

/** Path at which the platform asks whether a process is ready. */
export const READINESS_PATH = '/api/readiness';

/** The environment that names the settings file at `path`. */
export function settingsEnvironment(
  path: string,
): Readonly<Record<string, string>> {
  return {LACEWINGWINCH_CONFIG: path};
}

/** Addresses of a process on loopback. */
export interface LoopbackAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly discovery: string;
  readonly readiness: string;
}

/** Addresses with free ports. */
export async function freeLoopbackAddresses(): Promise<LoopbackAddresses> {
  const ports = await findFreePorts(4);
  const [callers = '', peers = '', discovery = '', readiness = ''] = ports.map(
    port => `127.0.0.1:${port}`,
  );
  return {callers, peers, discovery, readiness};
}

/** Whether the process with `addresses` says that it is ready. */
export async function isReadyAt({
  readiness,
}: Pick<LoopbackAddresses, 'readiness'>): Promise<boolean> {
  try {
    const answer = await fetch(`http://${readiness}${READINESS_PATH}`);
    return answer.status === 200;
  } catch {
    // Nobody listens yet.
    return false;
  }
}

/** Only ends a test that would never end; a start takes less than a second. */
const WAIT_MILLISECONDS = 55_000;

/** Waits until the process with `addresses` is ready. */
export function untilReadyAt(addresses: LoopbackAddresses): Promise<void> {
  return waitFor(
    'the process is ready',
    () => isReadyAt(addresses),
    WAIT_MILLISECONDS,
  );
}

/** What a settings file may hold besides the defaults. */
export interface SettingsFileOptions {
  /** Peer addresses to join at. */
  readonly seeds?: readonly string[];
  /** Of the keys, while the store is away. */
  readonly revocationMilliseconds?: number;
  readonly usageWindowSeconds?: number;
}

/** The text of a settings file. */
export function settingsFileText(
  hostId: string,
  addresses: LoopbackAddresses,
  storeAddress: string,
  {
    seeds = [],
    revocationMilliseconds = 5000,
    usageWindowSeconds = 5,
  }: SettingsFileOptions = {},
): string {
  return `nodeName = "${hostId}"
ip = "127.0.0.1"
zone = "north"
internalPortRange = [0, 0]
seedNodes = ${JSON.stringify(seeds)}
bootstrap = true
[zones]
north = "region"
[listenAddresses]
frontendAddr = "${addresses.callers}"
readiness = "${addresses.readiness}"
controlPlane = "${addresses.peers}"
directoryService = "${addresses.discovery}"
[limits]
cpuFraction = 1.0
memoryMb = 350
fileDescriptors = 4100
[bounds]
leaseMs = 3000
revocationMs = ${revocationMilliseconds}
usageWindowS = ${usageWindowSeconds}
[platform]
address = "${storeAddress}"
[cloudApi]
address = "${storeAddress}"
duties = ["usage_reporting"]
`;
}
