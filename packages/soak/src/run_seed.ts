/**
 * One run: an installation, callers, the faults of a seed, and the check.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {
  delay,
  STREAM_EVENTS,
  usageReportOf,
  waitFor,
} from '@lacewingwinch/stand-ins';

import {checkPromises, type Violation} from './check_promises.js';
import {FAULT_MILLISECONDS, planFaults} from './fault_plan.js';
import {SOAK_KINDS, SoakCaller} from './soak_callers.js';
import {REVOCATION_MILLISECONDS} from './soak_host.js';
import {LASTING_KEY, REVOKED_KEY, SoakWorld} from './soak_world.js';

/** How large a run is. */
export interface RunSize {
  readonly hosts: number;
  readonly upstreams: number;
  readonly callers: number;
}

/** Size of a run that says nothing else: a few dozen processes and sockets. */
export const USUAL_SIZE: RunSize = {hosts: 5, upstreams: 4, callers: 16};

/** Every so many callers one uses the key that may be taken away. */
const REVOKED_CALLER_SHARE = 4;

/** Only ends a run that would never end; hosts recover within seconds. */
const RECOVERY_MILLISECONDS = 55_000;

/** Milliseconds in which what a host sent late still arrives. */
const LATE_MILLISECONDS = 500;

/** What came of a run. */
export interface SeedResult {
  readonly seed: number;
  readonly faults: number;
  readonly calls: number;
  readonly answered: number;
  readonly reports: number;
  readonly violations: readonly Violation[];
  /** Whether every host answered each kind of call after the faults. */
  readonly hasRecovered: boolean;
  /** Logs of the hosts; undefined if nothing failed. */
  readonly folder: string | undefined;
}

/** Runs `seed` and checks every promise. */
export async function runSeed(
  seed: number,
  size: RunSize = USUAL_SIZE,
): Promise<SeedResult> {
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
  const startedAt = performance.now();
  const clock = (): number => performance.now() - startedAt;
  const world = new SoakWorld(clock);
  const faults = planFaults(seed);
  let callers: readonly SoakCaller[] = [];
  try {
    await world.open({...size, folder});
    callers = Array.from(
      {length: size.callers},
      (_, index) =>
        new SoakCaller(
          `s${seed}-c${index}`,
          index % REVOKED_CALLER_SHARE === 0 ? REVOKED_KEY : LASTING_KEY,
          world.hosts,
          index,
          clock,
        ),
    );
    await runTraffic(world, callers, faults);
    const hasRecovered = await recovers(world, clock, seed);
    await delay(LATE_MILLISECONDS);
    const calls = callers.flatMap(({seen}) => seen);
    const reports = world.store.duties.flatMap(
      duty => usageReportOf(duty) ?? [],
    );
    const violations = checkPromises({
      calls,
      ran: world.ran(),
      reports,
      revokedAt: world.revokedAt,
      revokedKey: REVOKED_KEY,
      revocationMilliseconds: REVOCATION_MILLISECONDS,
      streamEvents: STREAM_EVENTS,
    });
    const hasFailed = violations.length > 0 || !hasRecovered;
    if (!hasFailed) {
      rmSync(folder, {recursive: true});
    }
    return {
      seed,
      faults: faults.length,
      calls: calls.length,
      answered: calls.filter(({status}) => status === 200).length,
      reports: reports.length,
      violations,
      hasRecovered,
      folder: hasFailed ? folder : undefined,
    };
  } finally {
    callers.forEach(caller => caller.close());
    await world.close();
  }
}

async function runTraffic(
  world: SoakWorld,
  callers: readonly SoakCaller[],
  faults: ReturnType<typeof planFaults>,
): Promise<void> {
  const end = new AbortController();
  const running = callers.map(caller => caller.run(end.signal));
  const begin = performance.now();
  const strikes: Promise<void>[] = [];
  for (const planned of faults) {
    const wait = Math.max(0, planned.at - (performance.now() - begin));
    await delay(wait);
    strikes.push(world.strike(planned));
  }
  await Promise.all(strikes);
  const rest = Math.max(0, FAULT_MILLISECONDS - (performance.now() - begin));
  await delay(rest);
  end.abort();
  await Promise.all(running);
}

/** Whether each host answers every kind of call again. */
async function recovers(
  world: SoakWorld,
  clock: () => number,
  seed: number,
): Promise<boolean> {
  try {
    await world.untilReady();
    for (const [index, host] of world.hosts.entries()) {
      const caller = new SoakCaller(
        `s${seed}-r${index}`,
        LASTING_KEY,
        [host],
        0,
        clock,
      );
      try {
        await waitFor(
          `${host.hostId} answers`,
          () => answersEveryKind(caller),
          RECOVERY_MILLISECONDS,
        );
      } finally {
        caller.close();
      }
    }
    return true;
  } catch (error) {
    process.stderr.write(`seed ${seed}: ${String(error)}\n`);
    return false;
  }
}

async function answersEveryKind(caller: SoakCaller): Promise<boolean> {
  const calls = await Promise.all(SOAK_KINDS.map(() => caller.callOnce()));
  return calls.every(({status, isComplete}) => status === 200 && isComplete);
}
