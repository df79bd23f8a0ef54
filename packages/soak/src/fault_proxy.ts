/**
 * A proxy on loopback through which a link is made to fail.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from 'node:net';

import type {LinkFault} from './fault_plan.js';

/** Milliseconds by which a slow link delays each piece. */
const DELAY_MILLISECONDS = 150;

interface Link {
  readonly client: Socket;
  readonly server: Socket;
}

/** A link to one server. */
export class FaultProxy {
  private fault: LinkFault | undefined;
  private readonly links = new Set<Link>();
  private listener: Server | undefined;

  constructor(private readonly target: string) {}

  /** IP number and port of the proxy. */
  get address(): string {
    const {port} = this.listener?.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Listens at a free port. */
  listen(): Promise<void> {
    const listener = createServer(client => this.onClient(client));
    this.listener = listener;
    return new Promise((resolve, reject) => {
      listener.once('error', reject);
      listener.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Fails from now on, or works again without a fault. */
  setFault(fault: LinkFault | undefined): void {
    this.fault = fault;
    if (fault === 'reset') {
      this.resetAll();
    }
    if (fault === undefined) {
      // Bytes are missing on links that were cut: they can only be closed.
      this.resetAll();
    }
  }

  /** Closes every link and stops listening. */
  close(): Promise<void> {
    this.resetAll();
    return new Promise(resolve => {
      if (this.listener === undefined) {
        resolve();
        return;
      }
      this.listener.close(() => resolve());
    });
  }

  private onClient(client: Socket): void {
    if (this.fault === 'reset') {
      client.on('error', () => undefined);
      reset(client);
      return;
    }
    const [host, port] = this.target.split(':');
    const server = connect({host, port: Number(port), noDelay: true});
    const link: Link = {client, server};
    this.links.add(link);
    this.pass(link, client, server, 'cut-to-server');
    this.pass(link, server, client, 'cut-to-client');
  }

  private pass(link: Link, from: Socket, to: Socket, cut: LinkFault): void {
    const write = (deliver: () => void): void => {
      switch (this.fault) {
        case 'silence':
        case cut:
          return;
        case 'delay':
          setTimeout(deliver, DELAY_MILLISECONDS);
          return;
        case 'cut-to-client':
        case 'cut-to-server':
        case 'reset':
        case undefined:
          deliver();
      }
    };
    from.on('data', (chunk: Buffer) => write(() => to.write(chunk)));
    from.on('end', () => write(() => to.end()));
    from.on('error', () => write(() => reset(to)));
    from.on('close', () => {
      if (link.client.destroyed && link.server.destroyed) {
        this.links.delete(link);
      }
    });
  }

  private resetAll(): void {
    for (const {client, server} of this.links) {
      reset(client);
      reset(server);
    }
    this.links.clear();
  }
}

/**
 * Resets a connection. One that is being closed cannot be reset any more: Node.js
 * would wait for its handle for ever when the process ends.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded || socket.connecting) {
    socket.destroy();
    return;
  }
  socket.resetAndDestroy();
}
