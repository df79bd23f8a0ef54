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

/**
 * Ports below those that the kernel gives to outgoing connections, which could
 * take a port between its choice and its use.
 */
const FIRST_PORT = 12_000;
const PORTS = 18_000;

/** Ports between the first ones of two processes. */
const PORTS_OF_PROCESS = 97;

let lastPort = (process.pid * PORTS_OF_PROCESS) % PORTS;

async function freeAddress(): Promise<string> {
  for (;;) {
    lastPort = (lastPort + 1) % PORTS;
    const port = FIRST_PORT + lastPort;
    if (await isFree(port)) {
      return `127.0.0.1:${port}`;
    }
  }
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
