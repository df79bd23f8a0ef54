#!/usr/bin/env node
/**
 * The entry point of `lacewingctl`.
 */
import {createPeerClient} from '@lacewingwinch/entry-hosts';
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
  requirePeerAddress,
  UsageError,
} from './command_settings.js';
import {explainFromLogs, renderLoggedExplanation} from './explain_logs.js';
import {readObjectFile} from './object_file.js';
import {publish} from './publish_command.js';
import {explain, show, status} from './read_commands.js';
import {
  renderExplanation,
  renderFleetExplanation,
} from './render_explanation.js';
import {renderObjects, renderPublish, renderStatuses} from './render_text.js';
import {readExplainedRequest, WHERE_OPTIONS} from './where_arguments.js';
import {explainAt, explainAtAll, wouldBeServed} from './where_command.js';

/** Exit code of a command that failed. */
const EXIT_FAILED = 1;

/** Exit code for invalid arguments or settings. */
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
    const settings = readSettings(flags);
    const summary = await publish(
      {
        file,
        remove: asString(flags['remove']),
        basedOn: parseVersion(flags['basedOn']),
      },
      settings,
    );
    print(settings, summary, renderPublish(summary));
    const hasSucceeded = summary.reports.every(
      ({outcome, behind}) => outcome.kind === 'accepted' && behind.length === 0,
    );
    process.exitCode = hasSucceeded ? 0 : EXIT_FAILED;
  });

cli
  .command('show [key]', 'Show the published objects, or one as kind/name')
  .action(async (key: string | undefined, flags: Flags) => {
    const settings = readSettings(flags);
    const objects = await show(key, settings);
    print(settings, objects, renderObjects(objects));
    process.exitCode = objects.length > 0 ? 0 : EXIT_FAILED;
  });

cli
  .command('status', 'Show what each entry host reports')
  .action(async (flags: Flags) => {
    const settings = readSettings(flags);
    const statuses = await status(settings);
    print(settings, statuses, renderStatuses(statuses));
  });

cli
  .command('explain <request-id>', 'Show why a request went where it did')
  .option('--logs', 'Read the logs of entry hosts from standard input instead')
  .action(async (requestId: string, flags: Flags) => {
    const settings = readSettings(flags);
    if (flags['logs'] === true) {
      const logged = await explainFromLogs(requestId, process.stdin);
      const rendered =
        logged === undefined
          ? 'no log line is about this request'
          : renderLoggedExplanation(logged);
      print(settings, logged ?? null, rendered);
      process.exitCode = logged === undefined ? EXIT_FAILED : 0;
      return;
    }
    const explanations = await explain(requestId, settings);
    const text = explanations.map(describeExplanation).join('\n');
    print(
      settings,
      explanations,
      text === '' ? 'no entry host knows this request' : text,
    );
    process.exitCode = explanations.length > 0 ? 0 : EXIT_FAILED;
  });

cli
  .command('drain <host-id>', 'Make an entry host leave gracefully')
  .action(async (hostId: string, flags: Flags) => {
    const settings = readSettings(flags);
    const {members} = await fetchStatus(requireOperatorAddress(settings));
    const member = members.find(candidate => candidate.hostId === hostId);
    if (member === undefined) {
      throw new UsageError([`there is no entry host with the id ${hostId}`]);
    }
    await requestDrain(member.addresses.operators);
    print(settings, {hostId, draining: true}, `${hostId} is leaving`);
  });

cli
  .command('check <file>', 'Check a JSON file of objects without publishing')
  .action(async (file: string, flags: Flags) => {
    const settings = readSettings(flags);
    const {objects, warnings} = await readObjectFile(file);
    const lines = warnings.map(warning => `warning: ${warning}`);
    const text = [...lines, `${objects.length} objects are valid`].join('\n');
    print(settings, {objects: objects.length, warnings}, text);
  });

const where = cli.command(
  'where <host> <path>',
  'Show where a request would go now and why, without sending it',
);
for (const [flag, help] of WHERE_OPTIONS) {
  where.option(flag, help);
}
where.action(async (host: string, path: string, flags: Flags) => {
  const settings = readSettings(
    flags['json'] === true ? {...flags, output: 'json'} : flags,
  );
  const address = requirePeerAddress(settings);
  const request = await readExplainedRequest(host, path, flags);
  const peers = createPeerClient();
  try {
    if (flags['all'] === true) {
      const fleet = await explainAtAll(peers, address, request);
      print(settings, fleet, renderFleetExplanation(fleet));
      const isServedEverywhere = fleet.hosts.every(
        answer =>
          answer.kind === 'explained' && wouldBeServed(answer.explanation),
      );
      process.exitCode = isServedEverywhere ? 0 : EXIT_FAILED;
      return;
    }
    const {explanation} = await explainAt(peers, address, request);
    print(settings, explanation, renderExplanation(explanation));
    process.exitCode = wouldBeServed(explanation) ? 0 : EXIT_FAILED;
  } finally {
    peers.close();
  }
});

cli.help();
cli.version('0.1.0');

function readSettings(flags: Flags): CommandSettings {
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

function asString(value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined;
}

function parseVersion(value: unknown): number | undefined {
  if (value === undefined) {
    return undefined;
  }
  const version = Number(value);
  if (!Number.isInteger(version)) {
    throw new UsageError(['--based-on: must be an integer']);
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
  const isUsageError =
    error instanceof UsageError ||
    (error instanceof Error && error.name === 'CACError');
  process.exitCode = isUsageError ? EXIT_USAGE : EXIT_FAILED;
}

try {
  cli.parse(process.argv, {run: false});
  const isHelpOrVersion = Boolean(
    cli.options['help'] ?? cli.options['version'],
  );
  if (cli.matchedCommand === undefined && !isHelpOrVersion) {
    throw new UsageError(['a command is missing; see --help']);
  }
  await cli.runMatchedCommand();
} catch (error) {
  reportFailure(error);
}
