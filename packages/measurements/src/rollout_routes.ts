/** The routes of the requests in the model of a roll-out. */

/** Requests of one route. */
export interface RolloutRoute {
  readonly name: 'large' | 'middle' | 'small';
  /** Part of the traffic. */
  readonly part: number;
  /** Tokens to read. */
  readonly tokens: number;
  readonly events: number;
}

const FIRST: RolloutRoute = {
  name: 'large',
  part: 0.36,
  tokens: 3700,
  events: 30,
};

const ROUTES: readonly RolloutRoute[] = [
  FIRST,
  {name: 'middle', part: 0.24, tokens: 2900, events: 13},
  {name: 'small', part: 0.4, tokens: 1100, events: 40},
];

/** Draws the route of a request. */
export function drawRoute(random: () => number): RolloutRoute {
  let left = random();
  for (const route of ROUTES) {
    left -= route.part;
    if (left < 0) {
      return route;
    }
  }
  return FIRST;
}
