/**
 * Helpers that start and watch child processes for the demonstration and tests.
 */
import {type ChildProcess, spawn} from 'node:child_process';

/** A started process. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or null if a signal ended the process. */
  readonly exited: Promise<number | null>;
  /** Returns the standard error output so far. */
  readonly errorOutput: () => string;
}

/**
 * Starts `script` with the Node.js binary of this process; without `env` the
 * child inherits the environment.
 */
export function startProcess(
  name: string,
  script: string,
  commandArguments: readonly string[],
  env?: Readonly<Record<string, string>>,
): StartedProcess {
  const child = spawn(process.execPath, [script, ...commandArguments], {
    stdio: ['pipe', 'pipe', 'pipe'],
    // A process group of its own, so that Ctrl-C in the terminal interrupts
    // only the parent, which then stops the child.
    detached: true,
    ...(env === undefined ? {} : {env}),
  });
  let errorText = '';
  child.stderr.on('data', (chunk: Buffer) => {
    errorText += chunk.toString();
  });
  const exited = new Promise<number | null>(resolve => {
    child.on('exit', code => resolve(code));
  });
  return {
    name,
    child,
    exited,
    errorOutput: () => errorText,
  };
}

/**
 * Resolves with the first line that `started` prints; rejects if the process
 * exits.
 */
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
      reject(new Error(`${started.name} exited: ${started.errorOutput()}`)),
    );
  });
}

/**
 * Waits until `condition` is true; rejects after `milliseconds` with `what` and
 * the last error of `condition`.
 */
export async function waitFor(
  what: string,
  condition: () => Promise<boolean> | boolean,
  milliseconds = 20_000,
): Promise<void> {
  const deadline = Date.now() + milliseconds;
  for (;;) {
    const failure = await checkCondition(condition);
    if (failure === undefined) {
      return;
    }
    if (Date.now() >= deadline) {
      throw new Error(`timed out waiting for: ${what}: ${failure}`);
    }
    await new Promise(resolve => {
      setTimeout(resolve, 20);
    });
  }
}

/** Returns why `condition` is not met; undefined if it is. */
async function checkCondition(
  condition: () => Promise<boolean> | boolean,
): Promise<string | undefined> {
  try {
    return (await condition()) ? undefined : 'the condition is false';
  } catch (error) {
    return error instanceof Error
      ? error.message
      : 'the condition threw a value that is not an Error';
  }
}
