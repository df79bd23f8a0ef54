/**
 * Measures how closely hosts keep to the limits that upstreams name, and what is
 * served, while the host that grants is killed, frozen or cut off.
 */
import {figureOf, renderFigure} from './figures.js';
import {
  type GranterTrouble,
  type LimitPolicy,
  NamedLimitsModel,
} from './named_limits_model.js';
import {SEEDS} from './random_numbers.js';

const POLICIES: readonly LimitPolicy[] = ['none', 'equal-shares', 'grants'];
const TROUBLES: readonly GranterTrouble[] = ['none', 'killed', 'frozen', 'cut'];
const LIMITS: readonly number[] = [0.5, 1, 5, 50];
const LIMITED_SHARES: readonly number[] = [0.5, 1];
const FLEETS = [
  {hosts: 7, upstreams: 8},
  {hosts: 77, upstreams: 32},
  {hosts: 195, upstreams: 32},
] as const;

/** Compares the policies for each fleet, limit and trouble. */
export function measureLimits(): Promise<unknown> {
  const rows = FLEETS.flatMap(fleet =>
    LIMITED_SHARES.flatMap(limitedShare =>
      LIMITS.flatMap(limit =>
        TROUBLES.flatMap(trouble =>
          POLICIES.map(policy => {
            const run = {...fleet, limitedShare, limit, trouble, policy};
            const results = SEEDS.map(seed =>
              new NamedLimitsModel({...run, seed}).result(),
            );
            const most = figureOf(
              results.map(({mostOfAllowed}) => mostOfAllowed),
            );
            const served = figureOf(
              results.map(({servedShare}) => servedShare),
            );
            process.stdout.write(
              `${fleet.hosts} hosts, limit ${limit}, ${limitedShare * 100}% limited, ${trouble}, ${policy}: ` +
                `most of allowed ${renderFigure(most, 2)}, served ${renderFigure(served, 2)}\n`,
            );
            return {...run, most, served};
          }),
        ),
      ),
    ),
  );
  return Promise.resolve(rows);
}
