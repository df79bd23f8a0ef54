/**
 * Tests of the bound on the memory of all answers that a process collects: many
 * answers without end made a process exceed its memory and end.
 */
import {expect, it} from 'vitest';

import {AnswerMemory} from '../src/index.js';

const PROCESS_BYTES = 1000;

interface Growth {
  readonly name: string;
  /** Sizes of the answers, in the order in which they grow. */
  readonly answers: readonly {
    readonly id: string;
    readonly bytes: number;
    readonly hasLength: boolean;
  }[];
  readonly givenUp: readonly string[];
}

it.each<Growth>([
  {
    name: 'none within the bound',
    answers: [
      {id: 'a', bytes: 60, hasLength: false},
      {id: 'b', bytes: 40, hasLength: true},
    ],
    givenUp: [],
  },
  {
    name: 'the largest one beyond it',
    answers: [
      {id: 'a', bytes: 60, hasLength: false},
      {id: 'b', bytes: 30, hasLength: false},
      {id: 'c', bytes: 20, hasLength: false},
    ],
    givenUp: ['a'],
  },
  {
    name: 'one without a length before a larger one',
    answers: [
      {id: 'a', bytes: 90, hasLength: true},
      {id: 'b', bytes: 20, hasLength: false},
    ],
    givenUp: ['b'],
  },
  {
    name: 'as many as it takes',
    answers: [
      {id: 'a', bytes: 30, hasLength: false},
      {id: 'b', bytes: 40, hasLength: false},
      {id: 'c', bytes: 95, hasLength: true},
    ],
    givenUp: ['b', 'a'],
  },
  {
    name: 'the one that grows, if it is the only one',
    answers: [
      {id: 'a', bytes: 90, hasLength: false},
      {id: 'a', bytes: 110, hasLength: false},
    ],
    givenUp: ['a'],
  },
])('gives up $name', ({answers, givenUp}) => {
  const memory = new AnswerMemory(PROCESS_BYTES);
  const ended: string[] = [];
  const byId = new Map(
    answers.map(({id, hasLength}) => [
      id,
      {hasLength, giveUp: () => ended.push(id)},
    ]),
  );
  for (const {id, bytes} of answers) {
    const answer = byId.get(id);
    if (answer !== undefined) {
      memory.update(answer, bytes);
    }
  }
  expect(ended).toEqual(givenUp);
});

it('does not count answers that have ended, and has no bound without a limit', () => {
  const memory = new AnswerMemory(PROCESS_BYTES);
  const unlimited = new AnswerMemory(0);
  const ended: string[] = [];
  for (let count = 0; count < 10; count += 1) {
    const answer = {hasLength: false, giveUp: () => ended.push(`${count}`)};
    memory.update(answer, 90);
    memory.remove(answer);
    unlimited.update(answer, 1_000_000_000);
  }
  expect(ended).toEqual([]);
});
