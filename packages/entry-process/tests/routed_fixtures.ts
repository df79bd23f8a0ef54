/** An installation of complete processes with stand-ins for the platform. */
import type {ClientRequest} from 'node:http';

import type {PlatformSettings} from '@lacewingwinch/platform';
import {
  callRouted,
  freeLoopbackAddresses,
  RoutedEngineStandIn,
  StoreStandIn,
} from '@lacewingwinch/stand-ins';
import {expect} from 'vitest';

import {RoutedProcess} from '../src/index.js';

/**
 * Ends a test that would otherwise never end; the tested behavior has no such
 * limit.
 */
const WAIT_TIMEOUT_MILLISECONDS = 55_000;
const POLL_PERIOD_MILLISECONDS = 20;

/** An answer as a client received it. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  /** Whether the connection was closed before the response was complete. */
  readonly isBroken: boolean;
}

/** A request of a client. */
export interface Call {
  readonly path: string;
  readonly key?: string;
  readonly deadline?: number;
  readonly attemptId?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** The bounds of the installation, unless a test states others. */
export const BOUNDS: PlatformSettings['bounds'] = {
  contactMilliseconds: 3000,
  drainMilliseconds: 2000,
  gracePeriodMilliseconds: 8000,
  revocationMilliseconds: 2500,
  failsClosed: true,
  retryRatio: 0.2,
  retrySlack: 500,
  retryWindowMilliseconds: 10_000,
  quotaSlack: 0,
  leaseMilliseconds: 1500,
  usageWindowMilliseconds: 1000,
  usageDelayMilliseconds: 10_000,
  reuseWindowMilliseconds: 10_000,
  discoverySeconds: 5,
};

/** The configuration that is published at the start. */
export const CONFIGURATION = {
  version: 3,
  routes: [
    route('again', 'idempotent', '/again/', 'plain'),
    route('once', 'non_idempotent', '/once/', 'plain'),
    {...route('stream', 'streaming', '/stream/', 'engines'), maxAttempts: 1},
    {
      ...route('resumed', 'streaming', '/resumed/', 'engines'),
      streamResumption: true,
    },
  ],
  services: [
    {name: 'plain', connectionLimit: 500},
    {name: 'engines', connectionLimit: 500},
  ],
  limits: {
    maxHeaderBytes: 4096,
    maxBodyBytes: 1000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{name: 'tenant', apiKeys: ['key-1', 'key-2']}],
};

function route(
  name: string,
  kind: string,
  pathPrefix: string,
  service: string,
): object {
  return {
    name,
    host: 'host.example',
    pathPrefix,
    kind,
    service,
    timeoutMs: 2000,
    targetLatencyMs: 200,
    priority: 1,
    maxAttempts: 2,
  };
}

/** Entry processes, the store, two plain services and two engines. */
export class RoutedInstallation {
  readonly store = new StoreStandIn();
  readonly engines: RoutedEngineStandIn[] = [];
  readonly processes: RoutedProcess[] = [];
  /** Addresses for clients, by process. */
  readonly callers: string[] = [];
  /** Addresses for other entry processes, by process. */
  readonly peers: string[] = [];
  private attempts = 0;

  /** Starts the stand-ins; the test starts the processes. */
  static async start(): Promise<RoutedInstallation> {
    const installation = new RoutedInstallation();
    const {store, engines} = installation;
    await store.listen();
    for (const service of ['plain', 'plain', 'engines', 'engines']) {
      const engine = new RoutedEngineStandIn(`i-${engines.length}`);
      engine.isStreamed = service === 'engines';
      await engine.listen();
      engines.push(engine);
      store.put('keyed.servers', engine.upstreamId, engine.entry(service));
    }
    store.put('keyed.op', 'config', CONFIGURATION);
    return installation;
  }

  /** Publishes the configuration with other properties of every route. */
  publish(properties: Readonly<Record<string, unknown>>): void {
    const routes = CONFIGURATION.routes.map(published => ({
      ...published,
      ...properties,
    }));
    this.store.put('keyed.op', 'config', {
      ...CONFIGURATION,
      version: CONFIGURATION.version + 1,
      routes,
    });
  }

  /** Stops every process and stand-in. */
  async stop(): Promise<void> {
    await Promise.all(this.processes.map(started => started.stopNow()));
    await Promise.all(this.engines.map(engine => engine.close()));
    await this.store.close();
  }

  /** Starts a process and waits until it serves. */
  async startProcess(
    overrides: Partial<PlatformSettings> = {},
  ): Promise<RoutedProcess> {
    const addresses = await freeLoopbackAddresses();
    const routedProcess = new RoutedProcess({
      hostId: `host-${this.processes.length}`,
      failureDomain: 'north',
      region: '',
      listenAddress: '127.0.0.1',
      failureDomains: ['north'],
      addresses,
      freePorts: {first: 0, last: 0},
      seeds: [],
      isFirstStart: true,
      storeAddress: this.store.address,
      cloudAddress: this.store.address,
      duties: ['usage-reporting'],
      upstreamHeartbeatMilliseconds: 1200,
      memoryBytes: 0,
      limits: undefined,
      bounds: BOUNDS,
      ...overrides,
    });
    this.processes.push(routedProcess);
    this.callers.push(addresses.callers);
    this.peers.push(addresses.peers);
    await routedProcess.start();
    return routedProcess;
  }

  /** Sends a request to an entry process, by default the first one. */
  async call(
    {path, key = 'key-1', deadline = 1500, ...rest}: Call,
    address = this.callers[0] ?? '',
    onRequest: (request: ClientRequest) => void = () => undefined,
  ): Promise<Answer> {
    this.attempts += 1;
    const {attemptId = `attempt-${this.attempts}`, headers = {}} = rest;
    const {isComplete, ...answer} = await callRouted({
      address,
      path,
      attemptId,
      key,
      deadline,
      body: rest.body ?? '',
      headers,
      agent: false,
      onRequest,
    });
    return {...answer, isBroken: !isComplete};
  }
}

/** Resolves as soon as `condition` holds. */
export async function waitUntil(
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const until = Date.now() + WAIT_TIMEOUT_MILLISECONDS;
  while (!(await condition())) {
    expect(Date.now()).toBeLessThan(until);
    await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MILLISECONDS));
  }
}
