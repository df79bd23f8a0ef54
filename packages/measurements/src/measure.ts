/**
 * `npm run --silent measure -- <name>`: runs one measurement and prints its
 * figures as text, and all of them as JSON in the last line.
 */
import {settingsOrExit} from '@lacewingwinch/stand-ins';

import {measureCrashingParts} from './measure_crashing_parts.js';
import {measureDispatch} from './measure_dispatch.js';
import {measureLimits} from './measure_limits.js';
import {measureMembership} from './measure_membership.js';
import {measureOrders} from './measure_orders.js';
import {measureOverload} from './measure_overload.js';
import {measurePath} from './measure_path.js';
import {measurePlacement} from './measure_placement.js';
import {measureReclaim} from './measure_reclaim.js';
import {measureRecovery} from './measure_recovery.js';
import {measureRollouts} from './measure_rollouts.js';
import {measureSlopes} from './measure_slopes.js';
import {measureStart} from './measure_start.js';
import {measureCommand, readMeasureArguments} from './measurement_arguments.js';

const MEASUREMENTS = {
  'crashing-parts': measureCrashingParts,
  dispatch: measureDispatch,
  limits: measureLimits,
  membership: measureMembership,
  orders: measureOrders,
  overload: measureOverload,
  path: measurePath,
  placement: measurePlacement,
  reclaim: measureReclaim,
  recovery: measureRecovery,
  rollouts: measureRollouts,
  slopes: measureSlopes,
  start: measureStart,
} as const satisfies Readonly<Record<string, () => Promise<unknown>>>;

const NAMES = Object.keys(MEASUREMENTS) as (keyof typeof MEASUREMENTS)[];

const name = settingsOrExit(
  measureCommand(NAMES),
  readMeasureArguments(NAMES, process.argv.slice(2)),
);
const figures: unknown = await MEASUREMENTS[name]();
process.stdout.write(`${JSON.stringify({measure: name, figures})}\n`);
process.exit(0);
