/**
 * A process with the links from one host to several upstreams.
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

import {
  firstLine,
  type StartedProcess,
  startProcess,
} from './child_process_group.js';
import {LINK_BACKLOG, type RefusingLinkFault} from './link_stand_in.js';

/** How the links of a host can fail while its other links work. */
export type LinkCut =
  | RefusingLinkFault
  /** Open connections fall silent, and new ones hang. */
  | 'hang';

/** The built program of the stand-ins. */
const PROGRAM = new URL('../dist/stand_in_main.js', import.meta.url).pathname;

/** Connections that fill the queue of a link whose process is stopped. */
const FILLING_CONNECTIONS = LINK_BACKLOG + 4;

/** The links of one host. */
export class LinkProcess {
  private readonly filling: Socket[] = [];
  private isStopped = false;

  private constructor(
    private readonly started: StartedProcess,
    /** Addresses of the upstreams from the host's point of view. */
    readonly addresses: readonly string[],
  ) {}

  /** Starts the links to `targets`. */
  static async start(targets: readonly string[]): Promise<LinkProcess> {
    const started = startProcess('links', PROGRAM, ['links', ...targets]);
    const addresses = (await firstLine(started)).split(',');
    return new LinkProcess(started, addresses);
  }

  /** Makes every link fail. */
  async cut(form: LinkCut): Promise<void> {
    if (form !== 'hang') {
      await this.order(form);
      return;
    }
    this.started.child.kill('SIGSTOP');
    this.isStopped = true;
    for (const address of this.addresses) {
      this.fillQueue(address);
    }
  }

  /** Makes every link work again. */
  async heal(): Promise<void> {
    this.filling.splice(0).forEach(socket => socket.destroy());
    if (this.isStopped) {
      this.isStopped = false;
      this.started.child.kill('SIGCONT');
      return;
    }
    await this.order('heal');
  }

  /** Ends the process. */
  async stop(): Promise<void> {
    this.filling.splice(0).forEach(socket => socket.destroy());
    this.started.child.kill('SIGKILL');
    await this.started.exited;
  }

  private fillQueue(address: string): void {
    const [host, port] = address.split(':');
    for (let count = 0; count < FILLING_CONNECTIONS; count += 1) {
      const socket = connect({host, port: Number(port)});
      socket.on('error', () => undefined);
      this.filling.push(socket);
    }
  }

  /**
   * Sends an order over the process's input and waits until it is done; rejects if the
   * process ends before.
   */
  private async order(order: RefusingLinkFault | 'heal'): Promise<void> {
    const {stdin, stdout} = this.started.child;
    if (stdin === null || stdout === null) {
      throw new Error('the links have no input or output');
    }
    const done = once(stdout, 'data');
    stdin.write(`${order}\n`);
    await Promise.race([done, this.rejectOnEnd()]);
  }

  private async rejectOnEnd(): Promise<never> {
    await this.started.exited;
    throw new Error(`the links ended: ${this.started.errorOutput()}`);
  }
}
