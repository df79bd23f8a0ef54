/** Tests of fairness among workspaces at the dispatcher. */
import {describe, expect, it} from 'vitest';

import {Dispatcher, type PermitAsk, type Upstream} from '../src/index.js';

const PLACES = 40;

const UPSTREAM: Upstream = {
  id: 'a',
  service: 's',
  address: 'a:1',
  failureDomain: 'east',
  hostClass: 'reclaimable',
  pricePerHour: 1,
  isLeaving: false,
};

function ask(permitId: string, workspace: string): PermitAsk {
  return {
    permitId,
    front: 'front',
    service: 's',
    workspace,
    priority: 5,
    deadline: 100_000,
    maximumWait: 1000,
    prefixes: [],
    hostClasses: ['reclaimable'],
    failureDomains: [],
    excluded: [],
    isAlone: false,
  };
}

function granted(
  dispatcher: Dispatcher,
  workspace: string,
  count: number,
): number {
  const effects = Array.from({length: count}, (_, index) =>
    dispatcher.handle(
      {kind: 'ask', ask: ask(`${workspace}-${index}`, workspace)},
      0,
    ),
  ).flat();
  return effects.filter(({kind}) => kind === 'grant').length;
}

describe('the places of a shard', () => {
  it.each([
    {name: 'go to one workspace alone', quiet: 0, flood: 60, flooded: 40},
    {name: 'are not all left to a flood', quiet: 1, flood: 60, flooded: 37},
  ])('$name', ({quiet, flood, flooded}) => {
    const dispatcher = new Dispatcher();
    dispatcher.handle(
      {kind: 'upstreams', upstreams: [UPSTREAM], concurrency: PLACES},
      0,
    );
    expect(granted(dispatcher, 'quiet', quiet)).toBe(quiet);
    expect(granted(dispatcher, 'flood', flood)).toBe(flooded);
    const late = dispatcher.handle({kind: 'ask', ask: ask('late', 'late')}, 1);
    expect(late.length).toBe(quiet);
  });
});
