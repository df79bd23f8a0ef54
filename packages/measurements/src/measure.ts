/**
 * `npm run --silent measure -- <name>`: runs one measurement and prints its
 * figures as text, and all of them as JSON in the last line.
 */
import {measureCrashingParts} from './measure_crashing_parts.js';
import {measureDispatch} from './measure_dispatch.js';
import {measureLimits} from './measure_limits.js';
import {measureMembership} from './measure_membership.js';
import {measureOverload} from './measure_overload.js';
import {measurePath} from './measure_path.js';
import {measureReclaim} from './measure_reclaim.js';
import {measureRecovery} from './measure_recovery.js';
import {measureSlopes} from './measure_slopes.js';
import {measureStart} from './measure_start.js';

type Measurement = () => Promise<unknown>;

const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  'crashing-parts': measureCrashingParts,
  dispatch: measureDispatch,
  limits: measureLimits,
  membership: measureMembership,
  overload: measureOverload,
  path: measurePath,
  reclaim: measureReclaim,
  recovery: measureRecovery,
  slopes: measureSlopes,
  start: measureStart,
};

const name = process.argv[2] ?? '';
const measurement = MEASUREMENTS[name];
if (measurement === undefined) {
  const names = Object.keys(MEASUREMENTS).join(', ');
  process.stderr.write(`usage: measure <name>, one of ${names}\n`);
  process.exit(2);
}
const figures = await measurement();
process.stdout.write(`${JSON.stringify({measure: name, figures})}\n`);
process.exit(0);
