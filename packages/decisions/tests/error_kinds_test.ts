/** Tests of the table from error kind to answer. */
import {readFileSync} from 'node:fs';

import {describe, expect, it} from 'vitest';

import {ERROR_KINDS, errorRow, ServingError} from '../src/index.js';

const PAGE = readFileSync(
  new URL('../../../docs/ERRORS.md', import.meta.url),
  'utf8',
);

describe('the error table', () => {
  it('is the same in the docs', () => {
    const rows = PAGE.split('\n').filter(line => line.startsWith('| `'));
    const expected = ERROR_KINDS.map(kind => {
      const {status, title, ran, retry, retryAfterSeconds} = errorRow(kind);
      return `| \`${kind}\` | ${status} | ${title} | ${ran} | ${retry} | ${retryAfterSeconds ?? ''} |`;
    });
    expect(rows).toEqual(expected);
  });

  it.each(ERROR_KINDS)('makes a problem document of %s', kind => {
    const problem = new ServingError(kind).toProblem('request-1');
    expect(problem).toMatchObject({
      kind,
      status: errorRow(kind).status,
      ran: errorRow(kind).ran,
      requestId: 'request-1',
    });
  });

  it.each(ERROR_KINDS)('tells when to come back from %s', kind => {
    const {retry, retryAfterSeconds} = errorRow(kind);
    const isTimed = retryAfterSeconds !== undefined || kind === 'quarantined';
    expect(isTimed).toBe(retry !== 'never');
  });
});
