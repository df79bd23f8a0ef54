/**
 * A small fleet for tests and measurements. The stand-ins run in this process,
 * each entry host in its own.
 */
import {fileURLToPath} from 'node:url';

import {
  type StartedProcess,
  startProcess,
  waitFor,
} from './child_process_group.js';
import {type EngineOptions, EngineStandIn} from './engine_stand_in.js';
import {callCompletion, callPlain} from './fleet_calls.js';
import {DEFAULT_OBJECTS, type FleetObject, KEY_ONE} from './fleet_objects.js';
import {findFreePorts} from './free_ports.js';
import {LinkProcess} from './link_process.js';
import {PlainServiceStandIn} from './plain_service_stand_in.js';
import {PlatformStandIn, type StandInHost} from './platform_stand_in.js';

const ENTRY_MAIN = fileURLToPath(
  new URL('../../entry-process/dist/main.js', import.meta.url),
);

/** Composition of a fleet. */
export interface FleetOptions {
  /** Failure domain of each entry host. */
  readonly entryDomains: readonly string[];
  readonly engines?: number;
  readonly engineOptions?: EngineOptions;
  readonly plainServices?: number;
  /**
   * Configuration objects; they replace the default objects of the same kind
   * and name.
   */
  readonly objects?: readonly FleetObject[];
  /**
   * Whether each entry host has links of its own to the upstreams, at the addresses
   * of a host list of its own.
   */
  readonly hasOwnLinks?: boolean;
  /** Additional command-line flags of each entry host. */
  readonly entryFlags?: readonly string[];
}

/** An entry host of a fleet. */
export interface FleetEntry {
  readonly hostId: string;
  readonly failureDomain: string;
  /** IP address and port for client requests. */
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly process: StartedProcess;
}

/** The part of an entry host's status that tests read. */
export interface FleetStatus {
  readonly status: string;
  readonly configurationVersion: number;
  readonly configurationReadTo: number;
  readonly isLogReadable: boolean;
  readonly requestsInProgress: number;
  readonly members: readonly {
    readonly hostId: string;
    readonly status: string;
  }[];
  readonly leavingUpstreams: readonly string[];
  readonly shards: readonly {
    readonly shardId: string;
    readonly queueLength: number;
    readonly upstreams: readonly {
      readonly upstreamId: string;
      readonly inFlight: number;
    }[];
  }[];
}

const UPSTREAM_DOMAINS = ['east', 'west', 'north', 'south'] as const;

/** Thrown when an entry host exits before it serves requests. */
export class StoppedEarlyError extends Error {
  override readonly name = 'StoppedEarlyError';
}

/** A running fleet of entry hosts and stand-ins. */
export class Fleet {
  readonly platform = new PlatformStandIn();
  readonly engines: EngineStandIn[] = [];
  readonly plainServices: PlainServiceStandIn[] = [];
  readonly entries: FleetEntry[] = [];
  /** Links of the entry hosts to the upstreams, if they have their own. */
  readonly links: LinkProcess[] = [];
  private readonly hostLists: PlatformStandIn[] = [];
  private readonly upstreams: StandInHost[] = [];

  private constructor(private readonly options: FleetOptions) {}

  /**
   * Starts a fleet and waits until every entry host serves and knows the other
   * hosts and the upstreams.
   */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    await fleet.platform.listen();
    await fleet.startUpstreams();
    fleet.publishObjects();
    await fleet.startEntries(options.entryDomains);
    await fleet.waitUntilServing();
    return fleet;
  }

  /**
   * Appends a publish record and returns its offset, without checking whether
   * it takes effect.
   */
  publish(object: FleetObject, basedOn: number, publishId: string): number {
    return this.platform.log.append('configuration', {
      type: 'publish',
      publishId,
      operator: 'test',
      key: `${object.kind}/${object.name}`,
      object,
      basedOn,
    });
  }

  /** Starts entry hosts that join the running ones. */
  async startEntries(domains: readonly string[]): Promise<void> {
    const ports = await findFreePorts(domains.length * 4);
    if (this.options.hasOwnLinks === true) {
      await Promise.all(domains.map(() => this.openLinks()));
    }
    domains.forEach((failureDomain, index) => {
      const [callers, peers, operators, relay] = ports
        .slice(index * 4, index * 4 + 4)
        .map(port => `127.0.0.1:${port}`);
      this.startEntry(
        failureDomain,
        callers ?? '',
        peers ?? '',
        operators ?? '',
        relay ?? '',
      );
    });
    await Promise.resolve();
  }

  /**
   * Waits until every running entry host serves and knows all the others and
   * the upstreams.
   */
  async waitUntilServing(): Promise<void> {
    const running = this.entries.filter(entry => isProcessRunning(entry));
    await waitFor('every entry host serves and knows the others', async () => {
      assertRunning(running);
      const statuses = await Promise.all(
        running.map(entry => this.status(entry)),
      );
      return statuses.every(
        ({status, members}) =>
          status === 'serving' &&
          members.filter(member => member.status === 'serving').length ===
            running.length,
      );
    });
    await waitFor('every entry host knows the upstreams', async () => {
      const answers = await Promise.all(
        running.map(entry => this.canReachUpstreams(entry)),
      );
      return answers.every(canReach => canReach);
    });
  }

  /** Reads the status that `entry` reports. */
  async status(entry: FleetEntry): Promise<FleetStatus> {
    const answer = await fetch(`http://${entry.operators}/status`, {
      signal: AbortSignal.timeout(2000),
    });
    return (await answer.json()) as FleetStatus;
  }

  /** Returns the entry host at `index`. */
  entry(index: number): FleetEntry {
    const entry = this.entries[index];
    if (entry === undefined) {
      throw new Error(`the fleet has no entry host ${index}`);
    }
    return entry;
  }

  /** Kills the entry hosts, also suspended ones, and closes the stand-ins. */
  async close(): Promise<void> {
    for (const {process} of this.entries) {
      process.child.kill('SIGCONT');
      process.child.kill('SIGKILL');
    }
    await Promise.all(this.entries.map(({process}) => process.exited));
    await Promise.all(this.links.map(links => links.stop()));
    await Promise.all(this.hostLists.map(list => list.close()));
    await Promise.all([
      ...this.engines.map(engine => engine.close()),
      ...this.plainServices.map(service => service.close()),
    ]);
    await this.platform.close();
  }

  /** Opens the links of the next entry host, with a host list of their own. */
  private async openLinks(): Promise<void> {
    const targets = this.upstreams.map(({address}) => address);
    const links = await LinkProcess.start(targets);
    const list = new PlatformStandIn();
    await list.listen();
    this.upstreams.forEach((host, index) =>
      list.addHost({...host, address: links.addresses[index] ?? host.address}),
    );
    this.links.push(links);
    this.hostLists.push(list);
  }

  private async startUpstreams(): Promise<void> {
    const {engines = 0, plainServices = 0, engineOptions} = this.options;
    for (let index = 0; index < engines; index += 1) {
      const engine = new EngineStandIn(engineOptions);
      await engine.listen();
      this.engines.push(engine);
      this.addUpstream(`engine-${index}`, 'writer', engine.address, index);
    }
    for (let index = 0; index < plainServices; index += 1) {
      const service = new PlainServiceStandIn();
      await service.listen();
      this.plainServices.push(service);
      const {address} = service;
      this.addUpstream(`lookup-${index}`, 'lookup', address, index);
      this.addUpstream(`booking-${index}`, 'booking', address, index);
    }
  }

  private addUpstream(
    id: string,
    service: string,
    address: string,
    index: number,
  ): void {
    const host: StandInHost = {
      id,
      role: 'upstream',
      status: 'live',
      failureDomain: UPSTREAM_DOMAINS[index % 4] ?? 'east',
      hostClass: 'reclaimable',
      pricePerHour: 1,
      service,
      address,
    };
    this.upstreams.push(host);
    this.platform.addHost(host);
  }

  private publishObjects(): void {
    const replacements = this.options.objects ?? [];
    const isReplaced = ({kind, name}: FleetObject): boolean =>
      replacements.some(object => object.kind === kind && object.name === name);
    const defaults = DEFAULT_OBJECTS.filter(object => !isReplaced(object));
    [...defaults, ...replacements].forEach((object, index) =>
      this.publish(object, -1, `start-${index}`),
    );
  }

  private startEntry(
    failureDomain: string,
    callers: string,
    peers: string,
    operators: string,
    relay: string,
  ): void {
    const hostId = `entry-${this.entries.length}`;
    const portOf = (address: string): string => address.split(':')[1] ?? '';
    const process = startProcess(hostId, ENTRY_MAIN, [
      'serve',
      `--host-id=${hostId}`,
      `--failure-domain=${failureDomain}`,
      `--caller-port=${portOf(callers)}`,
      `--peer-port=${portOf(peers)}`,
      `--operator-port=${portOf(operators)}`,
      `--relay-port=${portOf(relay)}`,
      `--log-url=${this.platform.url}`,
      `--host-list-url=${(this.hostLists[this.entries.length] ?? this.platform).url}`,
      `--cloud-url=${this.platform.url}`,
      `--peers=${this.entries[0]?.peers ?? peers}`,
      '--host-list-seconds=0.2',
      '--linger-seconds=1',
      ...(this.options.entryFlags ?? []),
    ]);
    this.entries.push({
      hostId,
      failureDomain,
      callers,
      operators,
      peers,
      process,
    });
  }

  private async canReachUpstreams(entry: FleetEntry): Promise<boolean> {
    const {engines = 0, plainServices = 0} = this.options;
    const responses: Promise<Response>[] = [];
    if (engines > 0) {
      responses.push(callCompletion(entry, KEY_ONE, 'ready?', 1));
    }
    if (plainServices > 0) {
      responses.push(callPlain(entry, KEY_ONE, 'lookup', 'ready?'));
    }
    const answers = await Promise.all(responses);
    await Promise.all(answers.map(answer => answer.text()));
    return answers.every(({status}) => status === 200);
  }
}

function assertRunning(entries: readonly FleetEntry[]): void {
  const ended = entries.find(entry => !isProcessRunning(entry));
  if (ended !== undefined) {
    throw new StoppedEarlyError(ended.process.errorOutput());
  }
}

function isProcessRunning({process}: FleetEntry): boolean {
  return process.child.exitCode === null && process.child.signalCode === null;
}
