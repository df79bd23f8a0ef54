/** Tests of the list of tests that are known to fail. */
import {describe, expect, it} from 'vitest';

import {listedTests, parseKnownRedList} from '../src/index.js';

const FIELDS = `  command: npx vitest run a_test.ts
  seed: none
  seen: 2 of 5 runs
    failed beside load
  issue: 34`;

describe('valid lists', () => {
  it.each<{
    readonly name: string;
    readonly text: string;
    readonly tests: readonly string[];
  }>([
    {name: 'an empty file', text: '', tests: []},
    {name: 'only a comment', text: '# Known failures.\n', tests: []},
    {
      name: 'one test',
      text: `test: a_test.ts > group > name\n${FIELDS}\n`,
      tests: ['a_test.ts > group > name'],
    },
    {
      name: 'two tests of one entry, a day and a seed',
      text: `# Comment.\n\ntest: a_test.ts > one\ntest: a_test.ts > two\n${FIELDS}\n\nday: site scale-1\nsoak: seed 4\n${FIELDS}\n`,
      tests: ['a_test.ts > one', 'a_test.ts > two'],
    },
  ])('$name', ({text, tests}) => {
    const list = parseKnownRedList(text);
    expect(list.kind === 'valid' && listedTests(list.entries)).toEqual(tests);
  });

  it('keep the fields of an entry', () => {
    expect(parseKnownRedList(`day: site scale-1\n${FIELDS}`)).toEqual({
      kind: 'valid',
      entries: [
        {
          subjects: [{kind: 'day', name: 'site scale-1'}],
          command: 'npx vitest run a_test.ts',
          seed: 'none',
          seen: '2 of 5 runs failed beside load',
          issue: 34,
        },
      ],
    });
  });
});

describe('invalid lists', () => {
  it.each<{
    readonly name: string;
    readonly text: string;
    readonly fault: RegExp;
  }>([
    {
      name: 'an entry without a subject',
      text: FIELDS,
      fault: /names nothing that fails/,
    },
    {
      name: 'a test without its file',
      text: `test: group > name\n${FIELDS}`,
      fault: /not the full name of a test: group > name/,
    },
    {
      name: 'a missing field',
      text: `test: a_test.ts > name\n${FIELDS.replace(/ {2}seed.*\n/, '')}`,
      fault: /no seed/,
    },
    {
      name: 'an issue that is no number',
      text: `test: a_test.ts > name\n${FIELDS.replace('34', 'soon')}`,
      fault: /not the number of an issue: soon/,
    },
    {
      name: 'an unknown field',
      text: `test: a_test.ts > name\n${FIELDS}\n  owner: me`,
      fault: /not a line of an entry: {3}owner: me/,
    },
    {
      name: 'a field twice',
      text: `test: a_test.ts > name\n${FIELDS}\n  seed: 4`,
      fault: /not a line of an entry: {3}seed: 4/,
    },
    {
      name: 'free text',
      text: 'Some tests are slow.',
      fault: /not a line of an entry: Some tests/,
    },
    {
      name: 'a test that is listed twice',
      text: `test: a_test.ts > name\n${FIELDS}\n\ntest: a_test.ts > name\n${FIELDS}`,
      fault: /listed twice: a_test.ts > name/,
    },
  ])('$name', ({text, fault}) => {
    const list = parseKnownRedList(text);
    expect(list.kind === 'faulty' && list.faults.join('\n')).toMatch(fault);
  });
});
