/**
 * An entry host of a run: its process, its files and its link to the store.
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

/** The bundled entry process, which `scripts/bundle.mjs` builds. */
const BUNDLED_PROGRAM = new URL(
  '../../../target/lacewingwinch.mjs',
  import.meta.url,
);

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
  /** Script that is preloaded to shift the time of day. */
  readonly clockPreload: URL;
}

/** An entry host that runs as a process of its own. */
export class SoakHost {
  readonly storeLink: FaultProxy;
  private child: ChildProcess | undefined;
  private hasStarted = false;
  private exitPromise: Promise<void> = Promise.resolve();

  constructor(private readonly options: SoakHostOptions) {
    this.storeLink = new FaultProxy(options.storeAddress);
  }

  get hostId(): string {
    return this.options.hostId;
  }

  /** The address at which the host accepts calls. */
  get clientAddress(): string {
    return this.options.addresses.callers;
  }

  /** Opens the link to the store and starts the process. */
  async open(): Promise<void> {
    await this.storeLink.listen();
    this.start();
  }

  /** Starts the process unless it is running. */
  start(): void {
    if (this.child !== undefined) {
      return;
    }
    this.writeSettings(!this.hasStarted);
    this.hasStarted = true;
    const {folder, clockPreload, hostId} = this.options;
    const log = openSync(join(folder, `${hostId}.log`), 'a');
    const child = spawn(
      process.execPath,
      ['--import', clockPreload.href, BUNDLED_PROGRAM.pathname, 'serve-routes'],
      {
        stdio: ['ignore', log, log, 'ipc'],
        env: settingsEnvironment(this.settingsPath),
      },
    );
    closeSync(log);
    this.child = child;
    this.exitPromise = new Promise(resolve => {
      child.once('exit', () => {
        this.child = undefined;
        resolve();
      });
    });
    // Sending a message fails if the process has just exited.
    child.on('error', () => undefined);
  }

  /** Sends a signal to the process if it is running. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
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

  /** Kills the process and closes the link to the store. */
  async close(): Promise<void> {
    this.signal('SIGKILL');
    await this.exitPromise;
    await this.storeLink.close();
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

  private get settingsPath(): string {
    return join(this.options.folder, `${this.hostId}.toml`);
  }
}
