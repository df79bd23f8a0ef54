/** Tests of `lacewingctl` that run the built program. */
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {callPlain, Fleet, KEY_ONE} from '@lacewingwinch/stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const MAIN = fileURLToPath(new URL('../dist/main.js', import.meta.url));

let fleet: Fleet;
let folder: string;

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'lacewingwinch-'));
  fleet = await Fleet.start({entryDomains: ['east', 'west'], plainServices: 1});
});

afterAll(async () => {
  await fleet.close();
  await rm(folder, {recursive: true});
});

interface CommandResult {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

function runWithCommonFlags(
  ...commandArguments: readonly string[]
): Promise<CommandResult> {
  const commonFlags = [
    `--log-url=${fleet.platform.url}`,
    `--operator-address=${fleet.entry(0).operators}`,
  ];
  return runCommand([...commandArguments, ...commonFlags]);
}

function runCommand(
  commandArguments: readonly string[],
): Promise<CommandResult> {
  return new Promise(resolve => {
    execFile(
      process.execPath,
      [MAIN, ...commandArguments],
      (error, output, errors) => {
        const code = typeof error?.code === 'number' ? error.code : 0;
        resolve({code, output, errors});
      },
    );
  });
}

async function writeObjectFile(value: unknown): Promise<string> {
  const path = join(folder, 'objects.json');
  await writeFile(path, JSON.stringify(value));
  return path;
}

const SERVICE = {kind: 'service', name: 'fresh', upstreamKind: 'plain'};

describe('valid commands', () => {
  it('publish, show and remove an object at all entry hosts', async () => {
    const file = await writeObjectFile(SERVICE);
    const published = await runWithCommonFlags('publish', file);
    expect(published.output).toMatch(
      /accepted .* in force at entry-0, entry-1/,
    );
    expect(published.code).toBe(0);
    const shown = await runWithCommonFlags(
      'show',
      'service/fresh',
      '--output=json',
    );
    expect(JSON.parse(shown.output)).toMatchObject([{key: 'service/fresh'}]);
    const removed = await runWithCommonFlags(
      'publish',
      '--remove=service/fresh',
    );
    expect(removed.code).toBe(0);
    const gone = await runWithCommonFlags('show', 'service/fresh');
    expect(gone.code).toBe(1);
  });

  it('report the current version on a conflict', async () => {
    const file = await writeObjectFile({...SERVICE, name: 'raced'});
    await runWithCommonFlags('publish', file);
    const again = await runWithCommonFlags('publish', file, '--based-on=-1');
    expect(again.code).toBe(1);
    expect(again.output).toMatch(/conflict, its current version is \d+/);
  });

  it('publish only once if the answer of the log is lost', async () => {
    fleet.platform.log.faults.loseAppendAnswers = 1;
    const file = await writeObjectFile({...SERVICE, name: 'lost-answer'});
    const published = await runWithCommonFlags('publish', file);
    expect(published.output).toContain('accepted');
    const records = fleet.platform.log
      .records('configuration')
      .filter(({data}) => JSON.stringify(data).includes('lost-answer'));
    expect(records.length).toBe(1);
  });

  it('show the status of all hosts and explain a request', async () => {
    const status = await runWithCommonFlags('status', '--output=json');
    expect((JSON.parse(status.output) as readonly unknown[]).length).toBe(2);
    const answer = await callPlain(fleet.entry(1), KEY_ONE, 'lookup', 'x');
    await answer.text();
    const id = answer.headers.get('x-request-id') ?? '';
    const explained = await runWithCommonFlags('explain', id);
    expect(explained.output).toContain('accepted by rule everything');
    expect((await runWithCommonFlags('explain', 'nothing')).code).toBe(1);
  });

  it('check a file and warn about rules that never match', async () => {
    const send = {kind: 'send'};
    const file = await writeObjectFile({
      kind: 'rules',
      name: 'rules',
      rules: [
        {name: 'all', then: send},
        {name: 'below', then: send},
      ],
    });
    const checked = await runWithCommonFlags('check', file);
    expect(checked.output).toContain('rule below can never match');
    expect(checked.code).toBe(0);
  });
});

describe('invalid commands', () => {
  it.each([
    {name: 'no command', given: [], error: 'a command is missing'},
    {
      name: 'a missing file',
      given: ['check', 'none.json'],
      error: 'cannot be read',
    },
    {
      name: 'an invalid log URL',
      given: ['show', '--log-url=nowhere'],
      error: '--log-url (LACEWINGWINCH_LOG_URL)',
    },
    {
      name: 'no operator address',
      given: ['status'],
      error: '--operator-address (LACEWINGWINCH_OPERATOR_ADDRESS): is missing',
    },
    {name: 'an unknown flag', given: ['status', '--nothing'], error: 'nothing'},
  ])('exit with code 2 for $name', async ({given, error}) => {
    const result = await runCommand(given);
    expect(result.errors).toContain(error);
    expect(result.code).toBe(2);
  });

  it('report every invalid field of a file', async () => {
    const file = await writeObjectFile([
      {kind: 'service', name: 'A B'},
      {kind: 'x'},
    ]);
    const result = await runWithCommonFlags('check', file);
    expect(result.code).toBe(2);
    expect(result.errors.split('\n').length).toBeGreaterThanOrEqual(3);
  });
});
