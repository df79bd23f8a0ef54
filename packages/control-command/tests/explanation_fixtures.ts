/** Explanations of entry hosts, for the tests of `lacewingctl where`. */
import type {RequestExplanation} from '@lacewingwinch/decisions';

/** A request that would be sent to an upstream. */
export const EXPLANATION: RequestExplanation = {
  hostId: 'host-0',
  configurationVersion: 3,
  configurationAgeMilliseconds: 120,
  rules: [
    {name: 'long', pathPrefix: '/again/long/', isMatch: false},
    {name: 'again', pathPrefix: '/again/', isMatch: true},
  ],
  terms: {
    service: 'engines',
    workspace: 'tenant',
    rank: 1,
    budgetMilliseconds: 2000,
    objectiveMilliseconds: 200,
  },
  quota: {
    kind: 'held',
    unit: 'tokens',
    amount: 1000,
    otherHolders: ['host-1'],
    level: 4000,
    capacity: 6000,
    wait: 0,
  },
  version: {use: {kind: 'free'}, isAssigned: false},
  placement: {
    shards: [
      {
        shardId: 'engines',
        decidedBy: {kind: 'dispatcher'},
        considered: [
          {
            upstreamId: 'i-1',
            failureDomain: 'north',
            softwareVersion: 'v1',
            running: 2,
            loadAgeMilliseconds: 40,
            waitMilliseconds: 12,
            readMilliseconds: 25,
            tokensPerMillisecond: 40,
            cachedTokens: 800,
            estimateMilliseconds: 40,
            costMilliseconds: 44,
            share: 0.75,
          },
        ],
        excluded: [{upstreamId: 'i-2', reason: 'paused', milliseconds: 300}],
        result: {
          kind: 'placed',
          upstreamId: 'i-1',
          estimateMilliseconds: 40,
          errorMilliseconds: 8,
        },
      },
    ],
    result: {kind: 'placed', upstreamId: 'i-1', estimateMilliseconds: 40},
  },
  outcome: {kind: 'sent', upstreamId: 'i-1'},
};

/** A request that would be refused. */
export const REFUSED: RequestExplanation = {
  hostId: 'host-1',
  configurationVersion: 2,
  configurationAgeMilliseconds: 90,
  rules: [],
  outcome: {
    kind: 'refused',
    error: 'overloaded',
    status: 503,
    detail: 'the first event would take 900 ms',
    retryAfter: {leastSeconds: 0.35, mostSeconds: 1.05},
  },
};
