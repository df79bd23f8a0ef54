/** Tests of the speeds of upstreams that are learned from results. */
import {describe, expect, it} from 'vitest';

import {PROMPT_WORK, UpstreamWork, WorkSpeeds} from '../src/index.js';

/** Milliseconds for a token of an engine with a factor of 1. */
const MILLISECONDS_PER_TOKEN = 1 / 61;

/** Milliseconds to an engine and back. */
const OVERHEAD_MILLISECONDS = 15;

/** Records `count` prompts of an idle engine, one every 700 ms. */
function readPrompts(
  speeds: WorkSpeeds,
  upstreamId: string,
  factor: number,
  count: number,
  tokens = 6000,
  slowdownAt: (index: number) => number = () => 1,
): number {
  let now = 0;
  for (let index = 0; index < count; index += 1) {
    now += 700;
    const work = (tokens * MILLISECONDS_PER_TOKEN * slowdownAt(index)) / factor;
    const milliseconds = work + OVERHEAD_MILLISECONDS;
    speeds.record(
      upstreamId,
      {units: tokens, milliseconds, isFromIdle: true},
      now,
    );
  }
  return now;
}

function factorOf(speeds: WorkSpeeds, id: string, now: number): number {
  return MILLISECONDS_PER_TOKEN / speeds.speedOf(id, now).lastingMilliseconds;
}

describe('the lasting speed', () => {
  it.each([
    {name: 'a slow engine', factor: 0.55, tokens: 6000},
    {name: 'a fast engine', factor: 1.2, tokens: 6000},
    {name: 'a slow engine with small prompts', factor: 0.55, tokens: 1200},
    {name: 'a slow engine with large prompts', factor: 0.55, tokens: 30_000},
  ])('of $name is known after six prompts', ({factor, tokens}) => {
    const speeds = new WorkSpeeds(PROMPT_WORK);
    const now = readPrompts(speeds, 'i-1', factor, 6, tokens);
    expect(factorOf(speeds, 'i-1', now) / factor).toBeGreaterThan(0.8);
    expect(factorOf(speeds, 'i-1', now) / factor).toBeLessThan(1.2);
  });

  it('of an unknown engine is that of the others', () => {
    const speeds = new WorkSpeeds(PROMPT_WORK);
    for (const id of ['i-1', 'i-2', 'i-3']) {
      readPrompts(speeds, id, 1.2, 8);
    }
    expect(factorOf(speeds, 'i-9', 0)).toBeCloseTo(1.2, 1);
    expect(speeds.speedOf('i-9', 0).uncertainty).toBeLessThan(
      new WorkSpeeds(PROMPT_WORK).speedOf('i-9', 0).uncertainty,
    );
  });

  it('hardly changes in a time of slowness that passes', () => {
    const speeds = new WorkSpeeds(PROMPT_WORK);
    const now = readPrompts(speeds, 'i-1', 1, 12);
    for (let index = 1; index <= 5; index += 1) {
      const milliseconds = 2.5 * 6000 * MILLISECONDS_PER_TOKEN;
      speeds.record(
        'i-1',
        {units: 6000, milliseconds, isFromIdle: false},
        now + index * 30,
      );
    }
    expect(factorOf(speeds, 'i-1', now + 150)).toBeGreaterThan(0.75);
    const {millisecondsNow, lastingMilliseconds} = speeds.speedOf(
      'i-1',
      now + 150,
    );
    expect(millisecondsNow / lastingMilliseconds).toBeGreaterThan(1.5);
    const later = speeds.speedOf('i-1', now + 2500);
    expect(later.millisecondsNow / later.lastingMilliseconds).toBeLessThan(1.1);
  });

  it('contains the mean of noise', () => {
    const speeds = new WorkSpeeds(PROMPT_WORK);
    const slowdownAt = (index: number): number => (index % 7 === 3 ? 2.5 : 1);
    const now = readPrompts(speeds, 'i-1', 1, 42, 6000, slowdownAt);
    expect(factorOf(speeds, 'i-1', now)).toBeGreaterThan(0.65);
    expect(factorOf(speeds, 'i-1', now)).toBeLessThan(0.95);
  });

  it('of an engine without samples approaches that of the others', () => {
    const speeds = new WorkSpeeds(PROMPT_WORK);
    readPrompts(speeds, 'i-1', 1.2, 20);
    const now = readPrompts(speeds, 'i-2', 0.4, 20);
    expect(factorOf(speeds, 'i-2', now + 60_000)).toBeGreaterThan(
      factorOf(speeds, 'i-2', now) * 1.4,
    );
  });

  it('is dropped with the process of the engine', () => {
    const speeds = new WorkSpeeds(PROMPT_WORK);
    readPrompts(speeds, 'i-1', 0.55, 20);
    speeds.forget('i-1');
    expect(speeds.statementOf('i-1')).toBeUndefined();
  });
});

describe('a speed that another host states', () => {
  it.each([
    {name: 'more certain', uncertainty: 0.01, isTaken: true},
    {name: 'less certain', uncertainty: 0.9, isTaken: false},
  ])('counts if it is $name', ({uncertainty, isTaken}) => {
    const speeds = new WorkSpeeds(PROMPT_WORK);
    const now = readPrompts(speeds, 'i-1', 1, 6);
    const statement = {lastingMilliseconds: 0.5, uncertainty};
    speeds.merge('i-1', statement, now);
    const {lastingMilliseconds} = speeds.speedOf('i-1', now);
    expect(lastingMilliseconds > 0.4).toBe(isTaken);
  });
});

describe('the work measured at an engine', () => {
  /** Prompts at the times at which they are placed and have a first token. */
  const cases = [
    {
      name: 'does not contain the wait behind other prompts',
      prompts: [
        {tokens: 6000, placedAt: 0, begunAt: 100},
        {tokens: 6000, placedAt: 1, begunAt: 200},
        {tokens: 6000, placedAt: 2, begunAt: 300},
      ],
      unitsPerMillisecond: 60,
    },
    {
      name: 'does not contain the time in which nothing waited',
      prompts: [
        {tokens: 6000, placedAt: 0, begunAt: 100},
        {tokens: 6000, placedAt: 900, begunAt: 1000},
      ],
      unitsPerMillisecond: 60,
    },
    {
      name: 'contains the part that was read before an urgent one',
      prompts: [
        {tokens: 6000, placedAt: 0, begunAt: 200},
        {tokens: 6000, placedAt: 50, begunAt: 150},
      ],
      unitsPerMillisecond: 60,
    },
  ];

  it.each(cases)('$name', ({prompts, unitsPerMillisecond}) => {
    const work = new UpstreamWork();
    let units = 0;
    let milliseconds = 0;
    const steps = prompts.flatMap((prompt, index) => [
      {time: prompt.placedAt, prompt, key: `${index}`, isPlacement: true},
      {time: prompt.begunAt, prompt, key: `${index}`, isPlacement: false},
    ]);
    steps.sort((left, right) => left.time - right.time);
    for (const {key, prompt, time, isPlacement} of steps) {
      if (isPlacement) {
        work.add(key, {...prompt, priority: 1});
        continue;
      }
      const sample = work.begin(key, time);
      units += sample?.units ?? 0;
      milliseconds += sample?.milliseconds ?? 0;
    }
    expect(units).toBeGreaterThan(0);
    expect(units / milliseconds).toBeCloseTo(unitsPerMillisecond, 0);
  });

  it('is not known after a request ended before its first token', () => {
    const work = new UpstreamWork();
    work.add('a', {tokens: 6000, priority: 1, placedAt: 0});
    work.add('b', {tokens: 6000, priority: 1, placedAt: 0});
    work.end('a', 100);
    expect(work.begin('b', 150)).toBeUndefined();
  });
});
