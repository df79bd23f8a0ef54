/**
 * Processor time and memory of each role at several sizes.
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
  type Upstream,
} from '@lacewingwinch/decisions';

/** One measured size. */
interface Slope {
  readonly role: string;
  readonly size: number;
  /** Microseconds of processor time for one operation. */
  readonly microseconds: number;
  /** Bytes of memory for one item of state. */
  readonly bytes: number;
}

interface Measured {
  readonly operations: number;
  readonly items: number;
  /** What must not be collected before the memory is read. */
  readonly state: unknown;
}

/** Measures the slopes of each role. */
export function measureSlopes(): Promise<unknown> {
  const slopes = [
    ...[8, 16, 32].map(size => measure('dispatcher', size, runDispatcher)),
    ...[1000, 10_000, 100_000].map(size =>
      measure('claim appender', size, runClaims),
    ),
    ...[100, 1000, 5000].map(size =>
      measure('configuration follower', size, runConfiguration),
    ),
    ...[100, 1000, 5000].map(size =>
      measure('snapshot appender', size, runSnapshot),
    ),
    ...[8, 64, 360].map(size => measure('rendezvous order', size, runOrder)),
    ...[1000, 10_000, 50_000].map(size =>
      measure('backup copy', size, runBackup),
    ),
  ];
  for (const {role, size, microseconds, bytes} of slopes) {
    process.stdout.write(
      `${role} at ${size}: ${microseconds.toFixed(2)} µs an operation, ${bytes.toFixed(0)} bytes an item\n`,
    );
  }
  return Promise.resolve(slopes);
}

function measure(
  role: string,
  size: number,
  run: (size: number) => Measured,
): Slope {
  run(size);
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const started = process.cpuUsage();
  const {operations, items, state} = run(size);
  const used = process.cpuUsage(started);
  globalThis.gc?.();
  const grown = process.memoryUsage().heapUsed - before;
  return {
    role,
    size,
    microseconds: (used.user + used.system) / operations,
    bytes: state === undefined ? 0 : Math.max(0, grown) / items,
  };
}

function runDispatcher(size: number): Measured {
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
  const held = size * 15;
  for (let index = 0; index < operations; index += 1) {
    dispatcher.handle(
      {
        kind: 'ask',
        ask: {
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
    if (index >= held) {
      dispatcher.handle({kind: 'release', permitId: `p${index - held}`}, index);
    }
  }
  return {operations, items: held, state: dispatcher};
}

function runClaims(size: number): Measured {
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

const CHANGES = 300;

function runConfiguration(size: number): Measured {
  const state = configurationOfSize(size, CHANGES);
  return {operations: size + CHANGES, items: size, state};
}

const SNAPSHOTS = 20;

function runSnapshot(size: number): Measured {
  const state = knownConfiguration(size);
  const texts = Array.from({length: SNAPSHOTS}, () =>
    JSON.stringify(snapshotOf(state)),
  );
  return {operations: SNAPSHOTS, items: size * SNAPSHOTS, state: texts};
}

const configurations = new Map<number, Configuration>();

function knownConfiguration(size: number): Configuration {
  const known = configurations.get(size) ?? configurationOfSize(size, 0);
  configurations.set(size, known);
  return known;
}

function runOrder(size: number): Measured {
  const hosts = Array.from({length: size}, (_, index) => `host-${index}`);
  const operations = 2000;
  let last: readonly string[] = [];
  for (let index = 0; index < operations; index += 1) {
    last = rendezvousOrder(`key-${index}`, hosts);
  }
  return {operations, items: size, state: last};
}

function runBackup(size: number): Measured {
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
