/**
 * Causes the failures that docs/OPERATIONS.md describes, and runs the command
 * documented there on the log of the process where they happened.
 */
import {type ChildProcess, execFile} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {
  type EngineBehavior,
  freeLoopbackAddresses,
  type LoopbackAddresses,
  RoutedEngineStandIn,
  settingsEnvironment,
  settingsFileText,
  startProcess,
  StoreStandIn,
  waitFor,
  waitUntilReadyAt,
} from '@lacewingwinch/stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const resolvePath = (path: string): string =>
  new URL(path, import.meta.url).pathname;
const PROGRAM = resolvePath('../../entry-process/dist/main.js');
const CONTROL = resolvePath('../dist/main.js');
/** Stops a test that would otherwise wait forever. */
const WAIT_MILLISECONDS = 55_000;
const PAGE = readFileSync(resolvePath('../../../docs/OPERATIONS.md'), 'utf8');

let folder: string;
let store: StoreStandIn;
let engine: RoutedEngineStandIn;
let addresses: LoopbackAddresses;
let child: ChildProcess;
let log = '';

const route = (name: string, kind: string): object => ({
  name,
  host: '127.0.0.1',
  pathPrefix: `/${name}/`,
  kind,
  service: 'engines',
  timeoutMs: 5000,
  targetLatencyMs: 200,
  priority: 1,
  maxAttempts: 1,
});

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), 'lacewingwinch-'));
  store = new StoreStandIn();
  engine = new RoutedEngineStandIn('i-1');
  await Promise.all([store.listen(), engine.listen()]);
  engine.isStreamed = true;
  store.publish({
    version: 7,
    routes: [route('stream', 'streaming')],
    services: [{name: 'engines', connectionLimit: 100}],
    limits: {maxHeaderBytes: 4096, maxBodyBytes: 1000},
    tenants: [{name: 'tenant', apiKeys: ['key-1']}],
  });
  store.put('keyed.servers', 'i-1', engine.entry('engines'));
  addresses = await freeLoopbackAddresses();
  const path = join(folder, 'settings.toml');
  writeFileSync(path, settingsFileText('host-1', addresses, store.address));
  ({child} = startProcess(
    'host-1',
    PROGRAM,
    ['serve-routes'],
    settingsEnvironment(path),
  ));
  child.stdout?.on('data', (chunk: Buffer) => {
    log += chunk.toString();
  });
  await waitUntilReadyAt(addresses);
});

afterAll(async () => {
  child.kill('SIGKILL');
  await Promise.all([store.close(), engine.close()]);
  rmSync(folder, {recursive: true});
});

/** Sends a request and waits until its host has logged its end. */
async function send(
  requestId: string,
  key: string,
  deadline: number,
): Promise<void> {
  try {
    const answer = await fetch(`http://${addresses.callers}/stream/1`, {
      method: 'POST',
      headers: {
        'x-attempt-id': requestId,
        'x-deadline-ms': String(deadline),
        authorization: `Token ${key}`,
      },
    });
    await answer.text();
  } catch {
    // Some cases break off the response on purpose.
  }
  await waitFor(
    'the host logs the end of the request',
    () =>
      log
        .split('\n')
        .some(
          line => line.includes(requestId) && /"event":(4101|4103)/.test(line),
        ),
    WAIT_MILLISECONDS,
  );
}

/** Runs the command from docs/OPERATIONS.md for one request. */
function explain(
  requestId: string,
  input: string,
): Promise<{readonly code: number; readonly output: string}> {
  const documentedCommand =
    /^cat .*\| lacewingctl (explain .*)$/m.exec(PAGE)?.[1] ?? '';
  const flags = documentedCommand.replace('$ID', requestId).split(' ');
  return new Promise(resolve => {
    const command = execFile(
      process.execPath,
      [CONTROL, ...flags],
      (error, output) => {
        const code = typeof error?.code === 'number' ? error.code : 0;
        resolve({code, output});
      },
    );
    command.stdin?.end(input);
  });
}

describe('the command in docs/OPERATIONS.md', () => {
  it.each<{
    readonly name: string;
    readonly key?: string;
    readonly deadline?: number;
    readonly behavior: EngineBehavior;
    readonly cause: string;
  }>([
    {
      name: 'refused',
      key: 'key-2',
      behavior: 'answer',
      cause: 'refused, not run: ',
    },
    {
      name: 'broken off midway',
      behavior: 'break-off',
      cause: '1 failed attempts, the last at upstream i-1 (lost: ',
    },
    {
      name: 'late',
      deadline: 400,
      behavior: 'hang',
      cause: 'upstream i-1 said nothing for 4',
    },
    {
      name: 'answered',
      behavior: 'answer',
      cause: 'answered after ',
    },
  ])('explains the cause of a request that was $name', async row => {
    const requestId = `attempt-${row.name.replaceAll(' ', '-')}`;
    engine.behavior = row.behavior;
    await send(requestId, row.key ?? 'key-1', row.deadline ?? 3000);
    const {code, output} = await explain(requestId, log);
    expect(code).toBe(0);
    expect(output).toContain(`${requestId}: ${row.cause}`);
    expect(PAGE).toContain(row.cause.slice(0, 12));
  });

  it('reports that no log line is about the request', async () => {
    const {code, output} = await explain('unknown', `no object\n${log}{"cut`);
    expect(code).toBe(1);
    expect(output).toContain('no log line is about this request');
  });
});
