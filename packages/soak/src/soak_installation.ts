/**
 * The installation of a run: the store, upstreams, links and entry hosts, and
 * the injection of faults into them.
 */
import {
  delay,
  freeLoopbackAddresses,
  RoutedEngineStandIn,
  standInConfiguration,
  type StandInRule,
  StoreStandIn,
  waitFor,
} from '@lacewingwinch/stand-ins';

import {elementAt} from './element_at.js';
import type {Fault, PlannedFault} from './fault_plan.js';
import {FaultProxy} from './fault_proxy.js';
import {SoakHost} from './soak_host.js';

/** The key that is never revoked. */
export const LASTING_KEY = 'key-lasting';
/** The key that a run may revoke. */
export const REVOKED_KEY = 'key-revoked';

/** Interval at which each upstream is listed in the store again. */
const HEARTBEAT_MILLISECONDS = 1000;

/**
 * Milliseconds after the store came back from a copy until the operator writes
 * the configuration again.
 */
const REPUBLISH_MILLISECONDS = 500;

/** Seconds for which an upstream wants no requests after a refusal. */
const PAUSE_SECONDS = '0.8';

/** Execution time of a request, so that faults hit requests in progress. */
const WORK_MILLISECONDS = 40;

/**
 * Stops a run that would otherwise wait forever; a start takes less than a
 * second.
 */
const READY_TIMEOUT_MILLISECONDS = 55_000;

const RULES: readonly StandInRule[] = [
  {prefix: '/again/', kind: 'idempotent', service: 'plain'},
  {prefix: '/once/', kind: 'non_idempotent', service: 'plain'},
  {prefix: '/stream/', kind: 'streaming', service: 'engines'},
  {
    prefix: '/resumed/',
    kind: 'streaming',
    service: 'engines',
    isResumable: true,
  },
];

interface Upstream {
  readonly engine: RoutedEngineStandIn;
  readonly service: string;
  readonly link: FaultProxy;
}

/** The options of an installation. */
export interface SoakInstallationOptions {
  readonly hosts: number;
  /** Number of upstreams for each of the two services. */
  readonly upstreams: number;
  /** Folder for settings files and logs. */
  readonly folder: string;
}

/** An installation of entry hosts with its store and upstreams. */
export class SoakInstallation {
  readonly store = new StoreStandIn();
  readonly hosts: SoakHost[] = [];
  /**
   * Time at which the store received the revocation, in milliseconds since the
   * start of the run; undefined before it.
   */
  revokedAt: number | undefined;
  private readonly upstreams: Upstream[] = [];
  private readonly heartbeat: NodeJS.Timeout;
  private version = 1;
  private keys: readonly string[] = [];

  constructor(private readonly clock: () => number) {
    this.heartbeat = setInterval(
      () => this.listUpstreams(),
      HEARTBEAT_MILLISECONDS,
    );
  }

  /** Starts all parts and waits until every host is ready. */
  async open({
    hosts,
    upstreams,
    folder,
  }: SoakInstallationOptions): Promise<void> {
    await this.store.listen();
    for (const service of ['plain', 'engines']) {
      for (let index = 0; index < upstreams; index += 1) {
        await this.addUpstream(`${service}-${index}`, service);
      }
    }
    this.listUpstreams();
    this.publish([LASTING_KEY, REVOKED_KEY]);
    const addresses = await Promise.all(
      Array.from({length: hosts}, () => freeLoopbackAddresses()),
    );
    for (const [index, hostAddresses] of addresses.entries()) {
      const host = new SoakHost({
        hostId: `host-${index}`,
        addresses: hostAddresses,
        seeds: addresses.slice(0, 3).map(({peers}) => peers),
        storeAddress: this.store.address,
        folder,
        clockPreload: new URL('../dist/clock_preload.js', import.meta.url),
      });
      this.hosts.push(host);
      await host.open();
    }
    await this.waitUntilReady();
  }

  /** Waits until every host is ready. */
  waitUntilReady(): Promise<void> {
    return waitFor(
      'every host is ready',
      async () => {
        const ready = await Promise.all(this.hosts.map(host => host.isReady()));
        return ready.every(Boolean);
      },
      READY_TIMEOUT_MILLISECONDS,
    );
  }

  /**
   * Returns the ids of the executed attempts, in the order of execution at each
   * upstream.
   */
  executedAttemptIds(): readonly string[] {
    return this.upstreams.flatMap(({engine}) => engine.executedAttemptIds());
  }

  /** Injects a fault and resolves when it has ended. */
  async injectFault({
    fault,
    durationMilliseconds,
  }: PlannedFault): Promise<void> {
    const end = this.startFault(fault);
    await delay(durationMilliseconds);
    await end?.();
  }

  /** Stops everything that the run started. */
  async close(): Promise<void> {
    clearInterval(this.heartbeat);
    await Promise.all(this.hosts.map(host => host.close()));
    await Promise.all(
      this.upstreams.flatMap(({engine, link}) => [
        engine.close(),
        link.close(),
      ]),
    );
    await this.store.close();
  }

  /** Starts a fault and returns the function that ends it, if it ends. */
  private startFault(fault: Fault): (() => Promise<void> | void) | undefined {
    switch (fault.kind) {
      case 'kill': {
        const host = elementAt(this.hosts, fault.host);
        // Waits for the exit of this process: by the end of the fault another
        // fault may have stopped and restarted the host.
        const exit = host.waitForExit();
        host.signal('SIGKILL');
        return async () => {
          await exit;
          host.start();
        };
      }
      case 'freeze': {
        const host = elementAt(this.hosts, fault.host);
        host.signal('SIGSTOP');
        return () => host.signal('SIGCONT');
      }
      case 'stop': {
        const host = elementAt(this.hosts, fault.host);
        const exit = host.waitForExit();
        host.signal('SIGTERM');
        return async () => {
          // A process that another fault suspended handles SIGTERM only after
          // it is resumed.
          host.signal('SIGCONT');
          await exit;
          host.start();
        };
      }
      case 'clock': {
        const host = elementAt(this.hosts, fault.host);
        host.setClockOffset(fault.step);
        return () => host.setClockOffset(0);
      }
      case 'store-link':
        return startLinkFault(
          elementAt(this.hosts, fault.host).storeLink,
          fault.fault,
        );
      case 'engine-link':
        return startLinkFault(
          elementAt(this.upstreams, fault.engine).link,
          fault.fault,
        );
      case 'engine': {
        const {engine} = elementAt(this.upstreams, fault.engine);
        engine.behavior = fault.fault;
        return () => {
          engine.behavior = 'answer';
        };
      }
      case 'store-down':
        this.store.faults.isDown = true;
        return () => {
          this.store.faults.isDown = false;
        };
      case 'store-comes-back': {
        const copy = this.store.copy();
        return async () => {
          this.store.restore(copy);
          await delay(REPUBLISH_MILLISECONDS);
          this.publish(this.keys);
        };
      }
      case 'engine-leaves': {
        const {engine} = elementAt(this.upstreams, fault.engine);
        engine.isLeaving = true;
        return () => engine.restart();
      }
      case 'engine-pauses': {
        const {engine} = elementAt(this.upstreams, fault.engine);
        engine.behavior = 'shed';
        engine.pauseAnnouncement = PAUSE_SECONDS;
        return () => {
          engine.behavior = 'answer';
          engine.pauseAnnouncement = undefined;
        };
      }
      case 'store-loses':
        this.store.faults.appendAnswersToLose += fault.count;
        return undefined;
      case 'store-expires':
        this.store.dropUpstreamRecords();
        return undefined;
      case 'revoke':
        this.publish([LASTING_KEY]);
        this.revokedAt ??= this.clock();
        return undefined;
    }
  }

  private publish(keys: readonly string[]): void {
    this.keys = keys;
    this.store.publish(standInConfiguration(this.version, RULES, keys));
    this.version += 1;
  }

  private async addUpstream(id: string, service: string): Promise<void> {
    const engine = new RoutedEngineStandIn(id);
    engine.isStreamed = service === 'engines';
    engine.hasAttemptIdInAnswer = true;
    engine.executionMilliseconds = WORK_MILLISECONDS;
    await engine.listen();
    const link = new FaultProxy(engine.address);
    await link.listen();
    this.upstreams.push({engine, service, link});
  }

  private listUpstreams(): void {
    for (const {engine, service, link} of this.upstreams) {
      this.store.putUpstreamEntry(
        engine.upstreamId,
        engine.entry(service, {address: link.address}),
      );
    }
  }
}

function startLinkFault(
  link: FaultProxy,
  fault: Parameters<FaultProxy['setFault']>[0],
): () => void {
  link.setFault(fault);
  return () => link.setFault(undefined);
}
