/** Tests of the clocks. */
import {describe, expect, it} from 'vitest';

import {type ClockReading, SuspensionClock, TrueTime} from '../src/index.js';

describe('the suspension clock', () => {
  it.each<{
    readonly name: string;
    readonly readings: readonly ClockReading[];
    readonly total: number;
  }>([
    {
      name: 'advances like the steady clock',
      readings: [
        {steady: 100, timeOfDay: 100},
        {steady: 900, timeOfDay: 901},
      ],
      total: 900,
    },
    {
      name: 'includes the time for which the host was suspended',
      readings: [{steady: 100, timeOfDay: 5100}],
      total: 5100,
    },
    {
      name: 'overstates ages when the time of day jumps forward',
      readings: [{steady: 10, timeOfDay: 2410}],
      total: 2410,
    },
    {
      name: 'does not go back when the time of day does',
      readings: [
        {steady: 500, timeOfDay: 500},
        {steady: 600, timeOfDay: -1800},
      ],
      total: 600,
    },
    {
      name: 'continues after a jump backward and forward',
      readings: [
        {steady: 100, timeOfDay: -2300},
        {steady: 200, timeOfDay: 200},
      ],
      total: 2600,
    },
  ])('$name', ({readings, total}) => {
    const clock = new SuspensionClock({steady: 0, timeOfDay: 0});
    const totals = readings.map(reading => clock.advance(reading));
    expect(totals.at(-1)).toBe(total);
    expect([...totals].sort((left, right) => left - right)).toEqual(totals);
  });
});

describe('true time', () => {
  it.each([
    {
      name: 'equals the own time of day without other hosts',
      others: [],
      own: 5000,
      time: 5000,
    },
    {
      name: 'is not affected by a host whose time jumped',
      others: [5001, 4999, 7400],
      own: 5000,
      time: 5000,
    },
    {
      name: 'equals the time of the others when the own time jumped',
      others: [5001, 5000, 4999],
      own: 7400,
      time: 5000,
    },
  ])('$name', ({others, own, time}) => {
    const trueTime = new TrueTime();
    others.forEach((timeOfDay, index) =>
      trueTime.recordSample(`host-${index}`, timeOfDay, 100),
    );
    expect(Math.abs(trueTime.now(own, 100) - time)).toBeLessThanOrEqual(1);
  });

  it('ignores old samples', () => {
    const trueTime = new TrueTime();
    trueTime.recordSample('host', 9000, 0);
    expect(trueTime.now(20_000, 20_000)).toBe(20_000);
  });
});
