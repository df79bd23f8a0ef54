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
import {CRASHING_PART} from './soak_clients.js';
import {openCrowd} from './soak_crowds.js';
import {programsOf, SoakHost} from './soak_host.js';
import type {NamedLimit} from './upstream_observer.js';

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

/** Limit that an upstream in need names. */
const REQUESTS_PER_SECOND = 3;

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
  /** Path of the program of another build, which runs beside the present one. */
  readonly otherProgram?: string | undefined;
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
  /** Limits that upstreams have named. */
  readonly namedLimits: NamedLimit[] = [];
  /** Number of active faults in which a prompt part crashes engines. */
  private crashingFaults = 0;
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
    otherProgram,
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
        preload: new URL('../dist/host_preload.js', import.meta.url),
        programs: programsOf(index, otherProgram),
      });
      this.hosts.push(host);
      await host.open(this.upstreams.map(({link}) => link.address));
    }
    for (const host of this.hosts) {
      host.connectTo(this.hosts.filter(other => other !== host));
      host.start();
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

  /** Whether a prompt part crashes engines at present. */
  get isPartCrashing(): boolean {
    return this.crashingFaults > 0;
  }

  /** Returns the model engines. */
  engines(): readonly RoutedEngineStandIn[] {
    return this.upstreams
      .filter(({service}) => service === 'engines')
      .map(({engine}) => engine);
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
      case 'engine-limits':
        return this.nameLimit(elementAt(this.upstreams, fault.engine).engine);
      case 'crashing-part':
        return this.crashUnderPart();
      case 'engine-versions': {
        const engines = this.engines().filter((_, index) => index % 2 === 0);
        restartAt(engines, 'v2');
        return () => restartAt(engines, 'v1');
      }
      case 'peer-link': {
        const ends = elementAt(this.hosts, fault.host).peerLinks.map(link =>
          startLinkFault(link, fault.fault),
        );
        return () => ends.forEach(end => end());
      }
      case 'upstream-links': {
        const links = elementAt(this.hosts, fault.host).upstreamLinks;
        const cut = links.cut(fault.form);
        return async () => {
          await cut;
          await links.heal();
        };
      }
      case 'crowd': {
        const {addresses} = elementAt(this.hosts, fault.host);
        const crowd = openCrowd(fault.crowd, addresses);
        return () => crowd.close();
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

  private nameLimit(engine: RoutedEngineStandIn): () => void {
    const from = Date.now();
    engine.namedLimit = String(REQUESTS_PER_SECOND);
    return () => {
      engine.namedLimit = undefined;
      this.namedLimits.push({
        engine,
        requestsPerSecond: REQUESTS_PER_SECOND,
        from,
        to: Date.now(),
      });
    };
  }

  private crashUnderPart(): () => void {
    this.crashingFaults += 1;
    for (const engine of this.engines()) {
      engine.crashingParts = new Set([CRASHING_PART]);
    }
    return () => {
      this.crashingFaults -= 1;
    };
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

/** Restarts engines with a software version. */
function restartAt(
  engines: readonly RoutedEngineStandIn[],
  softwareVersion: string,
): void {
  for (const engine of engines) {
    engine.softwareVersion = softwareVersion;
    engine.restart();
  }
}

function startLinkFault(
  link: FaultProxy,
  fault: Parameters<FaultProxy['setFault']>[0],
): () => void {
  link.setFault(fault);
  return () => link.setFault(undefined);
}
