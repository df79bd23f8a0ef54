/** Tests of `lacewingctl` over its built binary. */
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

interface Result {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

function control(...given: readonly string[]): Promise<Result> {
  const common = [
    `--log-url=${fleet.platform.url}`,
    `--operator-address=${fleet.entry(0).operators}`,
  ];
  return run([...given, ...common]);
}

function run(given: readonly string[]): Promise<Result> {
  return new Promise(resolve => {
    execFile(process.execPath, [MAIN, ...given], (error, output, errors) => {
      const code = typeof error?.code === 'number' ? error.code : 0;
      resolve({code, output, errors});
    });
  });
}

async function fileOf(value: unknown): Promise<string> {
  const path = join(folder, 'objects.json');
  await writeFile(path, JSON.stringify(value));
  return path;
}

const SERVICE = {kind: 'service', name: 'fresh', upstreamKind: 'plain'};

describe('valid commands', () => {
  it('publish, show and remove an object, in force everywhere', async () => {
    const file = await fileOf(SERVICE);
    const published = await control('publish', file);
    expect(published.output).toMatch(
      /accepted .* in force at entry-0, entry-1/,
    );
    expect(published.code).toBe(0);
    const shown = await control('show', 'service/fresh', '--output=json');
    expect(JSON.parse(shown.output)).toMatchObject([{key: 'service/fresh'}]);
    const removed = await control('publish', '--remove=service/fresh');
    expect(removed.code).toBe(0);
    const gone = await control('show', 'service/fresh');
    expect(gone.code).toBe(1);
  });

  it('report a conflict with the version to publish on', async () => {
    const file = await fileOf({...SERVICE, name: 'raced'});
    await control('publish', file);
    const again = await control('publish', file, '--based-on=-1');
    expect(again.code).toBe(1);
    expect(again.output).toMatch(/conflict, its current version is \d+/);
  });

  it('find a publish again whose answer was lost', async () => {
    fleet.platform.log.faults.loseAppendAnswers = 1;
    const file = await fileOf({...SERVICE, name: 'lost-answer'});
    const published = await control('publish', file);
    expect(published.output).toContain('accepted');
    const records = fleet.platform.log
      .records('configuration')
      .filter(({data}) => JSON.stringify(data).includes('lost-answer'));
    expect(records.length).toBe(1);
  });

  it('show the status of every host, and explain a request', async () => {
    const status = await control('status', '--output=json');
    expect((JSON.parse(status.output) as readonly unknown[]).length).toBe(2);
    const answer = await callPlain(fleet.entry(1), KEY_ONE, 'lookup', 'x');
    await answer.text();
    const id = answer.headers.get('x-request-id') ?? '';
    const explained = await control('explain', id);
    expect(explained.output).toContain('accepted by rule everything');
    expect((await control('explain', 'nothing')).code).toBe(1);
  });

  it('check a file and warn of rules that never match', async () => {
    const send = {kind: 'send'};
    const file = await fileOf({
      kind: 'rules',
      name: 'rules',
      rules: [
        {name: 'all', then: send},
        {name: 'below', then: send},
      ],
    });
    const checked = await control('check', file);
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
      name: 'a faulty log URL',
      given: ['show', '--log-url=nowhere'],
      error: '--log-url (LACEWINGWINCH_LOG_URL)',
    },
    {
      name: 'no operator address',
      given: ['status'],
      error: '--operator-address (LACEWINGWINCH_OPERATOR_ADDRESS): is missing',
    },
    {name: 'an unknown flag', given: ['status', '--nothing'], error: 'nothing'},
  ])('end with code 2 for $name', async ({given, error}) => {
    const result = await run(given);
    expect(result.errors).toContain(error);
    expect(result.code).toBe(2);
  });

  it('name every faulty field of a file', async () => {
    const file = await fileOf([{kind: 'service', name: 'A B'}, {kind: 'x'}]);
    const result = await control('check', file);
    expect(result.code).toBe(2);
    expect(result.errors.split('\n').length).toBeGreaterThanOrEqual(3);
  });
});
