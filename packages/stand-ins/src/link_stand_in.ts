/**
 * Links from one host to several upstreams: a TCP proxy for each of them. They
 * run in a process of their own, because only a stopped process makes new
 * connections hang.
 */
import {connect, createServer, type Server, type Socket} from 'node:net';

import {findFreePorts} from './free_ports.js';

/** How the links of a host can fail while its other links work. */
export type RefusingLinkFault =
  /** Connections are reset, and new ones are refused. */
  | 'reset'
  /** New connections are refused; open ones still work. */
  | 'refuse-new';

/**
 * Connections that wait for a stopped process; small, so that a test can fill
 * the queue, whereupon further connections hang.
 */
export const LINK_BACKLOG = 16;

/** The link to one upstream. */
class Link {
  private server: Server | undefined;
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly target: string,
    /** A reserved port, which stays free while new connections are refused. */
    private readonly port: number,
  ) {}

  /** IP address and port at which the host reaches the upstream. */
  get address(): string {
    return `127.0.0.1:${this.port}`;
  }

  /** Starts listening, at the same port as before. */
  listen(): Promise<void> {
    const server = createServer(client => this.accept(client));
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, '127.0.0.1', LINK_BACKLOG, resolve);
    });
  }

  refuseNew(): void {
    this.server?.close();
    this.server = undefined;
  }

  reset(): void {
    this.refuseNew();
    for (const socket of this.sockets) {
      socket.resetAndDestroy();
    }
  }

  async heal(): Promise<void> {
    if (this.server === undefined) {
      await this.listen();
    }
  }

  private accept(client: Socket): void {
    const [host, port] = this.target.split(':');
    const server = connect({host, port: Number(port), noDelay: true});
    const ends = [client, server];
    for (const socket of ends) {
      this.sockets.add(socket);
      socket.on('error', () => ends.forEach(end => end.resetAndDestroy()));
      socket.on('close', () => {
        this.sockets.delete(socket);
        ends.forEach(end => end.destroy());
      });
    }
    client.setNoDelay(true);
    client.pipe(server);
    server.pipe(client);
  }
}

/** The links from one host to several upstreams. */
export class LinkStandIn {
  private links: readonly Link[] = [];

  constructor(private readonly targets: readonly string[]) {}

  /** Addresses of the upstreams from the host's point of view. */
  get addresses(): readonly string[] {
    return this.links.map(({address}) => address);
  }

  /** Starts listening. */
  async listen(): Promise<void> {
    const ports = await findFreePorts(this.targets.length);
    this.links = this.targets.flatMap((target, index) => {
      const port = ports[index];
      return port === undefined ? [] : [new Link(target, port)];
    });
    await Promise.all(this.links.map(link => link.listen()));
  }

  /** Makes all links fail, or work again if `fault` is undefined. */
  async setFault(fault: RefusingLinkFault | undefined): Promise<void> {
    switch (fault) {
      case 'reset':
        this.links.forEach(link => link.reset());
        return;
      case 'refuse-new':
        this.links.forEach(link => link.refuseNew());
        return;
      case undefined:
        await Promise.all(this.links.map(link => link.heal()));
    }
  }
}
