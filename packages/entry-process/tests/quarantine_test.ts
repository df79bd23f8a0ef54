/** Tests of the quarantine of content that crashes its upstreams. */
import {
  callCompletion,
  CRASHING_WORD,
  Fleet,
  KEY_ONE,
} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

let fleet: Fleet;

afterEach(() => fleet.close());

const CRASHING_PROMPT = `please ${CRASHING_WORD}`;

function crashCount(): number {
  return fleet.engines
    .flatMap(engine => engine.executions)
    .filter(({prompt}) => prompt.includes(CRASHING_WORD)).length;
}

describe('content that crashes its upstreams', () => {
  it('runs at most twice, whichever host and key it is sent with', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north'],
      engines: 4,
    });
    const first = await callCompletion(
      fleet.entry(0),
      KEY_ONE,
      CRASHING_PROMPT,
      3,
    );
    expect(first.status).toBe(422);
    expect(await first.json()).toMatchObject({
      kind: 'quarantined',
      ran: 'unknown',
    });
    expect(crashCount()).toBe(2);
    for (const entry of fleet.entries) {
      const repeated = await callCompletion(
        entry,
        KEY_ONE,
        CRASHING_PROMPT,
        3,
        {
          headers: {'idempotency-key': `other-${entry.hostId}`},
        },
      );
      expect(repeated.status).toBe(422);
      expect(await repeated.json()).toMatchObject({ran: 'no'});
      expect(Number(repeated.headers.get('retry-after'))).toBeGreaterThan(0);
    }
    expect(crashCount()).toBe(2);
  });

  it('does not make other requests on the same upstreams fail', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      engines: 3,
      engineOptions: {prefillMilliseconds: 50, tokenMilliseconds: 10},
    });
    const otherRequests = Array.from({length: 6}, (_, index) =>
      callCompletion(fleet.entry(index % 2), KEY_ONE, `innocent ${index}`, 20),
    );
    const crashingRequest = callCompletion(
      fleet.entry(0),
      KEY_ONE,
      CRASHING_PROMPT,
      3,
    );
    const answers = await Promise.all(otherRequests);
    expect(answers.map(({status}) => status)).toEqual(answers.map(() => 200));
    expect((await crashingRequest).status).toBe(422);
    expect(crashCount()).toBe(2);
    const laterAnswers = await Promise.all(
      answers.map((_, index) =>
        callCompletion(fleet.entry(index % 2), KEY_ONE, `innocent ${index}`, 2),
      ),
    );
    expect(laterAnswers.map(({status}) => status)).toEqual(
      laterAnswers.map(() => 200),
    );
  });
});

describe('a message that crashes upstreams, whatever follows it', () => {
  /** Crashes after which all hosts have to refuse requests with the message. */
  const NOTICED_CRASHES = 5;

  /** Requests with the message that may still reach upstreams after that. */
  const TOLERATED_REQUESTS = 3;

  const PAUSE_MILLISECONDS = 150;
  const SYSTEM_MESSAGE = {role: 'system', content: 'Answer briefly.'};

  function callChat(host: number, texts: readonly string[]): Promise<Response> {
    return fetch(`http://${fleet.entry(host).callers}/v1/chat/completions`, {
      method: 'POST',
      redirect: 'manual',
      headers: {
        authorization: `Bearer ${KEY_ONE}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        model: 'writer',
        messages: [
          SYSTEM_MESSAGE,
          ...texts.map(content => ({role: 'user', content})),
        ],
        max_tokens: 2,
      }),
    });
  }

  it('stops reaching upstreams, and other requests are answered', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north'],
      engines: 4,
    });
    for (let index = 0; index < 12; index += 1) {
      const sound = await callChat(index % 3, [`sound ${index}`, 'and on']);
      expect(sound.status).toBe(200);
      await callChat((index + 1) % 3, [CRASHING_PROMPT, `request ${index}`]);
      await new Promise(resolve => setTimeout(resolve, PAUSE_MILLISECONDS));
    }
    expect(crashCount()).toBeLessThanOrEqual(
      NOTICED_CRASHES + TOLERATED_REQUESTS,
    );
    const refused = await callChat(0, [CRASHING_PROMPT, 'another request']);
    expect(refused.status).toBe(503);
    expect(await refused.json()).toMatchObject({
      kind: 'prompt-part-quarantined',
      ran: 'no',
    });
  });
});
