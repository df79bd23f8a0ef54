/** Tests of planned stops of entry hosts under load. */
import {
  callCompletion,
  callPlain,
  expectedText,
  Fleet,
  KEY_ONE,
  waitFor,
} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

let fleet: Fleet;

afterEach(() => fleet.close());

const SLOW_ENGINES = {prefillMilliseconds: 5, tokenMilliseconds: 15};

interface DiscoveredHost {
  readonly address: string;
}

/**
 * Sends requests until `isOver` returns true. Follows redirects, and chooses
 * its entry host by discovery after each request.
 */
async function sendRequestsUntil(
  isOver: () => boolean,
): Promise<{readonly calls: number; readonly failures: readonly string[]}> {
  const failures: string[] = [];
  let calls = 0;
  let entryAddress = fleet.entry(0).callers;
  while (!isOver()) {
    calls += 1;
    try {
      const answer = await callPlain(
        {callers: entryAddress},
        KEY_ONE,
        'lookup',
        'x',
      );
      await answer.text();
      if (answer.status === 307) {
        entryAddress = new URL(answer.headers.get('location') ?? '').host;
        continue;
      }
      if (answer.status !== 200) {
        failures.push(String(answer.status));
      }
    } catch (error) {
      failures.push(String((error as Error).cause ?? error));
    }
    entryAddress = await findHost(entryAddress);
  }
  return {calls, failures};
}

/** Returns the address of the entry host that discovery lists first. */
async function findHost(address: string): Promise<string> {
  const answer = await fetch(`http://${address}/v1/entry-hosts`);
  const {entryHosts} = (await answer.json()) as {
    readonly entryHosts: readonly DiscoveredHost[];
  };
  return entryHosts[0]?.address ?? address;
}

describe('a planned stop', () => {
  it.each([
    {name: 'by signal', stop: 'signal'},
    {name: 'by lacewingctl drain', stop: 'drain'},
  ] as const)('$name interrupts no request under load', async ({stop}) => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north'],
      engines: 2,
      engineOptions: SLOW_ENGINES,
      plainServices: 1,
    });
    let isOver = false;
    const clients = Array.from({length: 4}, () =>
      sendRequestsUntil(() => isOver),
    );
    // Plain requests also count as requests in progress. Only an answer that
    // has begun proves that its stream runs on the host that is stopped.
    const answers = await Promise.all(
      Array.from({length: 5}, (_, index) =>
        callCompletion(fleet.entry(0), KEY_ONE, `stop ${index}`, 80, {
          isStreamed: true,
        }),
      ),
    );
    expect(answers.map(({status}) => status)).toEqual([
      200, 200, 200, 200, 200,
    ]);
    const streams = answers.map(answer => answer.text());
    const status = await fleet.status(fleet.entry(0));
    expect(status.requestsInProgress).toBeGreaterThanOrEqual(5);
    switch (stop) {
      case 'signal':
        fleet.entry(0).process.child.kill('SIGTERM');
        break;
      case 'drain':
        await fetch(`http://${fleet.entry(0).operators}/drain`, {
          method: 'POST',
        });
    }
    const texts = await Promise.all(streams);
    const isComplete = (text: string): boolean =>
      text.endsWith('data: [DONE]\n\n') && !text.includes('event:');
    expect(texts.filter(text => !isComplete(text))).toEqual([]);
    expect(await fleet.entry(0).process.exited).toBe(0);
    isOver = true;
    const results = await Promise.all(clients);
    expect(results.flatMap(({failures}) => failures)).toEqual([]);
    expect(results.every(({calls}) => calls > 3)).toBe(true);
  });

  it('hands over and ends within 8 s after a second signal', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      engines: 2,
      engineOptions: {prefillMilliseconds: 5, tokenMilliseconds: 100},
    });
    const answer = await callCompletion(fleet.entry(0), KEY_ONE, 'hurry', 100, {
      isStreamed: true,
    });
    const body = answer.text();
    const {process} = fleet.entry(0);
    process.child.kill('SIGTERM');
    await waitFor('the host is leaving', async () => {
      const status = await fleet.status(fleet.entry(0));
      return status.status === 'leaving';
    });
    const secondSignalAt = Date.now();
    process.child.kill('SIGTERM');
    expect(await process.exited).toBe(0);
    expect(Date.now() - secondSignalAt).toBeLessThan(8000);
    expect(await body).toContain('event: moved');
  });

  it('redirects clients with an outdated host list and runs nothing', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      engines: 1,
      engineOptions: SLOW_ENGINES,
      entryFlags: ['--linger-seconds=3'],
    });
    fleet.entry(0).process.child.kill('SIGTERM');
    await waitFor('the host is leaving', async () => {
      const status = await fleet.status(fleet.entry(0));
      return status.status === 'leaving';
    });
    const executionsBefore = fleet.engines[0]?.executions.length;
    const answer = await callCompletion(fleet.entry(0), KEY_ONE, 'late', 3);
    expect(answer.status).toBe(307);
    expect(fleet.engines[0]?.executions.length).toBe(executionsBefore);
    const location = answer.headers.get('location') ?? '';
    expect(location).toContain(fleet.entry(1).callers);
    const redirected = await fetch(location, {
      method: 'POST',
      headers: {authorization: `Bearer ${KEY_ONE}`},
      body: JSON.stringify({model: 'writer', prompt: 'late', max_tokens: 3}),
    });
    expect(await redirected.text()).toContain(
      expectedText(JSON.stringify('late'), 3),
    );
  });
});
