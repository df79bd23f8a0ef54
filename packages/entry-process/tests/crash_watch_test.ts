/** Tests of the search for content that crashes its upstreams. */
import {rendezvousOrder, type Suspicion} from '@lacewingwinch/decisions';
import type {PeerCaller} from '@lacewingwinch/entry-hosts';
import {createEventLog} from '@lacewingwinch/observability';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {CrashWatch, fingerprintOf} from '../src/routed/crash_watch.js';
import {servingMember} from './host_fixtures.js';

const HOSTS = Array.from({length: 20}, (_, index) => `host-${index}`);
const CONTENT = fingerprintOf({
  workspace: 'one',
  target: '/path',
  body: Buffer.from('body'),
});
/** Milliseconds after which a crash is known. */
const LOOK_MILLISECONDS = 200;
const MINUTE_MILLISECONDS = 60_000;

const events = createEventLog('test', 'error');
let watches: Map<string, CrashWatch>;
let away: Set<string>;
/** Whether the other connections to a lost upstream ended as well. */
let haveOthersEnded: boolean;

const peers: PeerCaller = {
  call: () => Promise.reject(new Error('no call is expected')),
  notify: (address, _method, params) => {
    if (!away.has(address)) {
      watches.get(address)?.onTold(params as Suspicion);
    }
  },
  close: () => undefined,
};

beforeEach(() => {
  vi.useFakeTimers({now: 1_000_000});
  haveOthersEnded = true;
  away = new Set();
  watches = new Map(
    HOSTS.map(hostId => [
      hostId,
      new CrashWatch({
        hostId,
        peers,
        events,
        pool: {watchConnections: () => () => haveOthersEnded},
        clock: () => Date.now(),
        trueTime: () => Date.now(),
        servingHosts: () => HOSTS.map(servingMember),
      }),
    ]),
  );
});

afterEach(() => {
  vi.useRealTimers();
});

function loseAt(host: number, upstreamId: string): void {
  watches
    .get(HOSTS[host] ?? '')
    ?.noteLost(CONTENT, {upstreamId, address: `address-of-${upstreamId}`});
  vi.advanceTimersByTime(LOOK_MILLISECONDS);
}

function refusing(): number {
  return [...watches.values()].filter(one => one.refusedFor(CONTENT) > 0)
    .length;
}

describe('content', () => {
  it.each<{
    readonly name: string;
    readonly crashes: readonly (readonly [number, string])[];
    readonly refusing: number;
  }>([
    {
      name: 'two upstreams',
      crashes: [
        [0, 'a'],
        [1, 'b'],
      ],
      refusing: 0,
    },
    {
      name: 'one upstream three times',
      crashes: [
        [0, 'a'],
        [1, 'a'],
        [2, 'a'],
      ],
      refusing: 0,
    },
    {
      name: 'three upstreams by way of three hosts',
      crashes: [
        [0, 'a'],
        [1, 'b'],
        [2, 'c'],
      ],
      refusing: HOSTS.length,
    },
    {
      name: 'three upstreams by way of one host',
      crashes: [
        [5, 'a'],
        [5, 'b'],
        [5, 'c'],
      ],
      refusing: HOSTS.length,
    },
  ])('that crashed $name is refused at $refusing hosts', one => {
    one.crashes.forEach(([host, upstreamId]) => loseAt(host, upstreamId));
    expect(refusing()).toBe(one.refusing);
  });

  it('is not suspected where other connections to its upstream live', () => {
    haveOthersEnded = false;
    ['a', 'b', 'c', 'd'].forEach((id, index) => loseAt(index, id));
    expect(refusing()).toBe(0);
  });

  it('is counted when one of the hosts that count is away', () => {
    away.add(rendezvousOrder(CONTENT, HOSTS, 1)[0] ?? '');
    ['a', 'b', 'c'].forEach((id, index) => loseAt(index, id));
    expect(refusing()).toBeGreaterThanOrEqual(HOSTS.length - 1);
  });

  it('that another host saw run to its end is not refused', () => {
    watches.get('host-9')?.noteAnswered(CONTENT);
    ['a', 'b', 'c', 'd'].forEach((id, index) => loseAt(index, id));
    expect(refusing()).toBe(0);
  });

  it('that ran to its end after two crashes begins anew', () => {
    loseAt(0, 'a');
    loseAt(1, 'b');
    watches.get('host-1')?.noteAnswered(CONTENT);
    vi.advanceTimersByTime(2 * MINUTE_MILLISECONDS);
    loseAt(0, 'c');
    loseAt(0, 'd');
    expect(refusing()).toBe(0);
    loseAt(0, 'e');
    expect(refusing()).toBe(HOSTS.length);
  });

  it('is tried again after a minute, and refused after one crash more', () => {
    ['a', 'b', 'c'].forEach((id, index) => loseAt(index, id));
    vi.advanceTimersByTime(MINUTE_MILLISECONDS);
    expect(refusing()).toBe(0);
    loseAt(7, 'd');
    expect(refusing()).toBe(HOSTS.length);
  });
});

describe('a fingerprint', () => {
  it.each([
    {name: 'workspace', changes: {workspace: 'two'}},
    {name: 'target', changes: {target: '/path?q'}},
    {name: 'body', changes: {body: Buffer.from('bodz')}},
  ])('differs by $name', ({changes}) => {
    const content = {
      workspace: 'one',
      target: '/path',
      body: Buffer.from('body'),
    };
    expect(fingerprintOf({...content, ...changes})).not.toBe(CONTENT);
    expect(fingerprintOf(content)).toBe(CONTENT);
  });
});
