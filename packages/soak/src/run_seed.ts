/**
 * Runs one seed: starts an installation and its clients, injects the faults of
 * the seed and checks the guarantees.
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

import {observeBudget, type ObservedBudget} from './budget_observer.js';
import {
  checkGuarantees,
  type ObservedCall,
  type ObservedRun,
  type SoakCallKind,
  type Violation,
} from './check_guarantees.js';
import {
  FAULT_WINDOW_MILLISECONDS,
  planFaults,
  withReplacements,
} from './fault_plan.js';
import {
  observeFences,
  observeOwnEnds,
  observeVersionsGoingBack,
} from './host_observer.js';
import {
  type ReadingHabit,
  SOAK_CALL_KINDS,
  SoakClient,
} from './soak_clients.js';
import {REVOCATION_MILLISECONDS} from './soak_host.js';
import {
  LASTING_KEY,
  REVOKED_KEY,
  SoakInstallation,
} from './soak_installation.js';
import {
  observeCrashing,
  observeLimits,
  observeMixedVersions,
} from './upstream_observer.js';

/** The size of a run. */
export interface RunSize {
  readonly hosts: number;
  readonly upstreams: number;
  readonly clients: number;
  /**
   * Path of the program of another build. It runs beside the present one, and all
   * hosts are replaced in turn.
   */
  readonly otherProgram?: string | undefined;
}

/** Default size of a run, which needs a few dozen processes and sockets. */
export const DEFAULT_SIZE: RunSize = {hosts: 5, upstreams: 4, clients: 16};

/** The kinds of calls that the streaming service answers. */
const STREAMED_KINDS: ReadonlySet<SoakCallKind> = new Set([
  'resumed',
  'stream',
]);

/** One in this many clients uses the key that may be revoked. */
const CLIENTS_PER_REVOKED_KEY_USER = 4;

/** One in this many clients reads slowly and one stops, and which of them. */
const CLIENTS_PER_SLOW_ONE = 8;
const SLOW_CLIENT = 3;
const STOPPING_CLIENT = 7;

/** One in this many clients sends the part that crashes, and which of them. */
const CLIENTS_PER_CRASHING_ONE = 4;
const CRASHING_CLIENT = 1;

/**
 * Stops a run that would otherwise wait forever; hosts recover within seconds.
 */
const RECOVERY_TIMEOUT_MILLISECONDS = 55_000;

/** Time for messages that hosts sent late to arrive before the check. */
const SETTLE_MILLISECONDS = 500;

/** The result of a run. */
export interface SeedResult {
  readonly seed: number;
  readonly faults: number;
  readonly calls: number;
  readonly answered: number;
  readonly reports: number;
  readonly violations: readonly Violation[];
  /** Whether each host answered all kinds of calls after the faults. */
  readonly hasRecovered: boolean;
  /** Folder with the logs of the hosts; undefined if the run succeeded. */
  readonly folder: string | undefined;
}

function readingHabitOf(clientIndex: number): ReadingHabit {
  switch (clientIndex % CLIENTS_PER_SLOW_ONE) {
    case SLOW_CLIENT:
      return 'slowly';
    case STOPPING_CLIENT:
      return 'not-after-first-piece';
    default:
      return 'steadily';
  }
}

/** Runs `seed` and checks all guarantees. */
export async function runSeed(
  seed: number,
  size: RunSize = DEFAULT_SIZE,
): Promise<SeedResult> {
  const folder = mkdtempSync(join(tmpdir(), `soak-${seed}-`));
  const startedAt = performance.now();
  const clock = (): number => performance.now() - startedAt;
  const startTime = Date.now();
  const installation = new SoakInstallation(clock);
  const faults =
    size.otherProgram === undefined
      ? planFaults(seed)
      : withReplacements(planFaults(seed), size.hosts);
  let clients: readonly SoakClient[] = [];
  try {
    await installation.open({...size, folder});
    clients = Array.from(
      {length: size.clients},
      (_, index) =>
        new SoakClient(
          `s${seed}-c${index}`,
          index % CLIENTS_PER_REVOKED_KEY_USER === 0
            ? REVOKED_KEY
            : LASTING_KEY,
          installation.hosts,
          index,
          clock,
          {
            reads: readingHabitOf(index),
            sendsCrashingPart: () =>
              installation.isPartCrashing &&
              index % CLIENTS_PER_CRASHING_ONE === CRASHING_CLIENT,
          },
        ),
    );
    await runTraffic(installation, clients, faults);
    const hasRecovered = await waitForRecovery(installation, clock, seed);
    await delay(SETTLE_MILLISECONDS);
    const calls = clients.flatMap(({observedCalls}) => observedCalls);
    const reports = installation.store.duties.flatMap(
      duty => usageReportOf(duty) ?? [],
    );
    const violations = checkGuarantees({
      calls,
      executedAttemptIds: installation.executedAttemptIds(),
      reports,
      revokedAt: installation.revokedAt,
      revokedKey: REVOKED_KEY,
      revocationMilliseconds: REVOCATION_MILLISECONDS,
      streamEvents: STREAM_EVENTS,
      limits: observeLimits(installation.namedLimits),
      crashing: observeCrashing(installation.engines(), faults),
      mixedAttemptIds: observeMixedVersions(installation.engines()),
      budgets: observeBudgets(installation, calls, startTime),
      ...observeHosts(installation),
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
    clients.forEach(client => client.close());
    await installation.close();
  }
}

/** Returns the worst window of each service; the kind of a call implies its service. */
function observeBudgets(
  installation: SoakInstallation,
  calls: readonly ObservedCall[],
  startTime: number,
): readonly ObservedBudget[] {
  return [true, false].map(isStreamed => {
    const engines = installation
      .engines()
      .filter(engine => engine.isStreamed === isStreamed);
    const requestTimes = calls
      .filter(({kind}) => STREAMED_KINDS.has(kind) === isStreamed)
      .map(({sentAt}) => startTime + sentAt);
    const arrived = engines.flatMap(engine => engine.arrived);
    const service = isStreamed ? 'engines' : 'plain';
    return observeBudget(service, arrived, requestTimes);
  });
}

function observeHosts({
  hosts,
  store,
}: SoakInstallation): Pick<ObservedRun, 'numbersGoingBack' | 'ownEnds'> {
  return {
    ownEnds: observeOwnEnds(hosts.flatMap(({ends}) => ends)),
    numbersGoingBack: [
      ...hosts.flatMap(host =>
        observeVersionsGoingBack(host.hostId, host.readLog()),
      ),
      ...observeFences(store.duties),
    ],
  };
}

async function runTraffic(
  installation: SoakInstallation,
  clients: readonly SoakClient[],
  faults: ReturnType<typeof planFaults>,
): Promise<void> {
  const trafficEnd = new AbortController();
  const clientRuns = clients.map(client => client.run(trafficEnd.signal));
  const startedAt = performance.now();
  const activeFaults: Promise<void>[] = [];
  for (const plannedFault of faults) {
    const untilFaultMilliseconds = Math.max(
      0,
      plannedFault.startsAtMilliseconds - (performance.now() - startedAt),
    );
    await delay(untilFaultMilliseconds);
    activeFaults.push(installation.injectFault(plannedFault));
  }
  await Promise.all(activeFaults);
  const remainingMilliseconds = Math.max(
    0,
    FAULT_WINDOW_MILLISECONDS - (performance.now() - startedAt),
  );
  await delay(remainingMilliseconds);
  trafficEnd.abort();
  await Promise.all(clientRuns);
}

/**
 * Returns whether each host becomes ready and answers all kinds of calls before
 * the timeout.
 */
async function waitForRecovery(
  installation: SoakInstallation,
  clock: () => number,
  seed: number,
): Promise<boolean> {
  try {
    await installation.waitUntilReady();
    for (const [index, host] of installation.hosts.entries()) {
      const client = new SoakClient(
        `s${seed}-r${index}`,
        LASTING_KEY,
        [host],
        0,
        clock,
      );
      try {
        await waitFor(
          `${host.hostId} answers`,
          () => answersEveryKind(client),
          RECOVERY_TIMEOUT_MILLISECONDS,
        );
      } finally {
        client.close();
      }
    }
    return true;
  } catch (error) {
    process.stderr.write(`seed ${seed}: ${String(error)}\n`);
    return false;
  }
}

async function answersEveryKind(client: SoakClient): Promise<boolean> {
  const calls = await Promise.all(SOAK_CALL_KINDS.map(() => client.callOnce()));
  return calls.every(({status, isComplete}) => status === 200 && isComplete);
}
