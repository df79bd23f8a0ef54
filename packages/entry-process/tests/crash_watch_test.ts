/** Tests of the detection of content that crashes upstreams. */
import {rendezvousOrder, type Suspicion} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import {createEventLog} from '@lacewingwinch/observability';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';

import {fingerprintOf} from '../src/routed_interface/evidence/content_fingerprint.js';
import {CrashWatch} from '../src/routed_interface/evidence/crash_watch.js';
import {servingMember} from './host_fixtures.js';

const HOSTS = Array.from({length: 20}, (_, index) => `host-${index}`);
const CONTENT = fingerprintOf({
  workspace: 'one',
  target: '/path',
  body: Buffer.from('body'),
});
/** The host that grants the trials of the content. */
const GRANTING = rendezvousOrder(`trial/${CONTENT}`, HOSTS, 1)[0] ?? '';
/** Milliseconds after which a crash has been detected. */
const DETECTION_WAIT_MILLISECONDS = 200;
const MINUTE_MILLISECONDS = 60_000;
/** Start of the upstreams, in milliseconds since the epoch. */
const STARTED_AT = 900_000;
/** Milliseconds until a crashed upstream has started again. */
const RESTART_MILLISECONDS = 2000;

const events = createEventLog('test', 'error');
let watches: Map<string, CrashWatch>;
let unreachableHosts: Set<string>;
/** Whether the other connections to the upstream ended as well. */
let haveOthersEnded: boolean;
/** Whether the process of the upstream reports that it lives on. */
let isProcessRunning: boolean;
/** Whether the upstream is at fault, and not the links of the host. */
let isUpstreamToBlame: boolean;

const peers = {
  call: (address: string, method: string) => {
    const watch = watches.get(address);
    return method === 'suspicion.trial' &&
      watch !== undefined &&
      !unreachableHosts.has(address)
      ? Promise.resolve({isGranted: watch.grantTrial(CONTENT)})
      : Promise.reject(new Error('no answer'));
  },
  notify: (address: string, _method: string, params: unknown) => {
    if (!unreachableHosts.has(address)) {
      watches.get(address)?.onSuspicion(params as Suspicion);
    }
  },
  close: () => undefined,
} as unknown as PeerClient;

beforeEach(() => {
  vi.useFakeTimers({now: 1_000_000});
  haveOthersEnded = true;
  isUpstreamToBlame = true;
  isProcessRunning = false;
  unreachableHosts = new Set();
  watches = new Map(
    HOSTS.map(hostId => [
      hostId,
      new CrashWatch({
        hostId,
        peers,
        events,
        pool: {watchConnections: () => () => haveOthersEnded},
        isToBlame: () => Promise.resolve(isUpstreamToBlame),
        isRunning: () => Promise.resolve(isProcessRunning),
        clock: () => Date.now(),
        trueTime: () => Date.now(),
        servingHosts: () => HOSTS.map(servingMember),
        verdicts: {
          load: () => Promise.resolve([]),
          save: () => Promise.resolve(true),
          remove: () => Promise.resolve(true),
        },
      }),
    ]),
  );
});

afterEach(() => {
  vi.useRealTimers();
});

/**
 * Loses the connection to a process that has run since `runningSince`, of which the
 * host knows an older start.
 */
async function loseConnection(
  host: number,
  upstreamId: string,
  runningSince = STARTED_AT,
): Promise<void> {
  watches.get(HOSTS[host] ?? '')?.recordLostConnection(CONTENT, {
    upstreamId,
    address: `address-of-${upstreamId}`,
    bornAt: STARTED_AT,
    runningSince,
  });
  await vi.advanceTimersByTimeAsync(DETECTION_WAIT_MILLISECONDS);
}

async function loseConnections(upstreamIds: readonly string[]): Promise<void> {
  for (const [host, upstreamId] of upstreamIds.entries()) {
    await loseConnection(host, upstreamId);
  }
}

function refusingCount(): number {
  return [...watches.values()].filter(watch => watch.isRefused(CONTENT)).length;
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
      name: 'three upstreams through three hosts',
      crashes: [
        [0, 'a'],
        [1, 'b'],
        [2, 'c'],
      ],
      refusing: HOSTS.length,
    },
    {
      name: 'three upstreams through one host',
      crashes: [
        [5, 'a'],
        [5, 'b'],
        [5, 'c'],
      ],
      refusing: HOSTS.length,
    },
  ])('that crashed $name is refused at $refusing hosts', async testCase => {
    for (const [host, upstreamId] of testCase.crashes) {
      await loseConnection(host, upstreamId);
    }
    expect(refusingCount()).toBe(testCase.refusing);
  });

  it.each([
    {crashes: 2, refusing: 0},
    {crashes: 3, refusing: HOSTS.length},
  ])(
    // Guards against crashes that counted once for an id, whatever started under it.
    'that crashed an upstream that keeps its id $crashes times is refused at $refusing hosts',
    async ({crashes, refusing}) => {
      for (let crash = 0; crash < crashes; crash += 1) {
        await loseConnection(crash, 'a', Date.now());
        await vi.advanceTimersByTimeAsync(RESTART_MILLISECONDS);
      }
      expect(refusingCount()).toBe(refusing);
    },
  );

  it('is not suspected while other connections to its upstream stay open', async () => {
    haveOthersEnded = false;
    await loseConnections(['a', 'b', 'c', 'd']);
    expect(refusingCount()).toBe(0);
  });

  // Guards against contents that were refused because sound upstreams reset them.
  it('is not suspected while the processes of its upstreams live on', async () => {
    isProcessRunning = true;
    await loseConnections(['a', 'b', 'c', 'd']);
    expect(refusingCount()).toBe(0);
  });

  it('is not suspected while other hosts reach its upstream', async () => {
    isUpstreamToBlame = false;
    await loseConnections(['a', 'b', 'c', 'd']);
    expect(refusingCount()).toBe(0);
  });

  it('is counted when one of the counting hosts is unreachable', async () => {
    unreachableHosts.add(rendezvousOrder(CONTENT, HOSTS, 1)[0] ?? '');
    await loseConnections(['a', 'b', 'c']);
    expect(refusingCount()).toBeGreaterThanOrEqual(HOSTS.length - 1);
  });

  it('that ran to completion through another host is not refused', async () => {
    watches.get('host-9')?.recordCompletion(CONTENT);
    await loseConnections(['a', 'b', 'c', 'd']);
    expect(refusingCount()).toBe(0);
  });

  it('that ran to completion after two crashes is counted anew', async () => {
    await loseConnection(0, 'a');
    await loseConnection(1, 'b');
    watches.get('host-1')?.recordCompletion(CONTENT);
    vi.advanceTimersByTime(2 * MINUTE_MILLISECONDS);
    await loseConnection(0, 'c');
    await loseConnection(0, 'd');
    expect(refusingCount()).toBe(0);
    await loseConnection(0, 'e');
    expect(refusingCount()).toBe(HOSTS.length);
  });

  /** Decides at all hosts at once; returns the hosts that may try the content. */
  async function hostsThatTry(): Promise<readonly number[]> {
    const decisions = await Promise.all(
      [...watches.values()].map(watch => watch.decide(CONTENT)),
    );
    expect(decisions.some(({kind}) => kind === 'clear')).toBe(false);
    return decisions.flatMap((decision, host) =>
      decision.kind === 'trial' ? [host] : [],
    );
  }

  // Guards against a verdict that ended at all hosts at once.
  it('is tried by one host at a time, each time after a longer wait', async () => {
    await loseConnections(['a', 'b', 'c']);
    for (const minutes of [1, 8, 60, 60]) {
      expect(await hostsThatTry()).toEqual([]);
      vi.advanceTimersByTime(minutes * MINUTE_MILLISECONDS - 1000);
      expect(await hostsThatTry()).toEqual([]);
      vi.advanceTimersByTime(1000);
      const [host = -1, ...others] = await hostsThatTry();
      expect(others).toEqual([]);
      expect(await hostsThatTry()).toEqual([]);
      await loseConnection(host, `d-${minutes}`, Date.now());
    }
  });

  it('is tried again after a trial of which nothing became known', async () => {
    await loseConnections(['a', 'b', 'c']);
    vi.advanceTimersByTime(MINUTE_MILLISECONDS);
    expect(await hostsThatTry()).toHaveLength(1);
    vi.advanceTimersByTime(MINUTE_MILLISECONDS - 1);
    expect(await hostsThatTry()).toEqual([]);
    vi.advanceTimersByTime(1);
    expect(await hostsThatTry()).toHaveLength(1);
  });

  it('is served by all hosts after a trial that ran to completion', async () => {
    await loseConnections(['a', 'b', 'c']);
    vi.advanceTimersByTime(MINUTE_MILLISECONDS);
    const [host = -1] = await hostsThatTry();
    watches.get(HOSTS[host] ?? '')?.recordCompletion(CONTENT);
    expect(refusingCount()).toBe(0);
  });

  it('is not tried while the host that grants trials is unreachable', async () => {
    await loseConnections(['a', 'b', 'c']);
    vi.advanceTimersByTime(MINUTE_MILLISECONDS);
    unreachableHosts = new Set(HOSTS);
    const [host, ...others] = await hostsThatTry();
    expect(others).toEqual([]);
    expect([undefined, HOSTS.indexOf(GRANTING)]).toContain(host);
  });

  it('is not tried again at once by a host that takes the trials over', async () => {
    await loseConnections(['a', 'b', 'c']);
    vi.advanceTimersByTime(MINUTE_MILLISECONDS);
    expect(await hostsThatTry()).toHaveLength(1);
    watches.delete(GRANTING);
    for (const watch of watches.values()) {
      expect(watch.grantTrial(CONTENT)).toBe(false);
    }
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
