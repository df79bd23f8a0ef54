/**
 * Measures the time that an entry host adds to a request, compared with a
 * direct request to the same stand-in upstream in the same run.
 */
import {readFile} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';

import {
  EngineStandIn,
  firstLine,
  Fleet,
  KEY_ONE,
  startProcess,
  waitFor,
} from '@lacewingwinch/stand-ins';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';

/** Calls per second in the latency measurement. */
const LATENCY_CALLS_PER_SECOND = 200;

/** Seconds that each measurement takes. */
const MEASUREMENT_SECONDS = 8;

/** Concurrent calls in the throughput measurement. */
const THROUGHPUT_CONCURRENCY = 64;

/** Concurrent streams in the stream measurement. */
const CONCURRENT_STREAMS = 40;

/** Tokens per stream in the stream measurement. */
const TOKENS_PER_STREAM = 200;

/** Kernel clock ticks per second, the unit of times in `/proc`. */
const TICKS_PER_SECOND = 100;

const STAND_IN_MAIN = fileURLToPath(
  import.meta.resolve('@lacewingwinch/stand-ins/stand-in'),
);

const agent = new Agent({connections: 256, pipelining: 1});

/** Latencies, in milliseconds. */
interface Latency {
  readonly p50: number;
  readonly p99: number;
  readonly calls: number;
}

/** Measures latency, throughput and streams through an entry host. */
export async function measurePath(): Promise<unknown> {
  const fleet = await Fleet.start({
    entryDomains: ['east', 'west', 'east'],
    engines: 3,
    engineOptions: {prefillMilliseconds: 0, tokenMilliseconds: 0},
    entryFlags: ['--log-level=error'],
    objects: [
      {
        kind: 'service',
        name: 'lookup',
        upstreamKind: 'plain',
        upstreamConcurrency: 500,
      },
      {
        kind: 'service',
        name: 'writer',
        upstreamKind: 'model',
        upstreamConcurrency: 500,
      },
    ],
  });
  const service = startProcess('plain', STAND_IN_MAIN, ['plain']);
  try {
    const address = await firstLine(service);
    await addService(fleet, address);
    return await measureFleet(fleet, address);
  } finally {
    service.child.kill('SIGTERM');
    await fleet.close();
  }
}

async function addService(fleet: Fleet, address: string): Promise<void> {
  fleet.platform.addHost({
    id: 'lookup-0',
    role: 'upstream',
    status: 'live',
    failureDomain: 'east',
    hostClass: 'reclaimable',
    pricePerHour: 1,
    service: 'lookup',
    address,
  });
  await waitFor('every entry host knows the service', async () => {
    const statuses = await Promise.all(
      fleet.entries.map(({callers}) => postLookup(callers)),
    );
    return statuses.every(status => status === 200);
  });
}

function postLookup(entryAddress: string): Promise<number> {
  return post(`http://${entryAddress}/v1/services/lookup/call`, 'x');
}

async function measureFleet(
  fleet: Fleet,
  serviceAddress: string,
): Promise<unknown> {
  const engine = fleet.engines[0] ?? new EngineStandIn();
  const entry = fleet.entry(0);
  const callDirectly = (): Promise<number> =>
    post(`http://${serviceAddress}/call`, 'x');
  const callThroughEntry = (): Promise<number> => postLookup(entry.callers);
  await runAtRate(callThroughEntry, LATENCY_CALLS_PER_SECOND, 2);
  const directLatency = await runAtRate(
    callDirectly,
    LATENCY_CALLS_PER_SECOND,
    MEASUREMENT_SECONDS,
  );
  const throughLatency = await runAtRate(
    callThroughEntry,
    LATENCY_CALLS_PER_SECOND,
    MEASUREMENT_SECONDS,
  );
  printLatency('plain call, direct', directLatency);
  printLatency('plain call, through one entry host', throughLatency);
  const directThroughput = await runClosedLoop(
    callDirectly,
    MEASUREMENT_SECONDS,
  );
  const before = await processorSecondsOf(fleet);
  const throughput = await runClosedLoop(callThroughEntry, MEASUREMENT_SECONDS);
  const used = (await processorSecondsOf(fleet)).map(
    (seconds, index) => (seconds - (before[index] ?? 0)) / MEASUREMENT_SECONDS,
  );
  process.stdout.write(
    `plain calls a second: direct ${directThroughput.toFixed(0)}, through ${throughput.toFixed(0)}; ` +
      `cores used by the entry hosts: ${used.map(cores => cores.toFixed(2)).join(', ')}\n`,
  );
  const stream = await measureStreams(
    entry.callers,
    engine.address,
    entry.process.child.pid ?? 0,
  );
  return {
    plain: {
      direct: directLatency,
      through: throughLatency,
      addedP50: throughLatency.p50 - directLatency.p50,
      addedP99: throughLatency.p99 - directLatency.p99,
      directCallsPerSecond: directThroughput,
      callsPerSecond: throughput,
      coresOfEntryHosts: used,
    },
    stream,
  };
}

async function measureStreams(
  entryAddress: string,
  engineAddress: string,
  entryProcessId: number,
): Promise<unknown> {
  const direct = await runStreams(`http://${engineAddress}`);
  const before = await processorSeconds(entryProcessId);
  const through = await runStreams(`http://${entryAddress}`);
  const used = (await processorSeconds(entryProcessId)) - before;
  const corePerThousandTokens = (used / through.tokens) * 1000;
  process.stdout.write(
    `streamed tokens a second: direct ${direct.rate.toFixed(0)}, through ${through.rate.toFixed(0)}; ` +
      `${(corePerThousandTokens * 100).toFixed(2)}% of a core for 1,000 tokens a second\n`,
  );
  return {
    directTokensPerSecond: direct.rate,
    throughTokensPerSecond: through.rate,
    corePerThousandTokens,
    addedMillisecondsPerToken: 1000 / through.rate - 1000 / direct.rate,
  };
}

async function runStreams(
  base: string,
): Promise<{readonly tokens: number; readonly rate: number}> {
  const started = performance.now();
  const until = started + MEASUREMENT_SECONDS * 1000;
  let tokens = 0;
  const worker = async (index: number): Promise<void> => {
    for (let turn = 0; performance.now() < until; turn += 1) {
      const answer = await request(`${base}/v1/completions`, {
        method: 'POST',
        dispatcher: agent,
        headers: {
          authorization: `Bearer ${KEY_ONE}`,
          'content-type': 'application/json',
        },
        body: JSON.stringify({
          model: 'writer',
          prompt: `prompt ${index} ${turn}`,
          max_tokens: TOKENS_PER_STREAM,
          stream: true,
        }),
      });
      const text = await answer.body.text();
      tokens += text.split('\nid: ').length;
    }
  };
  await Promise.all(
    Array.from({length: CONCURRENT_STREAMS}, (_, index) => worker(index)),
  );
  const rate = tokens / ((performance.now() - started) / 1000);
  return {tokens, rate};
}

async function runAtRate(
  call: () => Promise<number>,
  callsPerSecond: number,
  seconds: number,
): Promise<Latency> {
  const histogram = build({lowestDiscernibleValue: 1});
  const total = callsPerSecond * seconds;
  const started = performance.now();
  const calls: Promise<void>[] = [];
  for (let index = 0; index < total; index += 1) {
    const dueTime = started + (index * 1000) / callsPerSecond;
    const waitMilliseconds = dueTime - performance.now();
    if (waitMilliseconds > 0) {
      await new Promise(resolve => {
        setTimeout(resolve, waitMilliseconds);
      });
    }
    calls.push(recordCall(call, histogram));
  }
  await Promise.all(calls);
  return latencyOf(histogram);
}

async function runClosedLoop(
  call: () => Promise<number>,
  seconds: number,
): Promise<number> {
  const started = performance.now();
  const until = started + seconds * 1000;
  let calls = 0;
  const worker = async (): Promise<void> => {
    while (performance.now() < until) {
      await call();
      calls += 1;
    }
  };
  await Promise.all(Array.from({length: THROUGHPUT_CONCURRENCY}, worker));
  return calls / ((performance.now() - started) / 1000);
}

async function recordCall(
  call: () => Promise<number>,
  histogram: Histogram,
): Promise<void> {
  const started = performance.now();
  const status = await call();
  if (status !== 200) {
    throw new Error(`a call was answered with status ${status} instead of 200`);
  }
  histogram.recordValue((performance.now() - started) * 1000);
}

async function post(url: string, body: string): Promise<number> {
  const answer = await request(url, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      authorization: `Bearer ${KEY_ONE}`,
      'content-type': 'text/plain',
    },
    body,
  });
  await answer.body.dump();
  return answer.statusCode;
}

function latencyOf(histogram: Histogram): Latency {
  return {
    p50: histogram.getValueAtPercentile(50) / 1000,
    p99: histogram.getValueAtPercentile(99) / 1000,
    calls: histogram.totalCount,
  };
}

function printLatency(label: string, {p50, p99, calls}: Latency): void {
  process.stdout.write(
    `${label}: p50 ${p50.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms over ${calls} calls\n`,
  );
}

function processorSecondsOf(fleet: Fleet): Promise<readonly number[]> {
  return Promise.all(
    fleet.entries.map(({process: {child}}) => processorSeconds(child.pid ?? 0)),
  );
}

/** Returns the processor seconds that a process has used. */
async function processorSeconds(processId: number): Promise<number> {
  const stat = await readFile(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}
