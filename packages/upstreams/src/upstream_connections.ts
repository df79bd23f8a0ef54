/**
 * Persistent and single-use connections to upstreams.
 */
import {Agent, Client, type Dispatcher} from 'undici';

import {createUpstreamConnector} from './upstream_socket.js';

/** Milliseconds allowed to connect; another way is taken afterwards. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Idle milliseconds after which a persistent connection is closed. */
const KEEP_ALIVE_MILLISECONDS = 4000;

/** Connections to upstreams, persistent where a repeated call is harmless. */
export class UpstreamConnections {
  private readonly agent = new Agent({
    connect: createUpstreamConnector(CONNECT_TIMEOUT_MILLISECONDS),
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });

  /** Dispatcher whose connections are kept open and reused. */
  get persistent(): Dispatcher {
    return this.agent;
  }

  /**
   * Returns a client for one call that may not be repeated. The upstream could
   * close a persistent connection just as the call is written, which would
   * leave it unknown whether the call ran.
   */
  openSingleUse(origin: string): Client {
    return new Client(origin, {
      connect: createUpstreamConnector(CONNECT_TIMEOUT_MILLISECONDS),
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
  }

  /** Closes all persistent connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
