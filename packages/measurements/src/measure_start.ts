/**
 * Measures the time from the start of a process on the platform until it is
 * ready, and its processor time and peak memory by then. Runs the bundle in
 * `target/`.
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

/** Number of measured starts. */
const RUNS = 7;

/** Milliseconds between two checks of readiness. */
const POLL_MILLISECONDS = 5;

/** Milliseconds after which a start counts as failed. */
const TIMEOUT_MILLISECONDS = 20_000;

/** Kernel clock ticks per second, the unit of times in `/proc`. */
const TICKS_PER_SECOND = 100;

const KIBIBYTES_PER_MEBIBYTE = 1024;

const CONFIGURATION = {
  version: 1,
  routes: [],
  services: [],
  limits: {},
  tenants: [],
};

/** Figures of one start. */
interface StartFigures {
  readonly seconds: number;
  readonly processorSeconds: number;
  readonly mebibytes: number;
}

/** Measures several starts in sequence. */
export async function measureStart(): Promise<unknown> {
  const starts: StartFigures[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    starts.push(await measureOneStart(run));
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

async function measureOneStart(run: number): Promise<StartFigures> {
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
    ['target/lacewingwinch.cjs', 'serve-routes'],
    {stdio: 'ignore', env: settingsEnvironment(path)},
  );
  try {
    await waitUntilReady(addresses);
    const seconds = (performance.now() - startedAt) / 1000;
    return {seconds, ...resourceUsageOf(child.pid ?? 0)};
  } finally {
    child.kill('SIGKILL');
    await store.close();
    rmSync(folder, {recursive: true});
  }
}

async function waitUntilReady(addresses: LoopbackAddresses): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MILLISECONDS;
  while (performance.now() < deadline) {
    if (await isReadyAt(addresses)) {
      return;
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
  }
  throw new Error('timed out waiting for the process to become ready');
}

function resourceUsageOf(processId: number): Omit<StartFigures, 'seconds'> {
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  const kibibytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? Number.NaN);
  return {
    processorSeconds: ticks / TICKS_PER_SECOND,
    mebibytes: kibibytes / KIBIBYTES_PER_MEBIBYTE,
  };
}
