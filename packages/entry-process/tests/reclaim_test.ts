/** Tests of announced reclaims of upstreams and entry hosts. */
import {
  callCompletion,
  callPlain,
  EngineStandIn,
  expectedText,
  Fleet,
  type FleetEntry,
  KEY_ONE,
  waitFor,
} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

let fleet: Fleet;

afterEach(() => fleet.close());

const TOKENS = 60;

interface ReceivedStream {
  readonly text: string;
  readonly offsets: readonly number[];
}

/** Reads a stream to its end, even if it moves to another entry host. */
async function readStream(
  entry: FleetEntry,
  prompt: string,
): Promise<ReceivedStream> {
  let answer = await callCompletion(entry, KEY_ONE, prompt, TOKENS, {
    isStreamed: true,
  });
  let received: ReceivedStream = {text: '', offsets: []};
  for (let redirects = 0; redirects < 5; redirects += 1) {
    if (answer.status === 303 || answer.status === 307) {
      answer = await resumeStream(
        answer.headers.get('location') ?? '',
        received,
      );
      continue;
    }
    expect(answer.status).toBe(200);
    const body = await answer.text();
    received = appendEvents(received, body);
    const moved = /event: moved\ndata: (.*)\n/.exec(body);
    if (moved?.[1] === undefined) {
      expect(body).not.toContain('event: error');
      return received;
    }
    const {location} = JSON.parse(moved[1]) as {readonly location: string};
    answer = await resumeStream(location, received);
  }
  throw new Error('the stream did not end after 5 redirects');
}

function resumeStream(
  location: string,
  {offsets}: ReceivedStream,
): Promise<Response> {
  const last = offsets.at(-1);
  return fetch(location, {
    redirect: 'manual',
    headers: {
      authorization: `Bearer ${KEY_ONE}`,
      accept: 'text/event-stream',
      ...(last === undefined ? {} : {'last-event-id': String(last)}),
    },
  });
}

function appendEvents(received: ReceivedStream, body: string): ReceivedStream {
  const events = [...body.matchAll(/^id: (\d+)\ndata: (.*)$/gm)];
  const texts = events.map(([, , data]) => {
    const {choices} = JSON.parse(data ?? '{}') as {
      readonly choices: readonly {readonly text: string}[];
    };
    return choices[0]?.text ?? '';
  });
  return {
    text: received.text + texts.join(''),
    offsets: [...received.offsets, ...events.map(([, id]) => Number(id))],
  };
}

function expectComplete({text, offsets}: ReceivedStream, prompt: string): void {
  expect(offsets).toEqual(Array.from({length: TOKENS}, (_, index) => index));
  expect(text).toBe(expectedText(JSON.stringify(prompt), TOKENS));
}

/** Returns the index of an engine that runs a request, or -1. */
function busyEngineIndex(): number {
  return fleet.engines.findIndex(engine => engine.running > 0);
}

const SLOW_ENGINES = {prefillMilliseconds: 5, tokenMilliseconds: 20};

describe('an announced reclaim of an upstream', () => {
  it.each([
    {
      name: 'with a long prompt',
      prompt: 'report '.repeat(100),
      isImported: true,
    },
    {name: 'with a short prompt', prompt: 'short', isImported: false},
  ])('moves a stream $name', async ({prompt, isImported}) => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      engines: 3,
      engineOptions: SLOW_ENGINES,
    });
    const reading = readStream(fleet.entry(0), prompt);
    await waitFor('the stream runs', () => busyEngineIndex() >= 0);
    const index = busyEngineIndex();
    await new Promise(resolve => {
      setTimeout(resolve, 200);
    });
    fleet.platform.reclaim(`engine-${index}`, 1500);
    expectComplete(await reading, prompt);
    const resumed = fleet.engines
      .flatMap(engine => engine.executions)
      .filter(({resumedAt}) => resumedAt > 0);
    expect(resumed.length).toBe(1);
    expect(resumed[0]?.hasImportedCache).toBe(isImported);
  });

  it('resumes a stream whose engine dies before the cache is exported', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      engines: 3,
      engineOptions: SLOW_ENGINES,
    });
    const reading = readStream(fleet.entry(0), 'dying partway');
    await waitFor('the stream runs', () => busyEngineIndex() >= 0);
    const index = busyEngineIndex();
    fleet.platform.reclaim(`engine-${index}`, 2000);
    await (fleet.engines[index] ?? new EngineStandIn()).close();
    expectComplete(await reading, 'dying partway');
  });

  it('sends it no new requests after 2 s although the host list lags', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north', 'south', 'east'],
      engines: 2,
      engineOptions: {prefillMilliseconds: 1, tokenMilliseconds: 1},
    });
    fleet.platform.hostListLagMilliseconds = 30_000;
    fleet.platform.reclaim('engine-0', 20_000);
    const announcedAt = Date.now();
    await waitFor(
      'every entry host knows that the engine is leaving',
      async () => {
        const statuses = await Promise.all(
          fleet.entries.map(entry => fleet.status(entry)),
        );
        return statuses.every(({leavingUpstreams}) =>
          leavingUpstreams.includes('engine-0'),
        );
      },
    );
    expect(Date.now() - announcedAt).toBeLessThan(2000);
    const executionsBefore = fleet.engines[0]?.executions.length;
    const answers = await Promise.all(
      fleet.entries.flatMap(entry =>
        Array.from({length: 6}, (_, index) =>
          callCompletion(entry, KEY_ONE, `after ${index}`, 2),
        ),
      ),
    );
    expect(answers.every(({status}) => status === 200)).toBe(true);
    expect(fleet.engines[0]?.executions.length).toBe(executionsBefore);
  });
});

describe('an announced reclaim of an entry host', () => {
  it('moves its streams and redirects its waiting clients', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north'],
      engines: 3,
      engineOptions: SLOW_ENGINES,
    });
    const prompts = Array.from({length: 6}, (_, index) => `moving ${index}`);
    const reading = prompts.map(prompt => readStream(fleet.entry(0), prompt));
    const waiting = callCompletion(fleet.entry(0), KEY_ONE, 'waiting', TOKENS);
    await waitFor('the streams run', async () => {
      const status = await fleet.status(fleet.entry(0));
      return status.requestsInProgress === 7;
    });
    fleet.platform.reclaim('entry-0', 2000);
    const received = await Promise.all(reading);
    received.forEach((stream, index) =>
      expectComplete(stream, prompts[index] ?? ''),
    );
    const moved = await waiting;
    expect(moved.status).toBe(303);
    const fetched = await fetch(moved.headers.get('location') ?? '', {
      headers: {authorization: `Bearer ${KEY_ONE}`},
    });
    expect(fetched.status).toBe(200);
    expect(await fetched.text()).toContain(
      expectedText(JSON.stringify('waiting'), TOKENS),
    );
  });

  it('moves streams if a failure domain is reclaimed and an entry host dies', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'east', 'north'],
      engines: 4,
      engineOptions: SLOW_ENGINES,
    });
    const prompts = Array.from({length: 4}, (_, index) => `domain ${index}`);
    const reading = prompts.map(prompt => readStream(fleet.entry(0), prompt));
    await waitFor('the streams run', async () => {
      const status = await fleet.status(fleet.entry(0));
      return status.requestsInProgress === 4;
    });
    // Engine 0 and entry hosts 0 and 2 are in failure domain `east`.
    fleet.platform.reclaim('engine-0', 2000);
    fleet.platform.reclaim('entry-0', 2000);
    fleet.platform.reclaim('entry-2', 2000);
    fleet.entry(2).process.child.kill('SIGKILL');
    const received = await Promise.all(reading);
    received.forEach((stream, index) =>
      expectComplete(stream, prompts[index] ?? ''),
    );
  });

  it('hands over kept answers to the other host', async () => {
    fleet = await Fleet.start({entryDomains: ['east', 'west'], engines: 1});
    const answer = await callCompletion(fleet.entry(0), KEY_ONE, 'kept', 5);
    const text = await answer.text();
    const id = answer.headers.get('x-request-id') ?? '';
    fleet.platform.reclaim('entry-0', 2000);
    await fleet.entry(0).process.exited;
    const fetched = await fetch(
      `http://${fleet.entry(1).callers}/v1/requests/${id}`,
      {headers: {authorization: `Bearer ${KEY_ONE}`}},
    );
    expect(await fetched.text()).toBe(text);
  });
});

describe('a non-idempotent request', () => {
  it('hands over its execution right if its host is reclaimed before the send', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north'],
      plainServices: 1,
      objects: [
        {
          kind: 'service',
          name: 'booking',
          upstreamKind: 'plain',
          repetition: 'non-idempotent',
          upstreamConcurrency: 1,
          maximumQueueMilliseconds: 5000,
        },
      ],
    });
    const [service] = fleet.plainServices;
    if (service === undefined) {
      throw new Error('the fleet has no plain service');
    }
    service.executionMilliseconds = 1200;
    const first = callPlain(fleet.entry(1), KEY_ONE, 'booking', 'first', {
      'idempotency-key': 'r1',
    });
    await waitFor('the first request runs', () =>
      service.executions.some(({key}) => key === 'r1'),
    );
    const queued = callPlain(fleet.entry(0), KEY_ONE, 'booking', 'second', {
      'idempotency-key': 'r2',
    });
    await waitFor('the second request is queued', async () => {
      const statuses = await Promise.all(
        fleet.entries.map(entry => fleet.status(entry)),
      );
      return statuses.some(({shards}) =>
        shards.some(
          ({shardId, queueLength}) => shardId === 'booking' && queueLength > 0,
        ),
      );
    });
    fleet.platform.reclaim('entry-0', 2000);
    const moved = await queued;
    expect(moved.status).toBe(303);
    const fetched = await fetch(moved.headers.get('location') ?? '', {
      headers: {authorization: `Bearer ${KEY_ONE}`},
    });
    expect(fetched.status).toBe(200);
    expect((await first).status).toBe(200);
    const keys = service.executions
      .map(({key}) => key)
      .filter(key => /^r\d$/.test(key));
    expect(keys).toEqual(['r1', 'r2']);
  });
});
