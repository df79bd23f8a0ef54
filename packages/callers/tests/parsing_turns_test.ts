/** Tests of how the parsing of many connections shares the event loop. */
import {expect, it} from 'vitest';

import {ParsingTurns} from '../src/index.js';

const CONNECTIONS = 500;

it.each([
  {name: 'that wait', workOfTurn: 256, mostInIteration: 1024 + 256},
  {name: 'with little work', workOfTurn: 1, mostInIteration: 1024},
])('connections $name leave room in each iteration', async test => {
  const turns = new ParsingTurns();
  const worked: number[] = [];
  let iteration = 0;
  for (let count = 0; count < CONNECTIONS; count += 1) {
    turns.add(() => {
      worked[iteration] = (worked[iteration] ?? 0) + test.workOfTurn;
      turns.record(test.workOfTurn);
    });
  }
  const total = CONNECTIONS * test.workOfTurn;
  const sum = (): number => worked.reduce((left, right) => left + right, 0);
  while (sum() < total) {
    await new Promise(resolve => setImmediate(resolve));
    iteration += 1;
  }
  expect(sum()).toBe(total);
  expect(Math.max(...worked)).toBeLessThanOrEqual(test.mostInIteration);
});

it('connections that arrive together wait once an iteration is spent', async () => {
  const turns = new ParsingTurns();
  turns.record(2047);
  expect(turns.isSpent).toBe(false);
  turns.record(1);
  expect(turns.isSpent).toBe(true);
  await new Promise(resolve => setImmediate(resolve));
  expect(turns.isSpent).toBe(false);
});

it('a turn that was removed is not taken', async () => {
  const turns = new ParsingTurns();
  let taken = 0;
  const turn = (): void => {
    taken += 1;
  };
  turns.add(turn);
  turns.remove(turn);
  await new Promise(resolve => setImmediate(resolve));
  expect(taken).toBe(0);
});
