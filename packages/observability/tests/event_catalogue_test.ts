/** Tests of the event catalogue. */
import {readFileSync} from 'node:fs';

import {describe, expect, it} from 'vitest';

import {EVENT_CATALOGUE, renderEvent} from '../src/index.js';

const PAGE = readFileSync(
  new URL('../../../docs/EVENTS.md', import.meta.url),
  'utf8',
);

describe('the event catalogue', () => {
  it('matches docs/EVENTS.md', () => {
    const rows = PAGE.split('\n').filter(line => /^\| \d/.test(line));
    const expected = Object.entries(EVENT_CATALOGUE).map(
      ([number, {level, message, advice}]) =>
        `| ${number} | ${level} | ${message} | ${advice} |`,
    );
    expect(rows).toEqual(expected);
  });

  it('fills in the fields of a message', () => {
    expect(renderEvent(3001, {hostId: 'entry-1', status: 'gone'})).toBe(
      'entry host entry-1 is gone',
    );
  });
});
