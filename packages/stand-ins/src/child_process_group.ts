/**
 * Child processes of the demonstration and of tests.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {createServer} from 'node:net';

/** A started process. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or null after a signal. */
  readonly exited: Promise<number | null>;
  /** Standard error so far. */
  readonly errorOutput: () => string;
}

/**
 * Starts `script` with this Node.js, in this process's environment if `env` is
 * not given.
 */
export function startProcess(
  name: string,
  script: string,
  commandArguments: readonly string[],
  env?: Readonly<Record<string, string>>,
): StartedProcess {
  const child = spawn(process.execPath, [script, ...commandArguments], {
    stdio: ['ignore', 'pipe', 'pipe'],
    // The terminal's interrupt reaches only the script that started this.
    detached: true,
    ...(env === undefined ? {} : {env}),
  });
  let errors = '';
  child.stderr.on('data', (chunk: Buffer) => {
    errors += chunk.toString();
  });
  const exited = new Promise<number | null>(resolve => {
    child.on('exit', code => resolve(code));
  });
  return {
    name,
    child,
    exited,
    errorOutput: () => errors,
  };
}

/** Resolves with the first line that `started` prints. */
export function firstLine(started: StartedProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    started.child.stdout?.on('data', (chunk: Buffer) => {
      text += chunk.toString();
      const end = text.indexOf('\n');
      if (end !== -1) {
        resolve(text.slice(0, end));
      }
    });
    void started.exited.then(() =>
      reject(new Error(`${started.name} ended: ${started.errorOutput()}`)),
    );
  });
}

/** First port that is tried, above those that `fetch` refuses, and number of ports that may be tried. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

/** A prime, so that neighbouring process ids begin far from each other. */
const PORT_STRIDE = 7919;

let nextPort = (process.pid * PORT_STRIDE) % PORT_COUNT;

/**
 * Ports on loopback that are free now, below those that the system gives to
 * outgoing connections.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + nextPort;
    nextPort = (nextPort + 1) % PORT_COUNT;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
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

/** Waits until `condition` holds; fails after `milliseconds`. */
export async function waitFor(
  what: string,
  condition: () => Promise<boolean> | boolean,
  milliseconds = 20_000,
): Promise<void> {
  const until = Date.now() + milliseconds;
  for (;;) {
    const failure = await failureOf(condition);
    if (failure === undefined) {
      return;
    }
    if (Date.now() >= until) {
      throw new Error(`timeout: ${what}: ${failure}`);
    }
    await new Promise(resolve => {
      setTimeout(resolve, 20);
    });
  }
}

async function failureOf(
  condition: () => Promise<boolean> | boolean,
): Promise<string | undefined> {
  try {
    return (await condition()) ? undefined : 'it does not hold';
  } catch (error) {
    return error instanceof Error ? error.message : 'it failed';
  }
}
