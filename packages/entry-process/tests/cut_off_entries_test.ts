/**
 * Tests of entry hosts of the own interface that have lost their links to every
 * upstream and no other link: their clients were not served.
 */
import {
  callCompletion,
  callPlain,
  Fleet,
  KEY_ONE,
  type LinkCut,
} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

/** Milliseconds from the beginning of a cut from which first tries count. */
const REACTION_MILLISECONDS = 3000;

const OBSERVATION_MILLISECONDS = 3000;

/** Milliseconds between two requests to an entry host. */
const REQUEST_PERIOD_MILLISECONDS = 100;

/** Least share of first tries served, by that at the other hosts. */
const LEAST_RELATIVE_SHARE = 2 / 3;

/** Milliseconds after which a client gives up. */
const CLIENT_TIMEOUT_MILLISECONDS = 3000;

interface FirstTry {
  readonly entry: number;
  readonly sentAt: number;
  readonly isServed: boolean;
}

let fleet: Fleet;
let tries: FirstTry[];
let sending: AbortController;

afterEach(async () => {
  sending.abort();
  await fleet.close();
});

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

async function send(entry: number, count: number): Promise<void> {
  const sentAt = Date.now();
  const host = fleet.entry(entry);
  const call =
    count % 3 === 0
      ? callCompletion(host, KEY_ONE, `prompt ${count}`, 3)
      : callPlain(host, KEY_ONE, count % 3 === 1 ? 'lookup' : 'booking', 'x', {
          'idempotency-key': `${entry}-${count}`,
        });
  const answer = await Promise.race([
    call.catch(() => undefined),
    pause(CLIENT_TIMEOUT_MILLISECONDS),
  ]);
  tries.push({entry, sentAt, isServed: answer?.status === 200});
}

async function sendRequests(): Promise<void> {
  for (let count = 0; !sending.signal.aborted; count += 1) {
    fleet.entries.forEach((_, entry) => void send(entry, count));
    await pause(REQUEST_PERIOD_MILLISECONDS);
  }
}

function shareServed(counted: readonly FirstTry[]): number {
  return counted.filter(({isServed}) => isServed).length / counted.length;
}

describe('an entry host that has lost its links to every upstream', () => {
  it.each<{readonly form: LinkCut}>([
    {form: 'hang'},
    {form: 'reset'},
    {form: 'refuse-new'},
  ])('serves first tries as the others do: $form', async ({form}) => {
    tries = [];
    sending = new AbortController();
    fleet = await Fleet.start({
      entryDomains: ['east', 'west', 'north'],
      engines: 3,
      plainServices: 2,
      hasOwnLinks: true,
    });
    void sendRequests();
    await pause(1000);
    await fleet.links[1]?.cut(form);
    const countsFrom = Date.now() + REACTION_MILLISECONDS;
    const countsTo = countsFrom + OBSERVATION_MILLISECONDS;
    await pause(
      REACTION_MILLISECONDS +
        OBSERVATION_MILLISECONDS +
        CLIENT_TIMEOUT_MILLISECONDS,
    );
    const counted = tries.filter(
      ({sentAt}) => sentAt >= countsFrom && sentAt < countsTo,
    );
    const atCut = shareServed(counted.filter(({entry}) => entry === 1));
    const atOthers = shareServed(counted.filter(({entry}) => entry !== 1));
    expect(atOthers).toBeGreaterThan(0.9);
    expect(atCut).toBeGreaterThan(atOthers * LEAST_RELATIVE_SHARE);
  });
});
