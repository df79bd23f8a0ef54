/** Tests of the dispatcher's fairness among workspaces. */
import {describe, expect, it} from 'vitest';

import {Dispatcher, type PermitRequest, type Upstream} from '../src/index.js';

const SLOTS = 40;

const UPSTREAM: Upstream = {
  id: 'a',
  service: 's',
  address: 'a:1',
  failureDomain: 'east',
  hostClass: 'reclaimable',
  pricePerHour: 1,
  isLeaving: false,
};

function permitRequest(permitId: string, workspace: string): PermitRequest {
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

function countGrants(
  dispatcher: Dispatcher,
  workspace: string,
  count: number,
): number {
  const effects = Array.from({length: count}, (_, index) =>
    dispatcher.handle(
      {
        kind: 'request',
        request: permitRequest(`${workspace}-${index}`, workspace),
      },
      0,
    ),
  ).flat();
  return effects.filter(({kind}) => kind === 'grant').length;
}

describe('the slots of a shard', () => {
  it.each([
    {
      name: 'are all granted to a workspace without competition',
      quiet: 0,
      flood: 60,
      grantedToFlood: 40,
    },
    {
      name: 'are not all granted to a workspace that floods the shard',
      quiet: 1,
      flood: 60,
      grantedToFlood: 37,
    },
  ])('$name', ({quiet, flood, grantedToFlood}) => {
    const dispatcher = new Dispatcher();
    dispatcher.handle(
      {kind: 'upstreams', upstreams: [UPSTREAM], concurrency: SLOTS},
      0,
    );
    expect(countGrants(dispatcher, 'quiet', quiet)).toBe(quiet);
    expect(countGrants(dispatcher, 'flood', flood)).toBe(grantedToFlood);
    const lateEffects = dispatcher.handle(
      {kind: 'request', request: permitRequest('late', 'late')},
      1,
    );
    expect(lateEffects.length).toBe(quiet);
  });
});
