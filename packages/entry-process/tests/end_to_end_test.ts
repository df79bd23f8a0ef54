/** End-to-end tests of requests to built entry processes. */
import {
  callCompletion,
  callPlain,
  expectedText,
  Fleet,
  KEY_ONE,
  KEY_TWO,
} from '@lacewingwinch/stand-ins';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

let fleet: Fleet;

beforeAll(async () => {
  fleet = await Fleet.start({
    entryDomains: ['east', 'west'],
    engines: 2,
    plainServices: 1,
  });
});

afterAll(() => fleet.close());

const PROMPT = 'Write a report.';

function send(
  path: string,
  options: {
    readonly method?: string;
    readonly key?: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
  },
): Promise<Response> {
  return fetch(`http://${fleet.entry(0).callers}${path}`, {
    method: options.method ?? 'POST',
    redirect: 'manual',
    headers: {
      authorization: `Bearer ${options.key ?? KEY_ONE}`,
      ...options.headers,
    },
    ...(options.body === undefined ? {} : {body: options.body}),
  });
}

describe('valid requests', () => {
  it('answers a completion that is not streamed', async () => {
    const answer = await callCompletion(fleet.entry(0), KEY_ONE, PROMPT, 5);
    const body = (await answer.json()) as {
      readonly id: string;
      readonly choices: readonly {readonly text: string}[];
    };
    expect(answer.status).toBe(200);
    expect(body.id).toBe(answer.headers.get('x-request-id'));
    expect(body.choices[0]?.text).toBe(expectedText(JSON.stringify(PROMPT), 5));
  });

  it('answers a chat completion that is not streamed', async () => {
    const messages = [{role: 'user', content: 'Which tank?'}];
    const answer = await send('/v1/chat/completions', {
      body: JSON.stringify({model: 'writer', messages, max_tokens: 3}),
    });
    const body = (await answer.json()) as {
      readonly choices: readonly {
        readonly message: {readonly content: string};
      }[];
    };
    expect(body.choices[0]?.message.content).toBe(
      expectedText(JSON.stringify(messages), 3),
    );
  });

  it('streams a completion with its offsets in order', async () => {
    const answer = await callCompletion(fleet.entry(1), KEY_ONE, PROMPT, 8, {
      isStreamed: true,
    });
    const text = await answer.text();
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    expect(ids).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true);
  });

  it('resumes a stream after the last event that the client received', async () => {
    const first = await callCompletion(fleet.entry(0), KEY_ONE, PROMPT, 6, {
      isStreamed: true,
    });
    await first.text();
    const id = first.headers.get('x-request-id') ?? '';
    const resumed = await send(`/v1/requests/${id}`, {
      method: 'GET',
      headers: {'last-event-id': '3'},
    });
    const text = await resumed.text();
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(
      ([, eventId]) => eventId,
    );
    expect(ids).toEqual(['4', '5']);
  });

  it('returns the same answer for the same key at both hosts', async () => {
    const headers = {'idempotency-key': 'booking-7'};
    const first = await callPlain(
      fleet.entry(0),
      KEY_ONE,
      'booking',
      'book 7',
      headers,
    );
    const firstText = await first.text();
    const repeated = await callPlain(
      fleet.entry(0),
      KEY_ONE,
      'booking',
      'book 7',
      headers,
    );
    const redirected = await callPlain(
      fleet.entry(1),
      KEY_ONE,
      'booking',
      'book 7',
      headers,
    );
    const fetched = await fetch(redirected.headers.get('location') ?? '', {
      headers: {authorization: `Bearer ${KEY_ONE}`},
    });
    expect(await repeated.text()).toBe(firstText);
    expect(redirected.status).toBe(303);
    expect(await fetched.text()).toBe(firstText);
    expect(first.headers.get('idempotency-key')).toBe('booking-7');
    expect(first.headers.get('x-claim-window-seconds')).toBe('3600');
  });

  it('lists the entry hosts with the time for which the list can be cached', async () => {
    const answer = await send('/v1/entry-hosts', {method: 'GET'});
    const body = (await answer.json()) as {
      readonly entryHosts: readonly {readonly hostId: string}[];
    };
    expect(body.entryHosts.map(({hostId}) => hostId).sort()).toEqual([
      'entry-0',
      'entry-1',
    ]);
    expect(answer.headers.get('cache-control')).toMatch(/^max-age=\d+$/);
  });
});

describe('invalid requests', () => {
  const completion = JSON.stringify({model: 'writer', prompt: 'x'});
  const cases = [
    {
      name: 'a wrong key',
      path: '/v1/completions',
      options: {key: 'wrong', body: completion},
      status: 401,
      kind: 'workspace-key-rejected',
    },
    {
      name: 'malformed JSON',
      path: '/v1/completions',
      options: {body: '{"model":'},
      status: 400,
      kind: 'request-malformed',
    },
    {
      name: 'a body that is not an object',
      path: '/v1/completions',
      options: {body: '[]'},
      status: 400,
      kind: 'request-malformed',
    },
    {
      name: 'an unknown service',
      path: '/v1/services/nothing/call',
      options: {body: 'x'},
      status: 404,
      kind: 'service-unknown',
    },
    {
      name: 'a model service called as a plain service',
      path: '/v1/services/writer/call',
      options: {body: 'x'},
      status: 404,
      kind: 'service-unknown',
    },
    {
      name: 'a body larger than the limit of its service',
      path: '/v1/services/lookup/call',
      options: {body: 'x'.repeat(1_048_577)},
      status: 413,
      kind: 'request-too-large',
    },
    {
      name: 'a body larger than the limit of any service',
      path: '/v1/services/lookup/call',
      options: {body: 'x'.repeat(8_388_609)},
      status: 413,
      kind: 'request-too-large',
    },
    {
      name: 'a deadline that has passed',
      path: '/v1/services/lookup/call',
      options: {body: 'x', headers: {'x-request-deadline': '1000'}},
      status: 504,
      kind: 'deadline-passed',
    },
    {
      name: 'a malformed deadline',
      path: '/v1/services/lookup/call',
      options: {body: 'x', headers: {'x-request-deadline': 'soon'}},
      status: 400,
      kind: 'request-malformed',
    },
    {
      name: 'a priority out of range',
      path: '/v1/services/lookup/call',
      options: {body: 'x', headers: {'x-request-priority': '10'}},
      status: 400,
      kind: 'request-malformed',
    },
    {
      name: 'a key older than the claim window',
      path: '/v1/services/booking/call',
      options: {
        body: 'x',
        headers: {'idempotency-key': 'old', 'idempotency-key-created': '1000'},
      },
      status: 409,
      kind: 'key-expired',
    },
    {
      name: 'an unknown path',
      path: '/v2/anything',
      options: {body: 'x'},
      status: 404,
      kind: 'path-unknown',
    },
    {
      name: 'a wrong method',
      path: '/v1/completions',
      options: {method: 'GET'},
      status: 405,
      kind: 'method-not-allowed',
    },
    {
      name: 'an unknown request',
      path: '/v1/requests/nothing',
      options: {method: 'GET'},
      status: 404,
      kind: 'request-unknown',
    },
  ] as const;

  it.each(cases)('refuses $name', async ({path, options, status, kind}) => {
    const answer = await send(path, options);
    const problem = (await answer.json()) as Readonly<Record<string, unknown>>;
    expect(answer.status).toBe(status);
    expect(answer.headers.get('content-type')).toBe('application/problem+json');
    expect(problem).toMatchObject({kind, status});
    expect(problem['ran']).toMatch(/^(no|unknown)$/);
  });

  it('refuses a key that was used for other content', async () => {
    const headers = {'idempotency-key': 'booking-8'};
    const entry = fleet.entry(0);
    await (await callPlain(entry, KEY_ONE, 'booking', 'a', headers)).text();
    const other = await callPlain(
      fleet.entry(1),
      KEY_ONE,
      'booking',
      'b',
      headers,
    );
    expect(other.status).toBe(422);
    expect(await other.json()).toMatchObject({kind: 'key-reused'});
  });

  it('hides a request from another workspace', async () => {
    const answer = await callCompletion(fleet.entry(0), KEY_ONE, PROMPT, 1);
    await answer.text();
    const id = answer.headers.get('x-request-id') ?? '';
    const other = await send(`/v1/requests/${id}`, {
      method: 'GET',
      key: KEY_TWO,
    });
    expect(other.status).toBe(404);
  });
});
