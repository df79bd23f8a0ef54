/** Tests of the built program and its settings file. */
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {
  freeLoopbackAddresses,
  isReadyAt,
  type LoopbackAddresses,
  settingsEnvironment,
  settingsFileText,
  startProcess,
  StoreStandIn,
  waitUntilReadyAt,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, expect, it} from 'vitest';

const MAIN = new URL('../dist/main.js', import.meta.url).pathname;
const POLL_PERIOD_MILLISECONDS = 50;

let folder: string;
let store: StoreStandIn;
let addresses: LoopbackAddresses;
let child: ChildProcess | undefined;

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), 'lacewingwinch-'));
  store = new StoreStandIn();
  await store.listen();
  store.publish({version: 1, routes: [], services: [], limits: {}});
  addresses = await freeLoopbackAddresses();
});

afterEach(async () => {
  child?.kill('SIGKILL');
  await store.close();
  rmSync(folder, {recursive: true});
});

function start(settings: string, flags: readonly string[] = []): ChildProcess {
  const path = join(folder, 'settings.toml');
  writeFileSync(path, settings);
  const started = startProcess(
    'host',
    MAIN,
    ['serve-routes', ...flags],
    settingsEnvironment(path),
  );
  child = started.child;
  return child;
}

it('keeps serving when it is notified of changed settings', async () => {
  const settings = settingsFileText('host', addresses, store.address);
  const program = start(settings);
  let log = '';
  program.stdout?.on('data', (chunk: Buffer) => {
    log += chunk.toString();
  });
  await waitUntilReadyAt(addresses);
  writeFileSync(
    join(folder, 'settings.toml'),
    settings.replace('leaseMs = 3000', 'leaseMs = 4000'),
  );
  program.kill('SIGHUP');
  while (!log.includes('"event":1007')) {
    expect(program.exitCode).toBeNull();
    expect(program.signalCode).toBeNull();
    await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MILLISECONDS));
  }
  expect(await isReadyAt(addresses)).toBe(true);
});

it('prints every error in its settings and exits with code 2', async () => {
  const program = start('nodeName = ""\nip = "here"\n');
  let text = '';
  program.stderr?.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  const [code] = (await once(program, 'close')) as [number | null];
  expect(code).toBe(2);
  expect(text).toContain('nodeName');
  expect(text).toContain('ip:');
  expect(text).toContain('platform');
});

it('serves metrics on the port given by its flag', async () => {
  const [ip = '', port = ''] = (await freeLoopbackAddresses()).callers.split(
    ':',
  );
  start(settingsFileText('host', addresses, store.address), [
    `--metrics-port=${port}`,
  ]);
  await waitUntilReadyAt(addresses);
  const answer = await fetch(`http://${ip}:${port}/metrics`);
  const text = await answer.text();
  expect(answer.headers.get('content-type')).toContain('text/plain');
  expect(text).toContain('lacewingwinch_configuration_version 1');
  expect(text).toMatch(/belief_age_seconds\{belief="upstreams"\} \d/);
  expect(text).toMatch(/store_calls_total\{call="newest",end="200"\} \d/);
  expect((await fetch(`http://${ip}:${port}/other`)).status).toBe(404);
});

it.each(['0', '65536', 'http'])('refuses %s as a port', async port => {
  const program = start(settingsFileText('host', addresses, store.address), [
    `--metrics-port=${port}`,
  ]);
  const [code] = (await once(program, 'close')) as [number | null];
  expect(code).toBe(2);
});
