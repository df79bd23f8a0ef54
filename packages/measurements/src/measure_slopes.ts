/**
 * Measures how the processor time and the memory of each role grow with its
 * size.
 */
import {
  ClaimFold,
  type Configuration,
  Dispatcher,
  EMPTY_CONFIGURATION,
  foldConfiguration,
  foldRecords,
  type LogRecord,
  rendezvousOrder,
  snapshotOf,
  type StreamOrigin,
  StreamOrigins,
  type Upstream,
} from '@lacewingwinch/decisions';

/** Figures of a role at one size. */
interface SizeFigures {
  readonly role: string;
  readonly size: number;
  /** Microseconds of processor time per operation. */
  readonly microseconds: number;
  /** Bytes of memory per item of state. */
  readonly bytes: number;
}

/** Work and result of one measured run. */
interface MeasuredRun {
  readonly operations: number;
  readonly items: number;
  /** Keeps the result from garbage collection until the memory is read. */
  readonly state: unknown;
}

/** Measures each role at several sizes. */
export function measureSlopes(): Promise<unknown> {
  const figures = [
    ...[8, 16, 32].map(size => measureRole('dispatcher', size, runDispatcher)),
    ...[1000, 10_000, 100_000].map(size =>
      measureRole('claim appender', size, runClaims),
    ),
    ...[100, 1000, 5000].map(size =>
      measureRole('configuration follower', size, runConfiguration),
    ),
    ...[100, 1000, 5000].map(size =>
      measureRole('snapshot appender', size, runSnapshot),
    ),
    ...[8, 64, 360].map(size =>
      measureRole('rendezvous order', size, runRendezvousOrder),
    ),
    ...[1000, 10_000, 50_000].map(size =>
      measureRole('backup copy', size, runBackup),
    ),
    ...[1000, 5000, 20_000].map(size =>
      measureRole('stream origin', size, runStreamOrigins),
    ),
  ];
  for (const {role, size, microseconds, bytes} of figures) {
    process.stdout.write(
      `${role} at ${size}: ${microseconds.toFixed(2)} µs an operation, ${bytes.toFixed(0)} bytes an item\n`,
    );
  }
  return Promise.resolve(figures);
}

function measureRole(
  role: string,
  size: number,
  run: (size: number) => MeasuredRun,
): SizeFigures {
  run(size);
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const started = process.cpuUsage();
  const {operations, items, state} = run(size);
  const used = process.cpuUsage(started);
  globalThis.gc?.();
  const grownBytes = process.memoryUsage().heapUsed - before;
  return {
    role,
    size,
    microseconds: (used.user + used.system) / operations,
    bytes: state === undefined ? 0 : Math.max(0, grownBytes) / items,
  };
}

function runDispatcher(size: number): MeasuredRun {
  const dispatcher = new Dispatcher();
  const upstreams = Array.from({length: size}, (_, index): Upstream => ({
    id: `u${index}`,
    service: 's',
    address: `10.0.0.${index}:1`,
    failureDomain: 'east',
    hostClass: 'reclaimable',
    pricePerHour: 1,
    isLeaving: false,
  }));
  dispatcher.handle({kind: 'upstreams', upstreams, concurrency: 20}, 0);
  const operations = 20_000;
  const heldPermits = size * 15;
  for (let index = 0; index < operations; index += 1) {
    dispatcher.handle(
      {
        kind: 'request',
        request: {
          permitId: `p${index}`,
          front: 'f',
          service: 's',
          workspace: `w${index % 5}`,
          priority: 5,
          deadline: 1e9,
          maximumWait: 1000,
          prefixes: [`a${index % 50}`, `b${index % 200}`, `c${index}`],
          hostClasses: ['reclaimable', 'on-demand'],
          failureDomains: [],
          excluded: [],
          isAlone: false,
        },
      },
      index,
    );
    if (index >= heldPermits) {
      dispatcher.handle(
        {kind: 'release', permitId: `p${index - heldPermits}`},
        index,
      );
    }
  }
  return {operations, items: heldPermits, state: dispatcher};
}

function runClaims(size: number): MeasuredRun {
  const fold = new ClaimFold();
  const batch = 10;
  for (let offset = 0; offset < size / batch; offset += 1) {
    const entries = Array.from({length: batch}, (_, index) => ({
      type: 'claim' as const,
      key: `workspace/service/01a23da9-94f1-751c-8086-${offset * batch + index}`,
      fingerprint: 'x'.repeat(43),
      holder: 'entry-1',
      requestId: `01a23da9-94f1-751c-8086-${offset * batch + index}`,
      rightId: `01a23da9-94f7-70aa-a0eb-${offset * batch + index}`,
    }));
    fold.fold({offset, time: offset, data: {type: 'batch', entries}});
  }
  return {operations: size, items: size, state: fold};
}

function recordAt(offset: number, objects: number): LogRecord {
  const name = `service-${offset % objects}`;
  return {
    offset,
    time: offset,
    data: {
      type: 'publish',
      publishId: `p${offset}`,
      operator: 'o',
      key: `service/${name}`,
      object: {kind: 'service', name, upstreamKind: 'plain'},
      basedOn: offset < objects ? -1 : offset - objects,
    },
  };
}

function configurationOfSize(size: number, changes: number): Configuration {
  const records = Array.from({length: size}, (_, offset) =>
    recordAt(offset, size),
  );
  let state = foldRecords(EMPTY_CONFIGURATION, records);
  for (let offset = size; offset < size + changes; offset += 1) {
    state = foldConfiguration(state, recordAt(offset, size));
  }
  return state;
}

/** Changes to a configuration after its objects were created. */
const FURTHER_CHANGES = 300;

function runConfiguration(size: number): MeasuredRun {
  const state = configurationOfSize(size, FURTHER_CHANGES);
  return {operations: size + FURTHER_CHANGES, items: size, state};
}

/** Snapshots of one measured run. */
const SNAPSHOT_COUNT = 20;

function runSnapshot(size: number): MeasuredRun {
  const state = cachedConfigurationOfSize(size);
  const texts = Array.from({length: SNAPSHOT_COUNT}, () =>
    JSON.stringify(snapshotOf(state)),
  );
  return {
    operations: SNAPSHOT_COUNT,
    items: size * SNAPSHOT_COUNT,
    state: texts,
  };
}

/** Configurations built before, so that only snapshots are measured. */
const configurationsBySize = new Map<number, Configuration>();

function cachedConfigurationOfSize(size: number): Configuration {
  const configuration =
    configurationsBySize.get(size) ?? configurationOfSize(size, 0);
  configurationsBySize.set(size, configuration);
  return configuration;
}

function runRendezvousOrder(size: number): MeasuredRun {
  const hosts = Array.from({length: size}, (_, index) => `host-${index}`);
  const operations = 2000;
  let lastOrder: readonly string[] = [];
  for (let index = 0; index < operations; index += 1) {
    lastOrder = rendezvousOrder(`key-${index}`, hosts);
  }
  return {operations, items: size, state: lastOrder};
}

function runBackup(size: number): MeasuredRun {
  const operations = 2000;
  const copies = Array.from({length: operations}, (_, index) => ({
    requestId: `r${index}`,
    body: Buffer.alloc(size, 'x').toString('base64'),
  }));
  const parsed = copies.map(
    copy => JSON.parse(JSON.stringify(copy)) as unknown,
  );
  return {operations, items: operations, state: parsed};
}

/** Milliseconds for which the measured streams may be taken up. */
const STREAM_LIFETIME_MILLISECONDS = 60_000;

/** Receives and keeps origins, each in a message of its own. */
function runStreamOrigins(size: number): MeasuredRun {
  const origins = new StreamOrigins();
  for (let index = 0; index < size; index += 1) {
    const sent: StreamOrigin = {
      attemptId: `01a23da9-94f1-751c-8086-${index}`,
      service: 'service-1',
      softwareVersion: 'v1',
      lifetimeMilliseconds: STREAM_LIFETIME_MILLISECONDS,
    };
    const received = JSON.parse(JSON.stringify(sent)) as StreamOrigin;
    origins.record(received, index);
  }
  return {operations: size, items: size, state: origins};
}
