/** Tests of trials of refused prompt parts that another host grants. */
import type {Member} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import {createEventLog} from '@lacewingwinch/observability';
import {describe, expect, it} from 'vitest';

import type {PartDecision} from '../src/tasks/part_decision.js';
import {PartTrials} from '../src/tasks/part_trials.js';
import {servingMember} from './host_fixtures.js';

const PART = {service: 'engines', partId: 'a1'};

function refusedFor(milliseconds: number): PartDecision {
  return {kind: 'refused', part: PART, milliseconds, isSeparating: true};
}

describe('a request with a refused part', () => {
  it.each<{
    readonly name: string;
    readonly decision: PartDecision;
    readonly granting: Member | undefined;
    /** What the granting host answers; undefined for a build without the method. */
    readonly isGranted: boolean | undefined;
    readonly calls: number;
    readonly kind: PartDecision['kind'];
  }>([
    {
      name: 'is tried if its host grants it',
      decision: refusedFor(0),
      granting: servingMember('host-2'),
      isGranted: true,
      calls: 1,
      kind: 'trial',
    },
    {
      name: 'is refused if its host has granted another one',
      decision: refusedFor(0),
      granting: servingMember('host-2'),
      isGranted: false,
      calls: 1,
      kind: 'refused',
    },
    {
      name: 'is refused beside a build that grants none',
      decision: refusedFor(0),
      granting: servingMember('host-2'),
      isGranted: undefined,
      calls: 1,
      kind: 'refused',
    },
    {
      name: 'is refused without a call before a trial is due',
      decision: refusedFor(1),
      granting: servingMember('host-2'),
      isGranted: true,
      calls: 0,
      kind: 'refused',
    },
    {
      name: 'is refused without a call if this host grants trials',
      decision: refusedFor(0),
      granting: servingMember('host-1'),
      isGranted: true,
      calls: 0,
      kind: 'refused',
    },
    {
      name: 'is tried without a call if this host has granted it',
      decision: {kind: 'trial', part: PART, isSeparating: true},
      granting: servingMember('host-1'),
      isGranted: undefined,
      calls: 0,
      kind: 'trial',
    },
  ])('$name', async ({decision, granting, isGranted, calls, kind}) => {
    const called: unknown[] = [];
    const peers = {
      call: (_address: string, method: string, params: unknown) => {
        called.push([method, params]);
        return isGranted === undefined
          ? Promise.reject(new Error('method not found'))
          : Promise.resolve({isGranted});
      },
      notify: () => undefined,
      close: () => undefined,
    } as unknown as PeerClient;
    const trials = new PartTrials({
      hostId: 'host-1',
      peers,
      events: createEventLog('test', 'error'),
      parts: {decide: () => decision, trialHostOf: () => granting},
    });
    expect((await trials.decide('engines', ['a1'])).kind).toBe(kind);
    expect(called).toEqual(
      Array.from({length: calls}, () => [
        'suspicion.part-trial',
        {...PART, isSeparating: true},
      ]),
    );
  });
});
