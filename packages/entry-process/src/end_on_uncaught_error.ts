/**
 * The end of a process after an error that nothing caught. What the error left
 * behind is unknown, so the process never continues; it leaves in order, because
 * its other requests are sound.
 */

/** Exit code after an uncaught error. */
const EXIT_UNCAUGHT = 1;

/** Milliseconds allowed for writing the last log lines before the exit. */
const LOG_FLUSH_MILLISECONDS = 30;

/** The events and the end of a process. */
export interface EndingProcess {
  exitCode?: number | string | null | undefined;
  on(
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ): unknown;
  exit(code: number): void;
}

/** What to do when an error was not caught. */
export interface UncaughtErrorHandlers {
  /** Logs the error with its stack. */
  readonly log: (stack: string) => void;
  /** Stops accepting requests; resolves when those in progress have ended. */
  readonly leave: () => Promise<void>;
}

/** Makes `ending` leave and exit after the first error that nothing caught. */
export function endOnUncaughtError(
  ending: EndingProcess,
  {log, leave}: UncaughtErrorHandlers,
): void {
  let isEnding = false;
  const onError = (error: unknown): void => {
    log(
      error instanceof Error ? (error.stack ?? error.message) : String(error),
    );
    if (isEnding) {
      return;
    }
    isEnding = true;
    ending.exitCode = EXIT_UNCAUGHT;
    const exit = (): void => {
      setTimeout(() => ending.exit(EXIT_UNCAUGHT), LOG_FLUSH_MILLISECONDS);
    };
    leave().then(exit, (leaveError: unknown) => {
      log(String(leaveError));
      exit();
    });
  };
  ending.on('uncaughtException', onError);
  ending.on('unhandledRejection', onError);
}
