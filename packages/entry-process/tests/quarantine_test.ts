/** Tests of content that crashes the upstreams that run it. */
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
  it('runs twice at most, wherever and under whatever id it is sent', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north'],
      engines: 4,
    });
    const first = await callCompletion(fleet.entry(0), KEY_ONE, CRASHING_PROMPT, 3);
    expect(first.status).toBe(422);
    expect(await first.json()).toMatchObject({
      kind: 'quarantined',
      ran: 'unknown',
    });
    expect(crashCount()).toBe(2);
    for (const entry of fleet.entries) {
      const again = await callCompletion(entry, KEY_ONE, CRASHING_PROMPT, 3, {
        headers: {'idempotency-key': `other-${entry.hostId}`},
      });
      expect(again.status).toBe(422);
      expect(await again.json()).toMatchObject({ran: 'no'});
      expect(Number(again.headers.get('retry-after'))).toBeGreaterThan(0);
    }
    expect(crashCount()).toBe(2);
  });

  it('harms no bystander on the same upstreams', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      engines: 3,
      engineOptions: {prefillMilliseconds: 50, tokenMilliseconds: 10},
    });
    const otherRequests = Array.from({length: 6}, (_, index) =>
      callCompletion(fleet.entry(index % 2), KEY_ONE, `innocent ${index}`, 20),
    );
    const crashing = callCompletion(fleet.entry(0), KEY_ONE, CRASHING_PROMPT, 3);
    const answers = await Promise.all(otherRequests);
    expect(answers.map(({status}) => status)).toEqual(answers.map(() => 200));
    expect((await crashing).status).toBe(422);
    expect(crashCount()).toBe(2);
    const again = await Promise.all(
      answers.map((_, index) =>
        callCompletion(fleet.entry(index % 2), KEY_ONE, `innocent ${index}`, 2),
      ),
    );
    expect(again.map(({status}) => status)).toEqual(again.map(() => 200));
  });
});
