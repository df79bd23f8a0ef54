/**
 * Tests of hosts that have lost their links to every upstream and no other link:
 * their clients were served far worse than those of the other hosts.
 */
import type {LinkCut, LinkProcess} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

import {
  CutOffInstallation,
  type FirstTry,
  isServed,
  pause,
} from './cut_off_fixtures.js';

const HOSTS = 4;
const EXTRA_ENGINES = 2;

/** Milliseconds from the beginning of a cut from which first tries count. */
const REACTION_MILLISECONDS = 3000;

const OBSERVATION_MILLISECONDS = 3000;

/** Milliseconds after the end of a cut from which all is as before. */
const RECOVERY_MILLISECONDS = 3000;

/** Least share of first tries served, by that at the other hosts. */
const LEAST_RELATIVE_SHARE = 2 / 3;

/** Least share served where nothing fails, or at hosts that are not cut off. */
const LEAST_SOUND_SHARE = 0.98;

let hosts: CutOffInstallation;

afterEach(async () => {
  await hosts.stop();
});

function shareServed(tries: readonly FirstTry[]): number {
  return tries.filter(isServed).length / tries.length;
}

function linksOf(cutHosts: readonly number[]): readonly LinkProcess[] {
  return hosts.links.filter((_, host) => cutHosts.includes(host));
}

function triesBetween(from: number, to: number): readonly FirstTry[] {
  return hosts.tries.filter(({sentAt}) => sentAt >= from && sentAt < to);
}

describe('hosts that have lost their links to every upstream', () => {
  it.each<{readonly form: LinkCut; readonly cutHosts: readonly number[]}>([
    {form: 'hang', cutHosts: [1]},
    {form: 'reset', cutHosts: [1]},
    {form: 'refuse-new', cutHosts: [1]},
    {form: 'hang', cutHosts: [0, 1, 2]},
    {form: 'reset', cutHosts: [0, 1, 2]},
  ])(
    'serve first tries as the others do: $form, $cutHosts.length of 4',
    async ({form, cutHosts}) => {
      hosts = await CutOffInstallation.start(HOSTS, EXTRA_ENGINES);
      void hosts.sendRequests();
      await pause(1500);
      await Promise.all(linksOf(cutHosts).map(links => links.cut(form)));
      const countsFrom = Date.now() + REACTION_MILLISECONDS;
      await pause(REACTION_MILLISECONDS + OBSERVATION_MILLISECONDS);
      const healedAt = Date.now();
      await Promise.all(linksOf(cutHosts).map(links => links.heal()));
      await pause(RECOVERY_MILLISECONDS + OBSERVATION_MILLISECONDS);
      const counted = triesBetween(countsFrom, healedAt - 500);
      const atCut = counted.filter(({host}) => cutHosts.includes(host));
      const atOthers = counted.filter(({host}) => !cutHosts.includes(host));
      expect(shareServed(atOthers)).toBeGreaterThan(LEAST_SOUND_SHARE);
      expect(shareServed(atCut)).toBeGreaterThan(
        shareServed(atOthers) * LEAST_RELATIVE_SHARE,
      );
      const later = triesBetween(healedAt + RECOVERY_MILLISECONDS, Date.now());
      expect(shareServed(later)).toBeGreaterThan(LEAST_SOUND_SHARE);
    },
  );
});
