/** Tests of the error kinds and the responses to them. */
import {readFileSync} from 'node:fs';

import {describe, expect, it} from 'vitest';

import {ERROR_KINDS, errorRow, ServingError} from '../src/index.js';

const ERRORS_PAGE = readFileSync(
  new URL('../../../docs/ERRORS.md', import.meta.url),
  'utf8',
);

describe('the error table', () => {
  it('matches the table in the documentation', () => {
    const rows = ERRORS_PAGE.split('\n').filter(line => line.startsWith('| `'));
    const expected = ERROR_KINDS.map(kind => {
      const {status, title, ran, retry, retryAfterSeconds} = errorRow(kind);
      return `| \`${kind}\` | ${status} | ${title} | ${ran} | ${retry} | ${retryAfterSeconds ?? ''} |`;
    });
    expect(rows).toEqual(expected);
  });

  it.each(ERROR_KINDS)('creates a problem document for %s', kind => {
    const problem = new ServingError(kind).toProblem('request-1');
    expect(problem).toMatchObject({
      kind,
      status: errorRow(kind).status,
      ran: errorRow(kind).ran,
      requestId: 'request-1',
    });
  });

  it.each(ERROR_KINDS)(
    'has a retry time for %s exactly if a retry can succeed',
    kind => {
      const {retry, retryAfterSeconds} = errorRow(kind);
      const hasRetryTime =
        retryAfterSeconds !== undefined || kind === 'quarantined';
      expect(hasRetryTime).toBe(retry !== 'never');
    },
  );
});
