/**
 * Settings files in the platform's format, for processes on loopback.
 */
import {type StartedProcess, waitFor} from './child_process_group.js';
import {findFreePorts} from './free_ports.js';

/** Path of the platform's readiness check. */
export const READINESS_PATH = '/api/readiness';

/** Returns the environment variables that name the settings file. */
export function settingsEnvironment(
  path: string,
): Readonly<Record<string, string>> {
  return {LACEWINGWINCH_CONFIG: path};
}

/** Addresses at which a process on loopback listens. */
export interface LoopbackAddresses {
  readonly callers: string;
  readonly peers: string;
  readonly discovery: string;
  readonly readiness: string;
  readonly relay: string;
}

/** Returns loopback addresses with free ports. */
export async function freeLoopbackAddresses(): Promise<LoopbackAddresses> {
  const ports = await findFreePorts(5);
  const [callers = '', peers = '', discovery = '', readiness = '', relay = ''] =
    ports.map(port => `127.0.0.1:${port}`);
  return {callers, peers, discovery, readiness, relay};
}

/** Returns whether a process passes its readiness check. */
export async function isReadyAt({
  readiness,
}: Pick<LoopbackAddresses, 'readiness'>): Promise<boolean> {
  try {
    const answer = await fetch(`http://${readiness}${READINESS_PATH}`);
    return answer.status === 200;
  } catch {
    // The process is not listening yet.
    return false;
  }
}

/**
 * Stops a test that would otherwise wait forever; a start takes less than a
 * second.
 */
const READY_TIMEOUT_MILLISECONDS = 55_000;

/** Waits until the process at `addresses` is ready. */
export function waitUntilReadyAt(addresses: LoopbackAddresses): Promise<void> {
  return waitFor(
    'the process is ready',
    () => isReadyAt(addresses),
    READY_TIMEOUT_MILLISECONDS,
  );
}

/**
 * Waits until `started`, which listens at `addresses`, is ready; rejects with its
 * error output if it exits.
 */
export async function waitUntilReady(
  started: StartedProcess,
  addresses: LoopbackAddresses,
): Promise<void> {
  const hasExited = (): boolean =>
    started.child.exitCode !== null || started.child.signalCode !== null;
  await waitFor(
    `${started.name} is ready`,
    async () => hasExited() || (await isReadyAt(addresses)),
    READY_TIMEOUT_MILLISECONDS,
  );
  if (hasExited()) {
    throw new Error(`${started.name} exited: ${started.errorOutput()}`);
  }
}

/** Settings that replace the defaults of a settings file. */
export interface SettingsFileOptions {
  /** Peer addresses through which the process joins the others. */
  readonly seeds?: readonly string[];
  /**
   * Milliseconds within which a revocation of a key must take effect, also
   * while the store is unreachable.
   */
  readonly revocationMilliseconds?: number;
  readonly usageWindowSeconds?: number;
  readonly gracePeriodSeconds?: number;
  readonly memoryMegabytes?: number;
  readonly fileDescriptors?: number;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart?: boolean;
}

/** Returns the text of a settings file. */
export function settingsFileText(
  hostId: string,
  addresses: LoopbackAddresses,
  storeAddress: string,
  {
    seeds = [],
    revocationMilliseconds = 5000,
    usageWindowSeconds = 5,
    gracePeriodSeconds = 8,
    memoryMegabytes = 350,
    fileDescriptors = 4100,
    isFirstStart = true,
  }: SettingsFileOptions = {},
): string {
  return `nodeName = "${hostId}"
ip = "127.0.0.1"
zone = "north"
internalPortRange = [${portOf(addresses.relay)}, ${portOf(addresses.relay)}]
seedNodes = ${JSON.stringify(seeds)}
bootstrap = ${isFirstStart}
[zones]
north = "region"
[listenAddresses]
frontendAddr = "${addresses.callers}"
readiness = "${addresses.readiness}"
controlPlane = "${addresses.peers}"
directoryService = "${addresses.discovery}"
[limits]
cpuFraction = 1.0
memoryMb = ${memoryMegabytes}
fileDescriptors = ${fileDescriptors}
[bounds]
leaseMs = 3000
revocationMs = ${revocationMilliseconds}
usageWindowS = ${usageWindowSeconds}
gracePeriodS = ${gracePeriodSeconds}
[platform]
address = "${storeAddress}"
[cloudApi]
address = "${storeAddress}"
duties = ["usage_reporting"]
`;
}

function portOf(address: string): string {
  return address.slice(address.lastIndexOf(':') + 1);
}
