/**
 * A loopback TCP proxy that simulates failures of a network link.
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from 'node:net';

import type {LinkFault} from './fault_plan.js';

/** Delay that a slow link adds to each chunk. */
const DELAY_MILLISECONDS = 150;

/** The two connections of a proxied client. */
interface Link {
  readonly client: Socket;
  readonly server: Socket;
}

/** A proxy for the link to one server, which can be made to fail. */
export class FaultProxy {
  private fault: LinkFault | undefined;
  private readonly links = new Set<Link>();
  private listener: Server | undefined;

  constructor(private readonly targetAddress: string) {}

  /** IP address and port of the proxy. */
  get address(): string {
    const {port} = this.listener?.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Starts listening at a free port. */
  listen(): Promise<void> {
    const listener = createServer(client => this.acceptClient(client));
    this.listener = listener;
    return new Promise((resolve, reject) => {
      listener.once('error', reject);
      listener.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Makes the link fail, or work again if `fault` is undefined. */
  setFault(fault: LinkFault | undefined): void {
    this.fault = fault;
    if (fault === 'reset') {
      this.resetAll();
    }
    if (fault === undefined) {
      // Connections that lost bytes during the fault cannot be used any more.
      this.resetAll();
    }
  }

  /** Resets all connections and stops listening. */
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

  private acceptClient(client: Socket): void {
    if (this.fault === 'reset') {
      client.on('error', () => undefined);
      reset(client);
      return;
    }
    const [host, port] = this.targetAddress.split(':');
    const server = connect({host, port: Number(port), noDelay: true});
    const link: Link = {client, server};
    this.links.add(link);
    this.forward(link, client, server, 'cut-to-server');
    this.forward(link, server, client, 'cut-to-client');
  }

  private forward(
    link: Link,
    from: Socket,
    to: Socket,
    cutFault: LinkFault,
  ): void {
    const applyFault = (deliver: () => void): void => {
      switch (this.fault) {
        case 'silence':
        case cutFault:
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
    from.on('data', (chunk: Buffer) => applyFault(() => to.write(chunk)));
    from.on('end', () => applyFault(() => to.end()));
    from.on('error', () => applyFault(() => reset(to)));
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
 * Resets a connection. A connection that is being closed or is not established
 * yet is destroyed instead: after a reset Node.js would wait for its handle
 * forever when the process ends.
 */
function reset(socket: Socket): void {
  if (socket.writableEnded || socket.connecting) {
    socket.destroy();
    return;
  }
  socket.resetAndDestroy();
}
