/** Tests of at-most-once execution with real processes and injected faults. */
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

function executionCountOf(key: string): number {
  return plainService().executions.filter(execution => execution.key === key)
    .length;
}

async function sendBooking(
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

describe('a non-idempotent request', () => {
  it('runs once if its key is sent to three hosts at the same time', async () => {
    plainService().executionMilliseconds = 100;
    const answers = await Promise.all([
      sendBooking(0, 'k1'),
      sendBooking(1, 'k1'),
      sendBooking(2, 'k1'),
    ]);
    const bodies = await Promise.all(
      answers.map(async ({status, body, location}) =>
        status === 303
          ? (await fetchAnswer(location ?? '')).text()
          : Promise.resolve(body),
      ),
    );
    expect(executionCountOf('k1')).toBe(1);
    expect(new Set(bodies).size).toBe(1);
  });

  it('runs once if the log loses the answer to the append of its claim', async () => {
    fleet.platform.log.faults.loseAppendAnswers = 1;
    const answer = await sendBooking(0, 'k2');
    expect(answer.status).toBe(200);
    expect(executionCountOf('k2')).toBe(1);
  });

  it('is refused as not run while the log is down, and runs afterwards', async () => {
    fleet.platform.log.faults.outage = 'down';
    const refused = await sendBooking(0, 'k3');
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({
      kind: 'log-unavailable',
      ran: 'no',
    });
    expect(executionCountOf('k3')).toBe(0);
    fleet.platform.log.faults.outage = 'none';
    await waitFor('the request runs after the outage of the log', async () => {
      const answer = await sendBooking(0, 'k3');
      return answer.status === 200;
    });
    expect(executionCountOf('k3')).toBe(1);
  });

  it.each([
    {fault: 'reset-after-execution', executions: 1},
    {fault: 'reset-before-execution', executions: 0},
  ] as const)(
    'is answered with an unknown outcome after $fault and never repeated',
    async ({fault, executions}) => {
      plainService().fault = fault;
      const answer = await sendBooking(0, 'k4');
      expect(answer.status).toBe(502);
      expect(JSON.parse(answer.body)).toMatchObject({
        kind: 'outcome-unknown',
        ran: 'unknown',
      });
      plainService().fault = 'none';
      for (const index of [0, 1, 2]) {
        const repeated = await sendBooking(index, 'k4');
        const finalStatus =
          repeated.status === 303
            ? (await fetchAnswer(repeated.location ?? '')).status
            : repeated.status;
        expect(finalStatus).toBe(502);
      }
      expect(executionCountOf('k4')).toBe(executions);
    },
  );

  it('never runs again after the host that sent it was killed', async () => {
    plainService().executionMilliseconds = 400;
    const interrupted = sendBooking(0, 'k5').catch(() => undefined);
    await waitFor('the request runs', () => executionCountOf('k5') === 1);
    fleet.entry(0).process.child.kill('SIGKILL');
    await interrupted;
    const repeated = await sendBooking(1, 'k5');
    expect(repeated.status).toBe(502);
    expect(JSON.parse(repeated.body)).toMatchObject({ran: 'unknown'});
    expect(executionCountOf('k5')).toBe(1);
  });

  it('never runs twice if its host is suspended and resumed', async () => {
    // Slow appends leave time to suspend the host between claim and send.
    fleet.platform.log.faults.latency = 300;
    const suspended = sendBooking(0, 'k6').catch(() => undefined);
    await waitFor(
      'the claim is in the log',
      () => fleet.platform.log.records('claims').length > 0,
    );
    fleet.entry(0).process.child.kill('SIGSTOP');
    fleet.platform.log.faults.latency = 0;
    const repeated = await sendBooking(1, 'k6');
    expect([200, 502]).toContain(repeated.status);
    fleet.entry(0).process.child.kill('SIGCONT');
    await suspended;
    await waitFor('the resumed host has no requests in progress', async () => {
      const status = await fleet.status(fleet.entry(0));
      return status.requestsInProgress === 0;
    });
    expect(executionCountOf('k6')).toBeLessThanOrEqual(1);
  });

  it('is refused by a new host that has not read the claims', async () => {
    const first = await sendBooking(0, 'k7');
    fleet.platform.log.faults.outage = 'down';
    await fleet.startEntries(['east']);
    await waitFor('the new host serves', async () => {
      const status = await fleet.status(fleet.entry(3));
      return status.status === 'serving';
    });
    await waitFor('every host has noticed the outage of the log', async () => {
      const statuses = await Promise.all(
        fleet.entries.map(entry => fleet.status(entry)),
      );
      return statuses.every(({isLogReadable}) => !isLogReadable);
    });
    const refused = await sendBooking(3, 'k9');
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({
      kind: 'log-unavailable',
      ran: 'no',
    });
    expect(executionCountOf('k9')).toBe(0);
    // A host that read the claim before the outage still redirects to the host
    // where the request ran.
    const repeated = await sendBooking(3, 'k7');
    if (repeated.status === 303) {
      const fetched = await fetchAnswer(repeated.location ?? '');
      expect(await fetched.text()).toBe(first.body);
    } else {
      expect(repeated.status).toBe(503);
      expect(JSON.parse(repeated.body)).toMatchObject({ran: 'no'});
    }
    expect(executionCountOf('k7')).toBe(1);
  });

  it('is refused as not run if nothing could be sent to its upstream', async () => {
    await plainService().close();
    const refused = await sendBooking(0, 'k8');
    expect(refused.status).toBe(503);
    expect(JSON.parse(refused.body)).toMatchObject({ran: 'no'});
    expect(executionCountOf('k8')).toBe(0);
  });
});
