// Generates the reference pages in docs/ from the built packages: events, error
// kinds, settings and metrics.
import {writeFileSync} from 'node:fs';

import {ERROR_KINDS, errorRow} from '../packages/decisions/dist/index.js';
import {
  SETTING_NAMES,
  SETTINGS,
  variableOf,
} from '../packages/entry-process/dist/index.js';
import {
  createMetrics,
  EVENT_CATALOGUE,
} from '../packages/observability/dist/index.js';

const events = Object.entries(EVENT_CATALOGUE).map(
  ([number, {level, message, advice}]) =>
    `| ${number} | ${level} | ${message} | ${advice} |`,
);
writeFileSync(
  'docs/EVENTS.md',
  `# Log events

Each log line is a JSON object with the event number in \`event\`, the text in \`message\`, and each field of the text as a
property of its own. Event numbers are never reused. \`npm run catalogues\` writes this page.

| event | level | message | what to do |
| --- | --- | --- | --- |
${events.join('\n')}
`,
);

const errors = ERROR_KINDS.map(kind => {
  const {status, title, ran, retry, retryAfterSeconds} = errorRow(kind);
  return `| \`${kind}\` | ${status} | ${title} | ${ran} | ${retry} | ${retryAfterSeconds ?? ''} |`;
});
writeFileSync(
  'docs/ERRORS.md',
  `# Errors

Every refusal is an \`application/problem+json\` document with \`kind\`, \`title\`, \`detail\`, \`requestId\` and \`ran\`.
\`npm run catalogues\` writes this page.

\`ran\` says whether any byte of any attempt of this submission could have reached an upstream: \`no\` means that it was
not run and never will be, \`yes\` that it ran, \`unknown\` that it may have run. It refers to the submission that is
answered. If the same idempotency key was sent before and the answer was lost, send the request again with the key: the
first submission is found by it, wherever it was accepted.

The column \`ran\` is the default; an answer whose attempts reached an upstream says \`unknown\` instead of \`no\`, and
its status is 502 where that of its kind would promise the opposite (408, 421, 429 or 503).
\`Retry-After\` is sent where a retry can help; its default is in the last column.

| kind | status | title | ran | retry | seconds |
| --- | --- | --- | --- | --- | --- |
${errors.join('\n')}
`,
);

const settings = SETTING_NAMES.map(name => {
  const {flag, help} = SETTINGS[name];
  return `| \`${flag}\` | \`${variableOf(name)}\` | ${help} |`;
});
writeFileSync(
  'docs/SETTINGS.md',
  `# Settings of an entry host

A flag takes precedence over its environment variable. \`npm run catalogues\` writes this page.

| flag | variable | what it sets |
| --- | --- | --- |
${settings.join('\n')}
`,
);

const metrics = createMetrics()
  .registry.getMetricsAsArray()
  .filter(({name}) => name.startsWith('lacewingwinch_'))
  .map(({name, help}) => `| \`${name}\` | ${help} |`);
writeFileSync(
  'docs/METRICS.md',
  `# Metrics

\`GET /metrics\` serves these metrics to Prometheus: at the operator port, and on the platform at the port that
\`--metrics-port\` sets. \`npm run catalogues\` writes this page.

| metric | what it counts |
| --- | --- |
${metrics.join('\n')}
`,
);
process.exit(0);
