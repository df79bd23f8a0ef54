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

/** Starts `script` with this Node.js. */
export function startProcess(
  name: string,
  script: string,
  commandArguments: readonly string[],
): StartedProcess {
  const child = spawn(process.execPath, [script, ...commandArguments], {
    stdio: ['ignore', 'pipe', 'pipe'],
    // The terminal's interrupt reaches only the script that started this.
    detached: true,
  });
  let errors = '';
  child.stderr.on('data', (chunk: Buffer) => {
    errors += chunk.toString();
  });
  const exited = new Promise<number | null>(resolve => {
    child.on('exit', code => resolve(code));
  });
  return {name, child, exited, errorOutput: () => errors};
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

/** Ports on loopback that are free now. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = createServer();
      await new Promise<void>(resolve => {
        server.listen(0, '127.0.0.1', resolve);
      });
      return server;
    }),
  );
  return Promise.all(
    servers.map(async server => {
      const address = server.address();
      await new Promise(resolve => {
        server.close(resolve);
      });
      return typeof address === 'object' && address !== null ? address.port : 0;
    }),
  );
}

/** Waits until `condition` holds; fails after `milliseconds`. */
export async function waitFor(
  what: string,
  condition: () => Promise<boolean> | boolean,
  milliseconds = 20_000,
): Promise<void> {
  const until = Date.now() + milliseconds;
  while (!(await isTrue(condition))) {
    if (Date.now() >= until) {
      throw new Error(`timeout: ${what}`);
    }
    await new Promise(resolve => {
      setTimeout(resolve, 20);
    });
  }
}

async function isTrue(
  condition: () => Promise<boolean> | boolean,
): Promise<boolean> {
  try {
    return await condition();
  } catch {
    return false;
  }
}
