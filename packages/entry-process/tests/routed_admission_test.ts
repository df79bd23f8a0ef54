/** Tests of what dispatchers refuse, and of requests that return to them. */
import {rendezvousWinner} from '@lacewingwinch/decisions';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  clock,
  cutOff,
  demand,
  HOSTS,
  hosts,
  startHost,
  startHosts,
} from './placement_fixtures.js';

describe('a dispatcher of more requests than its engines can read in time', () => {
  const terms = {
    objectiveMilliseconds: 800,
    millisecondsLeft: 8000,
    patienceMilliseconds: 4000,
    workspace: 'workspace',
  };
  const [front = ''] = HOSTS.filter(
    hostId => hostId !== rendezvousWinner('dispatcher/engines', HOSTS),
  );

  function placeOnTerms(index: number, priority: number): Promise<unknown> {
    const request = {...demand(`a-${index}`, `part-${index % 20}`), priority};
    return (
      hosts.get(front)?.place('engines', request, new Set(), terms) ??
      Promise.resolve()
    );
  }

  afterEach(() => {
    cutOff.clear();
  });

  beforeEach(async () => {
    clock.now = 0;
    startHosts(4);
    for (let index = 100; index < 118; index += 1) {
      await placeOnTerms(index, 0);
    }
  });

  it('refuses the least urgent request with a reason, and places an urgent one', async () => {
    expect(await placeOnTerms(20, 2)).toMatchObject({kind: 'refused'});
    expect(await placeOnTerms(21, 0)).toMatchObject({kind: 'placed'});
  });

  it('does not count a request that it refused', async () => {
    const first = await placeOnTerms(20, 2);
    const second = await placeOnTerms(40, 2);
    expect(second).toMatchObject({
      kind: 'refused',
      startMilliseconds: (first as {startMilliseconds: number})
        .startMilliseconds,
    });
  });

  it('admits one of several refused requests as an urgent one', async () => {
    const results: unknown[] = [];
    for (let index = 20; index < 60; index += 1) {
      clock.now += 25;
      results.push(await placeOnTerms(index, 2));
    }
    expect(results).toContainEqual(
      expect.objectContaining({kind: 'placed', promotedRank: 0}),
    );
  });

  describe('that returns to another host at its place', () => {
    const [, otherFront = ''] = HOSTS.filter(
      hostId => hostId !== rendezvousWinner('dispatcher/engines', HOSTS),
    );

    function placeFrom(
      host: string,
      attemptId: string,
    ): Promise<unknown> | undefined {
      const request = {...demand(attemptId, 'part-1'), priority: 2};
      return hosts
        .get(host)
        ?.place('engines', request, new Set(), {...terms, fingerprint: 'f'});
    }

    it('is placed, however many came meanwhile', async () => {
      const refusal = await placeFrom(front, 'first');
      expect(refusal).toMatchObject({kind: 'refused', isPlace: true});
      clock.now += (
        refusal as {retryAfterMilliseconds: number}
      ).retryAfterMilliseconds;
      for (let index = 200; index < 220; index += 1) {
        await placeOnTerms(index, 0);
      }
      expect(await placeOnTerms(21, 2)).toMatchObject({kind: 'refused'});
      expect(await placeFrom(otherFront, 'second')).toMatchObject({
        kind: 'placed',
        returned: 'at-place',
      });
    });

    it('is refused again if it returns early, with the time that is left', async () => {
      const refusal = await placeFrom(front, 'first');
      clock.now += 50;
      expect(await placeFrom(otherFront, 'second')).toMatchObject({
        kind: 'refused',
        returned: 'early',
        retryAfterMilliseconds:
          (refusal as {retryAfterMilliseconds: number}).retryAfterMilliseconds -
          50,
      });
    });

    it('is a new request while the dispatcher is cut off, and gets no place', async () => {
      const refusal = await placeFrom(front, 'first');
      cutOff.add(rendezvousWinner('dispatcher/engines', HOSTS) ?? '');
      clock.now += (
        refusal as {retryAfterMilliseconds: number}
      ).retryAfterMilliseconds;
      const results: unknown[] = [await placeFrom(otherFront, 'second')];
      for (let index = 20; index < 80; index += 1) {
        const request = {...demand(`a-${index}`, 'part-1'), priority: 2};
        results.push(
          await hosts.get(otherFront)?.place('engines', request, new Set(), {
            ...terms,
            fingerprint: `f-${index}`,
          }),
        );
      }
      expect(results[0]).toMatchObject({kind: 'placed', returned: undefined});
      const refused = results.filter(
        result => (result as {kind: string}).kind === 'refused',
      );
      expect(refused.length).toBeGreaterThan(results.length / 2);
      expect(refused).not.toContainEqual(
        expect.objectContaining({isPlace: true}),
      );
    });

    it('is a new request for another dispatcher', async () => {
      const refusal = await placeFrom(front, 'first');
      const dispatcher = rendezvousWinner('dispatcher/engines', HOSTS) ?? '';
      hosts.set(dispatcher, startHost(dispatcher, 4));
      clock.now += (
        refusal as {retryAfterMilliseconds: number}
      ).retryAfterMilliseconds;
      expect(await placeFrom(otherFront, 'second')).toMatchObject({
        kind: 'placed',
        returned: undefined,
      });
    });
  });
});
