/**
 * One entry host of a run: its process, its files and its link to the store.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {
  isReadyAt,
  type LoopbackAddresses,
  settingsEnvironment,
  settingsFileText,
} from '@lacewingwinch/stand-ins';

import {FaultProxy} from './fault_proxy.js';

/** The bundled program; `scripts/bundle.mjs` makes it. */
const PROGRAM = new URL('../../../target/lacewingwinch.mjs', import.meta.url);

/** Milliseconds of age above which keys are refused. */
export const REVOCATION_MILLISECONDS = 2500;

/** Seconds of one window of usage: some windows end in each run. */
const USAGE_WINDOW_SECONDS = 2;

/** What a host is made of. */
export interface SoakHostPlan {
  readonly hostId: string;
  readonly addresses: LoopbackAddresses;
  readonly seeds: readonly string[];
  readonly storeAddress: string;
  /** Where its settings and its log are written. */
  readonly folder: string;
  /** Script that lets the time of day jump. */
  readonly clockPreload: URL;
}

/** A host. */
export class SoakHost {
  readonly storeLink: FaultProxy;
  private child: ChildProcess | undefined;
  private exited: Promise<void> = Promise.resolve();

  constructor(private readonly plan: SoakHostPlan) {
    this.storeLink = new FaultProxy(plan.storeAddress);
  }

  get hostId(): string {
    return this.plan.hostId;
  }

  /** Where callers come in. */
  get callersAddress(): string {
    return this.plan.addresses.callers;
  }

  /** Opens the link to the store and starts the process. */
  async open(): Promise<void> {
    await this.storeLink.listen();
    writeFileSync(
      this.settingsPath,
      settingsFileText(
        this.hostId,
        this.plan.addresses,
        this.storeLink.address,
        {
          seeds: this.plan.seeds,
          revocationMilliseconds: REVOCATION_MILLISECONDS,
          usageWindowSeconds: USAGE_WINDOW_SECONDS,
        },
      ),
    );
    this.start();
  }

  /** Starts the process, unless it runs. */
  start(): void {
    if (this.child !== undefined) {
      return;
    }
    const {folder, clockPreload, hostId} = this.plan;
    const log = openSync(join(folder, `${hostId}.log`), 'a');
    const child = spawn(
      process.execPath,
      ['--import', clockPreload.href, PROGRAM.pathname, 'serve-routes'],
      {
        stdio: ['ignore', log, log, 'ipc'],
        env: settingsEnvironment(this.settingsPath),
      },
    );
    closeSync(log);
    this.child = child;
    this.exited = new Promise(resolve => {
      child.once('exit', () => {
        this.child = undefined;
        resolve();
      });
    });
    // A message may meet a process that has just ended.
    child.on('error', () => undefined);
  }

  /** Sends a signal, if the process runs. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Resolves when the process has ended. */
  ended(): Promise<void> {
    return this.exited;
  }

  /** Lets the time of day be `milliseconds` off. */
  stepClock(milliseconds: number): void {
    if (this.child?.connected === true) {
      this.child.send(milliseconds, () => undefined);
    }
  }

  /** Whether the process says that it serves. */
  isReady(): Promise<boolean> {
    return isReadyAt(this.plan.addresses);
  }

  /** Ends the process and closes the link. */
  async close(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
    await this.storeLink.close();
  }

  private get settingsPath(): string {
    return join(this.plan.folder, `${this.hostId}.toml`);
  }
}
