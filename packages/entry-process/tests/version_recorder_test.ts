/** Tests of what hosts write into the store so that streams outlive all of them. */
import {
  type ListedUpstream,
  SoftwareVersions,
  type StreamOrigin,
} from '@lacewingwinch/decisions';
import {createEventLog} from '@lacewingwinch/observability';
import {StoreClient} from '@lacewingwinch/platform';
import {StoreStandIn} from '@lacewingwinch/stand-ins';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StreamOriginStore} from '../src/routed_interface/state/stream_origin_store.js';
import {VersionRecorder} from '../src/routed_interface/state/version_recorder.js';
import {createProcessClocks} from '../src/util/clocks.js';
import {pause} from './cut_off_fixtures.js';
import {waitUntil} from './routed_fixtures.js';

const SERVICE = 'engines';
const LIFETIME_MILLISECONDS = 10_000;

const events = createEventLog('test', 'error');
let store: StoreStandIn;
let ending: AbortController;
let clients: StoreClient[];

beforeEach(async () => {
  store = new StoreStandIn();
  await store.listen();
  ending = new AbortController();
  clients = [];
});

afterEach(async () => {
  ending.abort();
  await Promise.all(clients.map(client => client.close()));
  await store.close();
});

function connect(): StoreClient {
  const client = new StoreClient(store.address);
  clients.push(client);
  return client;
}

/** A host that has read the list of upstreams. */
class Host {
  readonly versions = new SoftwareVersions(false);
  readonly clocks = createProcessClocks();
  listed: readonly string[] = [];
  isKeptByAllHosts = true;
  readonly recorder: VersionRecorder;

  constructor(hostId: string, storeReaders: readonly string[]) {
    this.recorder = new VersionRecorder({
      store: connect(),
      events,
      clocks: this.clocks,
      trueTime: () => Date.now(),
      hostId,
      versions: this.versions,
      listed: () => this.listed.map(upstreamOf),
      listReadTo: () => 0,
      storeReaders: () => storeReaders,
      isKeptByAllHosts: () => this.isKeptByAllHosts,
      onRestored: () => undefined,
    });
    void this.recorder.run(ending.signal);
  }

  list(...softwareVersions: readonly string[]): void {
    this.listed = softwareVersions;
    const now = this.clocks.suspensionAware();
    for (const softwareVersion of softwareVersions) {
      this.versions.recordListing({service: SERVICE, softwareVersion}, now);
    }
    this.versions.recordRead('every-listing', now);
    this.recorder.onListChange();
  }
}

function upstreamOf(softwareVersion: string): ListedUpstream {
  return {
    upstreamId: `i-${softwareVersion}`,
    service: SERVICE,
    softwareVersion,
    address: '',
    failureDomain: '',
    slots: 1,
    isLeaving: false,
    leavesInMilliseconds: undefined,
    bornAt: 0,
    isReclaimable: false,
    coldMilliseconds: 0,
  };
}

interface Written {
  readonly completeSince?: number;
  readonly versions: readonly {readonly softwareVersion: string}[];
}

function written(): readonly Written[] {
  return store
    .recordsOf('keyed.versions', SERVICE)
    .map(value => JSON.parse(value.toString()) as Written);
}

function versionsWritten(): readonly string[] {
  return (
    written()
      .at(-1)
      ?.versions.map(({softwareVersion}) => softwareVersion) ?? []
  );
}

describe('the histories of software versions', () => {
  const READERS = ['host-0', 'host-1', 'host-2'];

  it('are written once for a change that all store readers see', async () => {
    const hosts = READERS.map(hostId => new Host(hostId, READERS));
    hosts.forEach(host => host.list('v1'));
    await waitUntil(() => versionsWritten().includes('v1'));
    await pause(300);
    hosts.forEach(host => host.list('v1', 'v2'));
    await waitUntil(() => versionsWritten().includes('v2'));
    await pause(300);
    expect(written()).toHaveLength(2);
    expect(versionsWritten()).toEqual(['v1', 'v2']);
  });

  it('are not written by a host that does not read the store itself', async () => {
    const host = new Host('host-9', READERS);
    host.list('v1');
    await pause(300);
    expect(written()).toEqual([]);
  });

  it('keep what every one of several writers knows', async () => {
    const hosts = READERS.map(hostId => new Host(hostId, [hostId]));
    hosts.forEach((host, index) => host.list(`v${index}`));
    await waitUntil(() => versionsWritten().length === READERS.length);
    expect(versionsWritten()).toEqual(['v0', 'v1', 'v2']);
  });

  it('are written when the store is back', async () => {
    store.faults.isDown = true;
    const host = new Host('host-0', READERS);
    host.list('v1');
    await pause(300);
    store.faults.isDown = false;
    await waitUntil(() => versionsWritten().includes('v1'));
  });

  it('are not complete beside hosts of a build that does not write them', async () => {
    const first = new Host('host-0', ['host-0']);
    first.list('v1');
    await waitUntil(() => written().length === 1);
    expect(written().at(-1)?.completeSince).toBeDefined();
    first.isKeptByAllHosts = false;
    first.recorder.onListChange();
    await waitUntil(() => written().length === 2);
    expect(written().at(-1)?.completeSince).toBe(undefined);
    // Whether it sees these hosts or not, a host that starts now restores nothing.
    const second = new Host('host-1', ['host-0']);
    second.list('v1');
    await pause(300);
    const now = second.clocks.suspensionAware();
    const seen = second.versions.seenWithin(SERVICE, 1000, now);
    expect(seen.isComplete).toBe(false);
  });
});

describe('the origins of streams', () => {
  function createStore(hostId: string): StreamOriginStore {
    return new StreamOriginStore({
      store: connect(),
      events,
      trueTime: () => Date.now(),
      hostId,
      hostCount: () => 3,
    });
  }

  function origin(attemptId: string): StreamOrigin {
    return {
      attemptId,
      service: SERVICE,
      softwareVersion: 'v1',
      lifetimeMilliseconds: LIFETIME_MILLISECONDS,
    };
  }

  function writes(hostId: string): number {
    return store.recordsOf('keyed.streams', hostId).length;
  }

  it('are found by other hosts, and written together', async () => {
    const begun = createStore('host-0');
    for (let index = 0; index < 20; index += 1) {
      begun.add(origin(`stream-${index}`));
    }
    await waitUntil(() => writes('host-0') > 0);
    expect(writes('host-0')).toBe(1);
    const other = createStore('host-1');
    expect(await other.find('stream-7')).toEqual(origin('stream-7'));
    expect(await other.find('unknown')).toBe(undefined);
  });

  it('of an earlier process of the host are kept', async () => {
    createStore('host-0').add(origin('before'));
    await waitUntil(() => writes('host-0') === 1);
    createStore('host-0').add(origin('after'));
    await waitUntil(() => writes('host-0') === 2);
    const other = createStore('host-1');
    expect(await other.find('before')).toEqual(origin('before'));
    expect(await other.find('after')).toEqual(origin('after'));
  });

  it('are written when the store is back, and unknown meanwhile', async () => {
    store.faults.isDown = true;
    const begun = createStore('host-0');
    begun.add(origin('stream'));
    await pause(400);
    expect(await createStore('host-1').find('stream')).toBe(undefined);
    store.faults.isDown = false;
    await waitUntil(() => writes('host-0') === 1);
    expect(await createStore('host-1').find('stream')).toEqual(
      origin('stream'),
    );
  });

  it('of complete streams are left out', async () => {
    const begun = createStore('host-0');
    begun.add(origin('complete'));
    await waitUntil(() => writes('host-0') === 1);
    begun.forget('complete');
    begun.add(origin('open'));
    await waitUntil(() => writes('host-0') === 2);
    const other = createStore('host-1');
    expect(await other.find('complete')).toBe(undefined);
    expect(await other.find('open')).toEqual(origin('open'));
  });
});
