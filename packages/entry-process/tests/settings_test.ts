/** Tests of the settings of an entry process. */
import {readFileSync} from 'node:fs';

import {describe, expect, it} from 'vitest';

import {
  flagOf,
  readSettings,
  SETTING_NAMES,
  SETTINGS,
  variableOf,
} from '../src/index.js';

const REQUIRED = {
  hostId: 'entry-1',
  failureDomain: 'east',
  logUrl: 'http://127.0.0.1:1',
  hostListUrl: 'http://127.0.0.1:1',
  cloudUrl: 'http://127.0.0.1:1',
};

describe('valid settings', () => {
  it.each([
    {
      name: 'defaults',
      flags: {},
      environment: {},
      expected: {callerPort: 8080},
    },
    {
      name: 'a variable',
      flags: {},
      environment: {LACEWINGWINCH_CALLER_PORT: '81'},
      expected: {callerPort: 81},
    },
    {
      name: 'a flag rather than its variable',
      flags: {callerPort: 82},
      environment: {LACEWINGWINCH_CALLER_PORT: '81'},
      expected: {callerPort: 82},
    },
    {
      name: 'the last value of a repeated flag',
      flags: {lingerSeconds: [1, 3]},
      environment: {},
      expected: {lingerSeconds: 3},
    },
    {
      name: 'a list of peers',
      flags: {peers: '127.0.0.1:1,[::1]:2'},
      environment: {},
      expected: {peers: ['127.0.0.1:1', '[::1]:2']},
    },
  ])('use $name', ({flags, environment, expected}) => {
    const result = readSettings({...REQUIRED, ...flags}, environment);
    expect(result).toMatchObject({kind: 'valid', settings: expected});
  });
});

describe('invalid settings', () => {
  it('name every fault at once, with flag and variable', () => {
    const result = readSettings({callerPort: 'x', peers: 'nowhere'}, {});
    expect(result.kind).toBe('faulty');
    const faults = result.kind === 'faulty' ? result.faults : [];
    const faulty = [
      'hostId',
      'failureDomain',
      'callerPort',
      'logUrl',
      'hostListUrl',
      'cloudUrl',
      'peers',
    ] as const;
    for (const name of faulty) {
      const prefix = `${flagOf(name)} (${variableOf(name)}): `;
      expect(faults.some(fault => fault.startsWith(prefix))).toBe(true);
    }
  });

  it.each(SETTING_NAMES)('have a variable for %s', name => {
    expect(variableOf(name)).toMatch(/^LACEWINGWINCH_[A-Z_]+$/);
  });
});

describe('the settings page', () => {
  it('lists every setting as the code describes it', () => {
    const page = readFileSync(
      new URL('../../../docs/SETTINGS.md', import.meta.url),
      'utf8',
    );
    const rows = page.split('\n').filter(line => line.startsWith('| `'));
    const expected = SETTING_NAMES.map(name => {
      const {flag, help} = SETTINGS[name];
      return `| \`${flag}\` | \`${variableOf(name)}\` | ${help} |`;
    });
    expect(rows).toEqual(expected);
  });
});
