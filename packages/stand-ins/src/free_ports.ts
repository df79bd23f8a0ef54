/** Free ports on loopback for processes of the demonstration and of tests. */
import {randomInt} from 'node:crypto';
import {mkdirSync, rmSync, statSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Lowest port to try; `fetch` blocks some of the lower ports. */
const FIRST_PORT = 12_000;

/** Number of ports to choose from. */
const PORT_COUNT = 18_000;

/** Folder with a file for each reserved port. */
const RESERVATIONS = join(tmpdir(), 'lacewingwinch-ports');

/** Milliseconds for which a port is reserved: those that a test may take. */
const RESERVATION_MILLISECONDS = 600_000;

/**
 * Returns `count` free ports on loopback, below the range that the system uses for
 * outgoing connections. No other call returns them for some minutes, in any process:
 * a port is free again until its user listens, and while its user restarts.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  mkdirSync(RESERVATIONS, {recursive: true});
  const ports: number[] = [];
  while (ports.length < count) {
    const port = randomInt(FIRST_PORT, FIRST_PORT + PORT_COUNT);
    if (reserve(port, Date.now()) && (await isFree(port))) {
      ports.push(port);
    }
  }
  return ports;
}

/** Reserves a port; returns whether no other call has. */
function reserve(port: number, now: number): boolean {
  const path = join(RESERVATIONS, String(port));
  const reservedAt = statSync(path, {throwIfNoEntry: false})?.mtimeMs;
  if (reservedAt !== undefined) {
    if (now - reservedAt < RESERVATION_MILLISECONDS) {
      return false;
    }
    rmSync(path, {force: true});
  }
  try {
    writeFileSync(path, '', {flag: 'wx'});
    return true;
  } catch (error) {
    if (error instanceof Error && 'code' in error && error.code === 'EEXIST') {
      return false;
    }
    throw error;
  }
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
