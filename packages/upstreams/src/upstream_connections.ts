/**
 * Connections to upstreams.
 */
import {Agent, Client, type Dispatcher} from 'undici';

const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/** Idle milliseconds after which a kept connection is closed. */
const KEEP_ALIVE_MILLISECONDS = 4000;

/** Connections to upstreams, kept open where a repeated attempt is harmless. */
export class UpstreamConnections {
  private readonly agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });

  /** Connections that are kept open and used again. */
  get kept(): Dispatcher {
    return this.agent;
  }

  /**
   * A connection for one call that may not be repeated. A kept connection
   * could be closed by the upstream just as the call is written, which would
   * leave it unknown whether the call ran.
   */
  open(origin: string): Client {
    return new Client(origin, {
      connect: {timeout: CONNECT_TIMEOUT_MILLISECONDS},
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
