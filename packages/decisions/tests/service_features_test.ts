import {describe, expect, it} from 'vitest';

import {featuresOf, type RoutedService} from '../src/index.js';

const ENGINE = {slots: 64, cacheTokens: 500_000, canMoveRuns: true};

interface Case {
  readonly name: string;
  readonly maximumInDomain: number | undefined;
  readonly domainCount: number;
  readonly isModelService: boolean;
  readonly isOn: boolean;
}

const CASES: readonly Case[] = [
  {
    name: 'a service that one dispatcher places',
    maximumInDomain: 10,
    domainCount: 4,
    isModelService: true,
    isOn: false,
  },
  {
    name: 'a service that several dispatchers place',
    maximumInDomain: 30,
    domainCount: 4,
    isModelService: true,
    isOn: true,
  },
  {
    name: 'a service whose size is fixed',
    maximumInDomain: undefined,
    domainCount: 4,
    isModelService: true,
    isOn: false,
  },
  {
    name: 'a large plain service',
    maximumInDomain: 30,
    domainCount: 4,
    isModelService: false,
    isOn: false,
  },
];

describe('featuresOf', () => {
  it.each(CASES)('$name', ({maximumInDomain, domainCount, ...expected}) => {
    const service: RoutedService = {
      name: 'writer',
      connectionLimit: 100,
      engine: expected.isModelService ? ENGINE : undefined,
      scaling:
        maximumInDomain === undefined
          ? undefined
          : {
              minimumInDomain: 1,
              maximumInDomain,
              bootSeconds: 4,
              reclaimablePrice: 0.2,
              domainPrices: new Map(),
            },
    };
    expect(featuresOf(service, domainCount)).toEqual({
      hasRankedAdmission: expected.isOn,
      hasSpreadPlacement: expected.isOn,
      hasLoadDrivenOrders: expected.isOn,
    });
  });
});
