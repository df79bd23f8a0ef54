/** A host that runs as a process of its own, beside the stand-ins of an installation. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {
  freeLoopbackAddresses,
  type LoopbackAddresses,
  settingsEnvironment,
  type SettingsFileOptions,
  settingsFileText,
  type StartedProcess,
  startProcess,
  waitUntilReady,
} from '@lacewingwinch/stand-ins';

const MAIN = new URL('../dist/main.js', import.meta.url).pathname;

/** Makes the program throw an error that nothing catches when it gets SIGUSR2. */
const THROW_ON_SIGNAL =
  "data:text/javascript,process.on('SIGUSR2',()=>{throw new Error('test')})";

/** How a host process is started. */
export interface HostProcessOptions extends SettingsFileOptions {
  readonly storeAddress: string;
  readonly addresses?: LoopbackAddresses;
  readonly flags?: readonly string[];
  /** Flags of Node.js. */
  readonly nodeFlags?: readonly string[];
}

/** A host that runs as a process of its own. */
export class HostProcess {
  private log = '';

  private constructor(
    readonly addresses: LoopbackAddresses,
    readonly started: StartedProcess,
    private readonly folder: string,
  ) {
    started.child.stdout?.on('data', (chunk: Buffer) => {
      this.log += chunk.toString();
    });
  }

  /** Starts the program without waiting until it serves. */
  static async start({
    storeAddress,
    addresses,
    flags = [],
    nodeFlags = [],
    ...settings
  }: HostProcessOptions): Promise<HostProcess> {
    const used = addresses ?? (await freeLoopbackAddresses());
    const folder = mkdtempSync(join(tmpdir(), 'lacewingwinch-'));
    const path = join(folder, 'settings.toml');
    writeFileSync(path, settingsFileText('host', used, storeAddress, settings));
    const started = startProcess(
      'host',
      '--import',
      [THROW_ON_SIGNAL, ...nodeFlags, MAIN, 'serve-routes', ...flags],
      settingsEnvironment(path),
    );
    return new HostProcess(used, started, folder);
  }

  /** The lines that it has logged so far. */
  get logText(): string {
    return this.log;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    const {exitCode, signalCode} = this.started.child;
    return exitCode !== null || signalCode !== null;
  }

  /** Waits until it is ready; rejects with its log if it exits. */
  async waitUntilReady(): Promise<void> {
    try {
      await waitUntilReady(this.started, this.addresses);
    } catch (error) {
      throw new Error(`the host is not ready: ${this.log}`, {cause: error});
    }
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.started.child.kill(signal);
  }

  /** Kills the process and removes its files. */
  async close(): Promise<void> {
    this.signal('SIGKILL');
    await this.started.exited;
    rmSync(this.folder, {recursive: true});
  }
}
