#!/usr/bin/env node
/**
 * The `lacewingwinch` binary.
 */
import {readFileSync} from 'node:fs';

import {
  decodeSettingsFile,
  type PlatformSettingsResult,
  SETTINGS_FILE_VARIABLE,
} from '@lacewingwinch/platform';
import {cac} from 'cac';

import {endOnUncaughtError} from './end_on_uncaught_error.js';
import type {EntryProcess} from './entry_process.js';
import type {RoutedProcess} from './routed_interface/lifecycle/routed_process.js';
import {readSettings, SETTING_NAMES, SETTINGS, variableOf} from './settings.js';
import {messageOf} from './util/message_of.js';

const HIGHEST_PORT = 65_535;

/** Exit code for invalid arguments or settings. */
const EXIT_USAGE = 2;

/** Exit code of a process that could not start. */
const EXIT_FAILED_START = 1;

/**
 * Milliseconds between two checks of the settings file, which may change
 * without a signal. A shorter period gains little, because the seeds in the
 * file are a few seconds old in any case.
 */
const SETTINGS_POLL_PERIOD_MILLISECONDS = 3000;

/** Milliseconds allowed for writing the last log lines before the exit. */
const LOG_FLUSH_MILLISECONDS = 30;

const cli = cac('lacewingwinch');

const serve = cli.command('serve', 'Serve callers as one entry host');
for (const name of SETTING_NAMES) {
  const {flag, help} = SETTINGS[name];
  serve.option(flag, `${help} [${variableOf(name)}]`);
}
serve.action(async (flags: Readonly<Record<string, unknown>>) => {
  const result = readSettings(flags, process.env);
  switch (result.kind) {
    case 'faulty':
      reportUsageFaults(result.faults);
      return;
    case 'valid': {
      // Each command imports only what it runs, because loading modules takes
      // most of the start-up time.
      const {EntryProcess} = await import('./entry_process.js');
      const entryProcess = new EntryProcess(result.settings);
      stopOnSignals(entryProcess);
      endOnUncaughtError(process, {
        log: stack => entryProcess.logUncaught(stack),
        leave: () => entryProcess.leave('failure'),
      });
      void entryProcess.whenStopped().then(() => process.exit());
      await startOrEnd(entryProcess);
    }
  }
});

cli
  .command(
    'serve-routes',
    `Serve routed calls on the platform, with the settings file named in ${SETTINGS_FILE_VARIABLE}`,
  )
  .option(
    '--metrics-port <port>',
    'Port at which metrics are served; none without it',
  )
  .action(async (flags: {readonly metricsPort?: unknown}) => {
    const path = process.env[SETTINGS_FILE_VARIABLE];
    if (path === undefined) {
      reportUsageFaults([`${SETTINGS_FILE_VARIABLE} is not set`]);
      return;
    }
    const {metricsPort} = flags;
    if (metricsPort !== undefined && !isPort(metricsPort)) {
      reportUsageFaults(['--metrics-port must be a port number']);
      return;
    }
    const result = readSettingsFile(path);
    switch (result.kind) {
      case 'faulty':
        reportUsageFaults(result.faults);
        return;
      case 'valid': {
        const {RoutedProcess} =
          await import('./routed_interface/lifecycle/routed_process.js');
        const routedProcess = new RoutedProcess(result.settings, metricsPort);
        process.on('exit', () => routedProcess.abortUnframed());
        process.on('SIGTERM', () => {
          void routedProcess
            .leave()
            .then(() =>
              setTimeout(() => process.exit(), LOG_FLUSH_MILLISECONDS),
            );
        });
        endOnUncaughtError(process, {
          log: stack => routedProcess.logUncaught(stack),
          leave: () => routedProcess.leave(),
        });
        reloadOnChange(path, routedProcess);
        await startOrEnd(routedProcess);
      }
    }
  });
cli.help();
cli.version('0.1.0');

function isPort(value: unknown): value is number {
  return (
    typeof value === 'number' &&
    Number.isInteger(value) &&
    value > 0 &&
    value <= HIGHEST_PORT
  );
}

function readSettingsFile(path: string): PlatformSettingsResult {
  try {
    return decodeSettingsFile(readFileSync(path, 'utf8'));
  } catch (error) {
    return {kind: 'faulty', faults: [`${path}: ${messageOf(error)}`]};
  }
}

/** Reloads the settings on SIGHUP and when the file has changed. */
function reloadOnChange(path: string, routedProcess: RoutedProcess): void {
  let lastText = JSON.stringify(readSettingsFile(path));
  const reload = (): void => {
    const result = readSettingsFile(path);
    const text = JSON.stringify(result);
    if (text === lastText) {
      return;
    }
    lastText = text;
    switch (result.kind) {
      case 'faulty':
        routedProcess.logFaultySettings(result.faults);
        return;
      case 'valid':
        routedProcess.reload(result.settings);
    }
  };
  process.on('SIGHUP', reload);
  setInterval(reload, SETTINGS_POLL_PERIOD_MILLISECONDS).unref();
}

/** Starts a process; logs why it can't, and ends, if it can't. */
async function startOrEnd(
  starting: Pick<RoutedProcess, 'logFailedStart' | 'start'>,
): Promise<void> {
  try {
    await starting.start();
  } catch (error) {
    starting.logFailedStart(error);
    setTimeout(() => process.exit(EXIT_FAILED_START), LOG_FLUSH_MILLISECONDS);
  }
}

function stopOnSignals(entryProcess: EntryProcess): void {
  let signals = 0;
  const onSignal = (): void => {
    signals += 1;
    if (signals > 1) {
      entryProcess.limitStopTime();
      return;
    }
    void entryProcess.leave('signal');
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

function reportUsageFaults(faults: readonly string[]): void {
  for (const fault of faults) {
    process.stderr.write(`lacewingwinch: ${fault}\n`);
  }
  process.exitCode = EXIT_USAGE;
}

async function main(): Promise<void> {
  try {
    cli.parse(process.argv, {run: false});
    if (
      cli.matchedCommand === undefined &&
      !cli.options['help'] &&
      !cli.options['version']
    ) {
      reportUsageFaults(['a command is missing; see --help']);
    }
    await cli.runMatchedCommand();
  } catch (error) {
    reportUsageFaults([error instanceof Error ? error.message : String(error)]);
    process.exit();
  }
}

void main();
