/**
 * The time from the start of a process on the platform until it is ready, its
 * processor time and its memory by then. Measures the bundle in `target/`.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {
  freeLoopbackAddresses,
  isReadyAt,
  type LoopbackAddresses,
  settingsEnvironment,
  settingsFileText,
  StoreStandIn,
} from '@lacewingwinch/stand-ins';

import {figureOf, renderFigure} from './figures.js';

const RUNS = 7;

/** Milliseconds between two checks of readiness. */
const LOOK_MILLISECONDS = 5;

/** Milliseconds after which a start has failed. */
const TIMEOUT_MILLISECONDS = 20_000;

/** Clock ticks of the kernel in a second. */
const TICKS_IN_SECOND = 100;

const KIBIBYTES_IN_MEBIBYTE = 1024;

const CONFIGURATION = {
  version: 1,
  routes: [],
  services: [],
  limits: {},
  tenants: [],
};

interface Start {
  readonly seconds: number;
  readonly processorSeconds: number;
  readonly mebibytes: number;
}

/** Measures starts, one after the other. */
export async function measureStart(): Promise<unknown> {
  const starts: Start[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    starts.push(await startOnce(run));
  }
  const figures = {
    readySeconds: figureOf(starts.map(({seconds}) => seconds)),
    processorSeconds: figureOf(
      starts.map(({processorSeconds}) => processorSeconds),
    ),
    residentMebibytes: figureOf(starts.map(({mebibytes}) => mebibytes)),
  };
  process.stdout.write(
    `ready after ${renderFigure(figures.readySeconds, 2)} s, ` +
      `${renderFigure(figures.processorSeconds, 2)} s of processor time, ` +
      `${renderFigure(figures.residentMebibytes, 0)} MiB\n`,
  );
  return figures;
}

async function startOnce(run: number): Promise<Start> {
  const store = new StoreStandIn();
  await store.listen();
  store.publish(CONFIGURATION);
  const folder = mkdtempSync(join(tmpdir(), 'lacewingwinch-'));
  const path = join(folder, 'settings.toml');
  const addresses = await freeLoopbackAddresses();
  writeFileSync(
    path,
    settingsFileText(`host-${run}`, addresses, store.address),
  );
  const startedAt = performance.now();
  const child = spawn(
    process.execPath,
    ['target/lacewingwinch.mjs', 'serve-routes'],
    {stdio: 'ignore', env: settingsEnvironment(path)},
  );
  try {
    await untilReady(addresses);
    const seconds = (performance.now() - startedAt) / 1000;
    return {seconds, ...usageOf(child.pid ?? 0)};
  } finally {
    child.kill('SIGKILL');
    await store.close();
    rmSync(folder, {recursive: true});
  }
}

async function untilReady(addresses: LoopbackAddresses): Promise<void> {
  const until = performance.now() + TIMEOUT_MILLISECONDS;
  while (performance.now() < until) {
    if (await isReadyAt(addresses)) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, LOOK_MILLISECONDS));
  }
  throw new Error('the process did not get ready');
}

function usageOf(pid: number): Omit<Start, 'seconds'> {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? Number.NaN);
  return {
    processorSeconds: ticks / TICKS_IN_SECOND,
    mebibytes: kibibytes / KIBIBYTES_IN_MEBIBYTE,
  };
}
