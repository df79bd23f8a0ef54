#!/usr/bin/env node
/**
 * The `lacewingctl` binary.
 */
import {
  describeExplanation,
  fetchStatus,
  requestDrain,
} from '@lacewingwinch/operators';
import {cac} from 'cac';

import {
  type CommandSettings,
  COMMON_FLAGS,
  readCommandSettings,
  requireOperatorAddress,
  UsageError,
} from './command_settings.js';
import {explainFromLogs, renderLoggedExplanation} from './explain_logs.js';
import {readObjectFile} from './object_file.js';
import {publish} from './publish_command.js';
import {explain, show, status} from './read_commands.js';
import {renderObjects, renderPublish, renderStatuses} from './render_text.js';

/** Exit code for a command that did not reach its aim. */
const EXIT_FAILED = 1;

/** Exit code for faulty arguments or settings. */
const EXIT_USAGE = 2;

type Flags = Readonly<Record<string, unknown>>;

const cli = cac('lacewingctl');
for (const {flag, variable, help} of Object.values(COMMON_FLAGS)) {
  cli.option(flag, `${help} [${variable}]`);
}

cli
  .command('publish [file]', 'Publish the objects of a JSON file')
  .option('--remove <key>', 'Remove an object instead, as kind/name')
  .option('--based-on <version>', 'Version that the change was made on')
  .action(async (file: string | undefined, flags: Flags) => {
    const settings = settingsOf(flags);
    const summary = await publish(
      {
        file,
        remove: textOf(flags['remove']),
        basedOn: versionOf(flags['basedOn']),
      },
      settings,
    );
    print(settings, summary, renderPublish(summary));
    const isDone = summary.reports.every(
      ({outcome, behind}) => outcome.kind === 'accepted' && behind.length === 0,
    );
    process.exitCode = isDone ? 0 : EXIT_FAILED;
  });

cli
  .command('show [key]', 'Show the published objects, or one as kind/name')
  .action(async (key: string | undefined, flags: Flags) => {
    const settings = settingsOf(flags);
    const objects = await show(key, settings);
    print(settings, objects, renderObjects(objects));
    process.exitCode = objects.length > 0 ? 0 : EXIT_FAILED;
  });

cli
  .command('status', 'Show what each entry host reports')
  .action(async (flags: Flags) => {
    const settings = settingsOf(flags);
    const statuses = await status(settings);
    print(settings, statuses, renderStatuses(statuses));
  });

cli
  .command('explain <request-id>', 'Show why a request went where it did')
  .option('--logs', 'Read the logs of entry hosts from standard input instead')
  .action(async (requestId: string, flags: Flags) => {
    const settings = settingsOf(flags);
    if (flags['logs'] === true) {
      const logged = await explainFromLogs(requestId, process.stdin);
      const rendered =
        logged === undefined
          ? 'no line names it'
          : renderLoggedExplanation(logged);
      print(settings, logged ?? null, rendered);
      process.exitCode = logged === undefined ? EXIT_FAILED : 0;
      return;
    }
    const found = await explain(requestId, settings);
    const text = found.map(describeExplanation).join('\n');
    print(settings, found, text === '' ? 'no entry host knows it' : text);
    process.exitCode = found.length > 0 ? 0 : EXIT_FAILED;
  });

cli
  .command('drain <host-id>', 'Make an entry host leave gracefully')
  .action(async (hostId: string, flags: Flags) => {
    const settings = settingsOf(flags);
    const {members} = await fetchStatus(requireOperatorAddress(settings));
    const member = members.find(known => known.hostId === hostId);
    if (member === undefined) {
      throw new UsageError([`no entry host is called ${hostId}`]);
    }
    await requestDrain(member.addresses.operators);
    print(settings, {hostId, draining: true}, `${hostId} is leaving`);
  });

cli
  .command('check <file>', 'Check a JSON file of objects without publishing')
  .action(async (file: string, flags: Flags) => {
    const settings = settingsOf(flags);
    const {objects, warnings} = await readObjectFile(file);
    const lines = warnings.map(warning => `warning: ${warning}`);
    const text = [...lines, `${objects.length} objects are valid`].join('\n');
    print(settings, {objects: objects.length, warnings}, text);
  });

cli.help();
cli.version('0.1.0');

function settingsOf(flags: Flags): CommandSettings {
  return readCommandSettings(flags, process.env);
}

function print(settings: CommandSettings, value: unknown, text: string): void {
  switch (settings.output) {
    case 'json':
      process.stdout.write(`${JSON.stringify(value)}\n`);
      return;
    case 'text':
      process.stdout.write(`${text}\n`);
  }
}

function textOf(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function versionOf(value: unknown): number | undefined {
  if (value === undefined) {
    return undefined;
  }
  const version = Number(value);
  if (!Number.isInteger(version)) {
    throw new UsageError(['--based-on: must be a whole number']);
  }
  return version;
}

function reportFailure(error: unknown): void {
  const faults =
    error instanceof UsageError
      ? error.faults
      : [error instanceof Error ? error.message : String(error)];
  for (const fault of faults) {
    process.stderr.write(`lacewingctl: ${fault}\n`);
  }
  const isUsage =
    error instanceof UsageError ||
    (error instanceof Error && error.name === 'CACError');
  process.exitCode = isUsage ? EXIT_USAGE : EXIT_FAILED;
}

try {
  cli.parse(process.argv, {run: false});
  const isInformation = Boolean(cli.options['help'] ?? cli.options['version']);
  if (cli.matchedCommand === undefined && !isInformation) {
    throw new UsageError(['a command is missing; see --help']);
  }
  await cli.runMatchedCommand();
} catch (error) {
  reportFailure(error);
}
