#!/usr/bin/env node
/**
 * The `lacewingwinch` binary.
 */
import {cac} from 'cac';

import {EntryProcess} from './entry_process.js';
import {readSettings, SETTING_NAMES, SETTINGS, variableOf} from './settings.js';

/** Exit code for faulty arguments or settings. */
const EXIT_USAGE = 2;

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
      fail(result.faults);
      return;
    case 'valid': {
      const entryProcess = new EntryProcess(result.settings);
      stopOnSignals(entryProcess);
      void entryProcess.whenStopped().then(() => process.exit(0));
      await entryProcess.start();
    }
  }
});
cli.help();
cli.version('0.1.0');

function stopOnSignals(entryProcess: EntryProcess): void {
  let signals = 0;
  const onSignal = (): void => {
    signals += 1;
    if (signals > 1) {
      entryProcess.hurry();
      return;
    }
    void entryProcess.leave('signal');
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

function fail(faults: readonly string[]): void {
  for (const fault of faults) {
    process.stderr.write(`lacewingwinch: ${fault}\n`);
  }
  process.exitCode = EXIT_USAGE;
}

try {
  cli.parse(process.argv, {run: false});
  if (
    cli.matchedCommand === undefined &&
    !cli.options['help'] &&
    !cli.options['version']
  ) {
    fail(['a command is missing; see --help']);
  }
  await cli.runMatchedCommand();
} catch (error) {
  fail([error instanceof Error ? error.message : String(error)]);
  process.exit();
}
