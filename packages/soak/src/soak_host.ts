/**
 * An entry host of a run: its process, its files and its link to the store.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {
  deployedNodeFlags,
  isReadyAt,
  LinkProcess,
  type LoopbackAddresses,
  settingsEnvironment,
  settingsFileText,
} from '@lacewingwinch/stand-ins';

import {FaultProxy} from './fault_proxy.js';
import type {ProcessEnd} from './host_observer.js';

/** The bundled entry process, which `scripts/bundle.mjs` builds. */
const BUNDLED_PROGRAM = new URL(
  '../../../target/lacewingwinch.cjs',
  import.meta.url,
).pathname;

/**
 * Time within which a revocation must take effect at every host. While the
 * store is unreachable, a host refuses keys before they reach this age.
 */
export const REVOCATION_MILLISECONDS = 2500;

/** Length of a usage window; short, so that several windows end in each run. */
const USAGE_WINDOW_SECONDS = 2;

/** The options of a host. */
export interface SoakHostOptions {
  readonly hostId: string;
  readonly addresses: LoopbackAddresses;
  readonly seeds: readonly string[];
  readonly storeAddress: string;
  /** Folder for the settings file and the log. */
  readonly folder: string;
  /** Script that is preloaded into the process. */
  readonly preload: URL;
  /**
   * Paths of the programs that the processes of this host run in turn, from its first
   * start on.
   */
  readonly programs: readonly string[];
}

/** An entry host that runs as a process of its own. */
export class SoakHost {
  readonly storeLink: FaultProxy;
  /** The links from the other hosts to this one. */
  readonly peerLinks: readonly FaultProxy[];
  private upstreams: LinkProcess | undefined;
  /** Ports through which the process connects to other ports. */
  private links: Readonly<Record<string, string>> = {};
  private child: ChildProcess | undefined;
  private hasStarted = false;
  /** Signals that end a process, sent to the current one. */
  private sent: NodeJS.Signals[] = [];
  /** How the processes of this host ended so far. */
  readonly ends: ProcessEnd[] = [];
  private exitPromise: Promise<void> = Promise.resolve();

  constructor(private readonly options: SoakHostOptions) {
    this.storeLink = new FaultProxy(options.storeAddress);
    const {peers, relay} = options.addresses;
    this.peerLinks = [peers, relay].map(address => new FaultProxy(address));
  }

  get hostId(): string {
    return this.options.hostId;
  }

  /** The addresses at which the host listens. */
  get addresses(): LoopbackAddresses {
    return this.options.addresses;
  }

  /** The address at which the host accepts calls. */
  get clientAddress(): string {
    return this.addresses.callers;
  }

  /** The links of this host to the upstreams. */
  get upstreamLinks(): LinkProcess {
    if (this.upstreams === undefined) {
      throw new Error('the links to the upstreams are not open');
    }
    return this.upstreams;
  }

  /** Opens the links to the store, to the upstreams and from the other hosts. */
  async open(upstreamAddresses: readonly string[]): Promise<void> {
    this.upstreams = await LinkProcess.start(upstreamAddresses);
    const {addresses} = this.upstreams;
    this.links = linkPorts(upstreamAddresses, addresses);
    await Promise.all(
      [this.storeLink, ...this.peerLinks].map(link => link.listen()),
    );
  }

  /** Sets the links through which the process reaches the other hosts. */
  connectTo(others: readonly SoakHost[]): void {
    const targets = others.flatMap(({options: {addresses}}) => [
      addresses.peers,
      addresses.relay,
    ]);
    const links = others.flatMap(({peerLinks}) =>
      peerLinks.map(({address}) => address),
    );
    this.links = {...this.links, ...linkPorts(targets, links)};
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.child !== undefined) {
      return;
    }
    this.writeSettings(!this.hasStarted);
    this.hasStarted = true;
    const {preload, hostId, programs} = this.options;
    const program = programs[this.ends.length % programs.length];
    if (program === undefined) {
      throw new Error(`${hostId} has no program`);
    }
    const log = openSync(this.logPath, 'a');
    const child = spawn(
      process.execPath,
      [
        ...deployedNodeFlags(),
        '--import',
        preload.href,
        program,
        'serve-routes',
      ],
      {
        stdio: ['ignore', log, log, 'ipc'],
        env: {
          ...settingsEnvironment(this.settingsPath),
          SOAK_LINKS: JSON.stringify(this.links),
        },
      },
    );
    closeSync(log);
    this.child = child;
    const sent: NodeJS.Signals[] = [];
    this.sent = sent;
    this.exitPromise = new Promise(resolve => {
      child.once('exit', (code, endSignal) => {
        this.ends.push({hostId, code, signal: endSignal, sent});
        this.child = undefined;
        resolve();
      });
    });
    // Sending a message fails if the process has just exited.
    child.on('error', () => undefined);
  }

  /** Sends a signal to the process if it is running. */
  signal(signal: NodeJS.Signals): void {
    this.sent.push(signal);
    this.child?.kill(signal);
  }

  /** Returns what its processes have logged so far. */
  readLog(): string {
    return readFileSync(this.logPath, 'utf8');
  }

  /** Resolves when the current process has exited. */
  waitForExit(): Promise<void> {
    return this.exitPromise;
  }

  /** Shifts the time of day of the process by `milliseconds`. */
  setClockOffset(milliseconds: number): void {
    if (this.child?.connected === true) {
      this.child.send(milliseconds, () => undefined);
    }
  }

  /** Returns whether the process reports that it is ready. */
  isReady(): Promise<boolean> {
    return isReadyAt(this.options.addresses);
  }

  /** Kills the process and closes its links. */
  async close(): Promise<void> {
    this.signal('SIGKILL');
    await this.exitPromise;
    await Promise.all(
      [this.storeLink, ...this.peerLinks].map(link => link.close()),
    );
    await this.upstreams?.stop();
  }

  private writeSettings(isFirstStart: boolean): void {
    const {addresses, seeds} = this.options;
    const text = settingsFileText(
      this.hostId,
      addresses,
      this.storeLink.address,
      {
        seeds,
        revocationMilliseconds: REVOCATION_MILLISECONDS,
        usageWindowSeconds: USAGE_WINDOW_SECONDS,
        isFirstStart,
      },
    );
    writeFileSync(this.settingsPath, text);
  }

  private get logPath(): string {
    return join(this.options.folder, `${this.hostId}.log`);
  }

  private get settingsPath(): string {
    return join(this.options.folder, `${this.hostId}.toml`);
  }
}

/**
 * Returns the programs of a host in turn: half of the hosts change from the other
 * build to the present one, half the other way.
 */
export function programsOf(
  hostIndex: number,
  otherProgram: string | undefined,
): readonly string[] {
  if (otherProgram === undefined) {
    return [BUNDLED_PROGRAM];
  }
  return hostIndex % 2 === 0
    ? [otherProgram, BUNDLED_PROGRAM]
    : [BUNDLED_PROGRAM, otherProgram];
}

/** Returns the ports of `links` by the ports that they lead to. */
function linkPorts(
  targets: readonly string[],
  links: readonly string[],
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    targets.map((target, index) => [
      portOf(target),
      portOf(links[index] ?? target),
    ]),
  );
}

function portOf(address: string): string {
  return address.slice(address.lastIndexOf(':') + 1);
}
