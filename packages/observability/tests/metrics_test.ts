/** Tests of the metrics. */
import {readFileSync} from 'node:fs';

import {expect, it} from 'vitest';

import {createMetrics} from '../src/index.js';

it('the metrics match docs/METRICS.md', () => {
  const page = readFileSync(
    new URL('../../../docs/METRICS.md', import.meta.url),
    'utf8',
  );
  const rows = page.split('\n').filter(line => line.startsWith('| `'));
  const own = createMetrics()
    .registry.getMetricsAsArray()
    .filter(({name}) => name.startsWith('lacewingwinch_'));
  expect(rows).toEqual(own.map(({name, help}) => `| \`${name}\` | ${help} |`));
});
