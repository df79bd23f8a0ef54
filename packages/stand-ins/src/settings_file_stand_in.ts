/**
 * Settings files as the platform writes them, for processes on loopback.
 */
import {createServer} from 'node:net';

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
  return {
    callers: await freeAddress(),
    peers: await freeAddress(),
    discovery: await freeAddress(),
    readiness: await freeAddress(),
  };
}

/** The text of a settings file. */
export function settingsFileText(
  hostId: string,
  addresses: LoopbackAddresses,
  storeAddress: string,
): string {
  return `nodeName = "${hostId}"
ip = "127.0.0.1"
zone = "north"
internalPortRange = [0, 0]
seedNodes = []
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
[platform]
address = "${storeAddress}"
[cloudApi]
address = "${storeAddress}"
duties = ["usage_reporting"]
`;
}

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  await new Promise(resolve => server.close(resolve));
  return `127.0.0.1:${port}`;
}
