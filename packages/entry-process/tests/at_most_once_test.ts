/** Tests of at-most-once execution, with real processes that fail. */
import {
  callPlain,
  Fleet,
  KEY_ONE,
  type PlainServiceStandIn,
  waitFor,
} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

let fleet: Fleet;

beforeEach(async () => {
  fleet = await Fleet.start({
    entryDomains: ['east', 'west', 'north'],
    plainServices: 1,
  });
});

afterEach(() => fleet.close());

function plainService(): PlainServiceStandIn {
  const [first] = fleet.plainServices;
  if (first === undefined) {
    throw new Error('the fleet has no plain service');
  }
  return first;
}

function executionsOf(key: string): number {
  return plainService().executions.filter(execution => execution.key === key).length;
}

async function book(
  index: number,
  key: string,
): Promise<{
  readonly status: number;
  readonly body: string;
  readonly location: string | null;
}> {
  const answer = await callPlain(
    fleet.entry(index),
    KEY_ONE,
    'booking',
    'book',
    {'idempotency-key': key},
  );
  return {
    status: answer.status,
    body: await answer.text(),
    location: answer.headers.get('location'),
  };
}

async function fetchAnswer(location: string): Promise<Response> {
  return fetch(location, {headers: {authorization: `Bearer ${KEY_ONE}`}});
}

describe('a non-idempotent call', () => {
  it('runs once when its key is sent to three hosts at once', async () => {
    plainService().executionMilliseconds = 100;
    const answers = await Promise.all([
      book(0, 'k1'),
      book(1, 'k1'),
      book(2, 'k1'),
    ]);
    const bodies = await Promise.all(
      answers.map(async ({status, body, location}) =>
        status === 303
          ? (await fetchAnswer(location ?? '')).text()
          : Promise.resolve(body),
      ),
    );
    expect(executionsOf('k1')).toBe(1);
    expect(new Set(bodies).size).toBe(1);
  });

  it('runs once when the answers of the log are lost', async () => {
    fleet.platform.log.faults.loseAppendAnswers = 1;
    const answer = await book(0, 'k2');
    expect(answer.status).toBe(200);
    expect(executionsOf('k2')).toBe(1);
  });

  it('is refused as not run while the log is down, and runs after', async () => {
    fleet.platform.log.faults.outage = 'down';
    const refused = await book(0, 'k3');
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({
      kind: 'log-unavailable',
      ran: 'no',
    });
    expect(executionsOf('k3')).toBe(0);
    fleet.platform.log.faults.outage = 'none';
    await waitFor('the call runs once the log is back', async () => {
      const answer = await book(0, 'k3');
      return answer.status === 200;
    });
    expect(executionsOf('k3')).toBe(1);
  });

  it.each([
    {fault: 'reset-after-execution', executions: 1},
    {fault: 'reset-before-execution', executions: 0},
  ] as const)(
    'is answered as unknown after $fault, and never repeated',
    async ({fault, executions}) => {
      plainService().fault = fault;
      const answer = await book(0, 'k4');
      expect(answer.status).toBe(502);
      expect(JSON.parse(answer.body)).toMatchObject({
        kind: 'outcome-unknown',
        ran: 'unknown',
      });
      plainService().fault = 'none';
      for (const index of [0, 1, 2]) {
        const again = await book(index, 'k4');
        const final =
          again.status === 303
            ? (await fetchAnswer(again.location ?? '')).status
            : again.status;
        expect(final).toBe(502);
      }
      expect(executionsOf('k4')).toBe(executions);
    },
  );

  it('never runs again after its holder was killed', async () => {
    plainService().executionMilliseconds = 400;
    const lost = book(0, 'k5').catch(() => undefined);
    await waitFor('the call runs', () => executionsOf('k5') === 1);
    fleet.entry(0).process.child.kill('SIGKILL');
    await lost;
    const again = await book(1, 'k5');
    expect(again.status).toBe(502);
    expect(JSON.parse(again.body)).toMatchObject({ran: 'unknown'});
    expect(executionsOf('k5')).toBe(1);
  });

  it('never runs twice when its holder freezes and thaws', async () => {
    // Slow appends give time to freeze the holder between claim and send.
    fleet.platform.log.faults.latency = 300;
    const held = book(0, 'k6').catch(() => undefined);
    await waitFor(
      'the claim is in the log',
      () => fleet.platform.log.records('claims').length > 0,
    );
    fleet.entry(0).process.child.kill('SIGSTOP');
    fleet.platform.log.faults.latency = 0;
    const again = await book(1, 'k6');
    expect([200, 502]).toContain(again.status);
    fleet.entry(0).process.child.kill('SIGCONT');
    await held;
    await waitFor('the thawed host answers', async () => {
      const status = await fleet.status(fleet.entry(0));
      return status.requestsInProgress === 0;
    });
    expect(executionsOf('k6')).toBeLessThanOrEqual(1);
  });

  it('is refused by a restarted host until that has read the claims', async () => {
    const first = await book(0, 'k7');
    fleet.platform.log.faults.outage = 'down';
    await fleet.startEntries(['east']);
    await waitFor('the new host serves', async () => {
      const status = await fleet.status(fleet.entry(3));
      return status.status === 'serving';
    });
    await waitFor('every host knows that the log is down', async () => {
      const statuses = await Promise.all(
        fleet.entries.map(entry => fleet.status(entry)),
      );
      return statuses.every(({isLogReadable}) => !isLogReadable);
    });
    const refused = await book(3, 'k9');
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({
      kind: 'log-unavailable',
      ran: 'no',
    });
    expect(executionsOf('k9')).toBe(0);
    // A host that read the claim before the outage still tells where it ran.
    const again = await book(3, 'k7');
    if (again.status === 303) {
      const there = await fetchAnswer(again.location ?? '');
      expect(await there.text()).toBe(first.body);
    } else {
      expect(again.status).toBe(503);
      expect(JSON.parse(again.body)).toMatchObject({ran: 'no'});
    }
    expect(executionsOf('k7')).toBe(1);
  });

  it('keeps its right when nothing could be written', async () => {
    await plainService().close();
    const refused = await book(0, 'k8');
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({ran: 'no'});
    expect(executionsOf('k8')).toBe(0);
  });
});
