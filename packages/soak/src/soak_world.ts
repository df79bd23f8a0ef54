/**
 * The installation of one run: store, upstreams, links and entry hosts, and the
 * faults that strike them.
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

/** The key that every run keeps. */
export const LASTING_KEY = 'key-lasting';
/** The key that a run may take away. */
export const REVOKED_KEY = 'key-revoked';

/** Milliseconds between two entries of an upstream in the store. */
const HEARTBEAT_MILLISECONDS = 1000;

/** Milliseconds for which a request runs, so that faults meet some that do. */
const WORK_MILLISECONDS = 40;

/** Only ends a run that would never end; a start takes less than a second. */
const WAIT_MILLISECONDS = 55_000;

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

/** How large an installation is. */
export interface SoakSize {
  readonly hosts: number;
  /** Upstreams of each of the two services. */
  readonly upstreams: number;
  /** Where settings and logs are written. */
  readonly folder: string;
}

/** An installation. */
export class SoakWorld {
  readonly store = new StoreStandIn();
  readonly hosts: SoakHost[] = [];
  /** When the store held the revocation; undefined before. */
  revokedAt: number | undefined;
  private readonly upstreams: Upstream[] = [];
  private readonly heartbeat: NodeJS.Timeout;
  private version = 1;

  constructor(private readonly clock: () => number) {
    this.heartbeat = setInterval(() => this.listAll(), HEARTBEAT_MILLISECONDS);
  }

  /** Starts everything and waits until every host serves. */
  async open({hosts, upstreams, folder}: SoakSize): Promise<void> {
    await this.store.listen();
    for (const service of ['plain', 'engines']) {
      for (let index = 0; index < upstreams; index += 1) {
        await this.addUpstream(`${service}-${index}`, service);
      }
    }
    this.listAll();
    this.publish([LASTING_KEY, REVOKED_KEY]);
    const addresses = await Promise.all(
      Array.from({length: hosts}, () => freeLoopbackAddresses()),
    );
    for (const [index, own] of addresses.entries()) {
      const host = new SoakHost({
        hostId: `host-${index}`,
        addresses: own,
        seeds: addresses.slice(0, 3).map(({peers}) => peers),
        storeAddress: this.store.address,
        folder,
        clockPreload: new URL('../dist/clock_preload.js', import.meta.url),
      });
      this.hosts.push(host);
      await host.open();
    }
    await this.untilReady();
  }

  /** Waits until every host serves. */
  untilReady(): Promise<void> {
    return waitFor(
      'every host serves',
      async () => {
        const ready = await Promise.all(this.hosts.map(host => host.isReady()));
        return ready.every(Boolean);
      },
      WAIT_MILLISECONDS,
    );
  }

  /** Attempts that ran, in the order of each upstream. */
  ran(): readonly string[] {
    return this.upstreams.flatMap(({engine}) => engine.ranAttempts());
  }

  /** Lets a fault strike, and resolves when it is over. */
  async strike({fault, milliseconds}: PlannedFault): Promise<void> {
    const end = this.begin(fault);
    await delay(milliseconds);
    await end?.();
  }

  /** Ends what the run started. */
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

  /** Begins a fault; the function that is returned ends it. */
  private begin(fault: Fault): (() => Promise<void> | void) | undefined {
    switch (fault.kind) {
      case 'kill': {
        const host = elementAt(this.hosts, fault.host);
        // Another fault may end and start the host meanwhile.
        const ended = host.ended();
        host.signal('SIGKILL');
        return async () => {
          await ended;
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
        const ended = host.ended();
        host.signal('SIGTERM');
        return async () => {
          // A process that another fault froze gets its signal now.
          host.signal('SIGCONT');
          await ended;
          host.start();
        };
      }
      case 'clock': {
        const host = elementAt(this.hosts, fault.host);
        host.stepClock(fault.step);
        return () => host.stepClock(0);
      }
      case 'store-link':
        return failLink(
          elementAt(this.hosts, fault.host).storeLink,
          fault.fault,
        );
      case 'engine-link':
        return failLink(
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
      case 'store-loses':
        this.store.faults.lostAnswers += fault.count;
        return undefined;
      case 'store-expires':
        this.store.expireUpstreams();
        return undefined;
      case 'revoke':
        this.publish([LASTING_KEY]);
        this.revokedAt ??= this.clock();
        return undefined;
    }
  }

  private publish(keys: readonly string[]): void {
    this.store.publish(standInConfiguration(this.version, RULES, keys));
    this.version += 1;
  }

  private async addUpstream(id: string, service: string): Promise<void> {
    const engine = new RoutedEngineStandIn(id);
    engine.isStreamed = service === 'engines';
    engine.namesAttempt = true;
    engine.workMilliseconds = WORK_MILLISECONDS;
    await engine.listen();
    const link = new FaultProxy(engine.address);
    await link.listen();
    this.upstreams.push({engine, service, link});
  }

  private listAll(): void {
    for (const {engine, service, link} of this.upstreams) {
      this.store.listUpstream(
        engine.upstreamId,
        engine.entry(service, {address: link.address}),
      );
    }
  }
}

function failLink(
  link: FaultProxy,
  fault: Parameters<FaultProxy['setFault']>[0],
): () => void {
  link.setFault(fault);
  return () => link.setFault(undefined);
}
