/**
 * The simulated engine in virtual time.
 */
import {describe, expect, test} from 'vitest';

import {EngineModel} from '../src/engine_model.js';
import type {EngineProfile} from '../src/engine_profile.js';
import type {EngineEvent, EngineRequest} from '../src/engine_request.js';

const PROFILE: EngineProfile = {
  slots: 4,
  queueCapacity: 2,
  stepMilliseconds: 4,
  stepMillisecondsPerStream: 0,
  prefillTokensPerMillisecond: 50,
  chunkTokens: 1000,
  memoryTokens: 30_000,
  speedFactor: 1,
  startupMilliseconds: 0,
  reportLagMilliseconds: 100,
};

function request(
  id: string,
  fields: Partial<EngineRequest> = {},
): EngineRequest {
  return {
    id,
    promptTokens: 5000,
    outputTokens: 10,
    parts: [
      {partId: 'shared', tokens: 4000},
      {partId: id, tokens: 1000},
    ],
    priority: 1,
    ...fields,
  };
}

function engine(fields: Partial<EngineProfile> = {}, now = 0): EngineModel {
  return new EngineModel({...PROFILE, ...fields}, () => 0, now);
}

function timesOf(
  events: readonly EngineEvent<EngineRequest>[],
): readonly string[] {
  return events.map(
    ({kind, request: {id}, time}) => `${id} ${kind} ${Math.round(time)}`,
  );
}

describe('an engine', () => {
  // Five chunks of 24 ms, and steps of 4 ms for the ten tokens.
  const single = ['a first-token 124', 'a ended 160'];

  test.each([
    {name: 'at its speed', profile: {}, expected: single},
    {
      name: 'at half its speed',
      profile: {speedFactor: 0.5},
      expected: ['a first-token 248', 'a ended 320'],
    },
    {
      name: 'slow by noise after the first period',
      profile: {noise: {share: 1, slowdown: 2, periodMilliseconds: 60}},
      expected: ['a first-token 248', 'a ended 320'],
    },
    {
      name: 'slow because it is nearly full',
      profile: {crowding: {fromShare: 0.25, slowdown: 2}},
      expected: ['a first-token 248', 'a ended 320'],
    },
  ])('reads a prompt and decodes $name', ({profile, expected}) => {
    const model = engine(profile);
    expect(model.submit(request('a'), 0)).toBe(true);
    expect(timesOf(model.advance(1000))).toEqual(expected);
    expect(model.nextEventTime()).toBe(Infinity);
  });

  test('reads the most urgent prompt first and shares chunks within a rank', () => {
    const model = engine();
    model.submit(request('a', {parts: []}), 0);
    model.submit(request('b', {parts: []}), 0);
    model.submit(request('urgent', {parts: [], priority: 0}), 0);
    const firstTokens = model
      .advance(5000)
      .filter(({kind}) => kind === 'first-token');
    expect(firstTokens.map(({request: {id}}) => id)).toEqual([
      'urgent',
      'a',
      'b',
    ]);
    const [urgent, a, b] = firstTokens.map(({time}) => time);
    expect(urgent).toBeLessThan(150);
    expect(a).toBeGreaterThan(360);
    expect(b).toBeCloseTo(a ?? 0, 3);
  });

  test('reads a cached part once, and again after others took its memory', () => {
    const model = engine();
    const readTokens = (id: string, fields: Partial<EngineRequest>): number => {
      const now = Math.max(0, lastTime);
      model.submit(request(id, fields), now);
      const events = model.advance(now + 5000);
      lastTime = now + 5000;
      return events[0]?.readTokens ?? -1;
    };
    let lastTime = 0;
    expect(readTokens('a', {})).toBe(5000);
    expect(readTokens('b', {})).toBe(1000);
    const large = {
      promptTokens: 28_000,
      parts: [{partId: 'large', tokens: 28_000}],
    };
    expect(readTokens('large', large)).toBe(28_000);
    expect(readTokens('c', {})).toBe(5000);
  });

  test('turns requests away until it has started, and beyond its queue', () => {
    const model = engine({startupMilliseconds: 50, memoryTokens: 300_000});
    expect(model.submit(request('early'), 0)).toBe(false);
    model.advance(50);
    const accepted = Array.from({length: 8}, (_, index) =>
      model.submit(request(`r${index}`), 50),
    );
    expect(accepted.filter(Boolean)).toHaveLength(6);
    expect([model.running, model.queued]).toEqual([4, 2]);
  });

  test('lets requests wait for memory, and starts them when it is free', () => {
    const model = engine({memoryTokens: 12_000});
    ['a', 'b', 'c'].forEach(id => model.submit(request(id, {parts: []}), 0));
    expect([model.running, model.queued]).toEqual([2, 1]);
    model.cancel('a', 0);
    expect([model.running, model.queued]).toEqual([2, 0]);
    expect(
      model.submit(request('huge', {promptTokens: 12_000, parts: []}), 0),
    ).toBe(false);
  });

  test('reports its load as it was a while ago', () => {
    const model = engine();
    model.submit(request('a'), 10);
    expect(model.reportAt(50).running).toBe(0);
    model.advance(115);
    expect(model.reportAt(115)).toMatchObject({running: 1, unreadTokens: 5000});
    model.advance(500);
    expect(model.reportAt(500)).toMatchObject({running: 0, usedTokens: 0});
  });

  test('continues a request of another engine with and without its memory', () => {
    for (const [hasImportedCache, first] of [
      [true, 4],
      [false, 125],
    ] as const) {
      const model = engine();
      model.submit(request('a'), 0, {producedTokens: 4, hasImportedCache});
      const [event] = model.advance(first);
      expect(event?.kind).toBe('first-token');
      expect(model.producedTokensOf('a')).toBe(5);
    }
  });
});
