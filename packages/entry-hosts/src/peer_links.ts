/**
 * The client side of the connections between entry processes.
 */
import {connect, type Socket} from 'node:net';

import {
  isJSONRPCResponse,
  JSONRPCClient,
  JSONRPCErrorException,
} from 'json-rpc-2.0';

import {FrameReader, writeFrame} from './frame_codec.js';
import {parseAddress} from './parse_address.js';
import {PeerError} from './peer_error.js';
import type {PeerMethod, PeerParams, PeerResult} from './peer_methods.js';

/**
 * Milliseconds after which an attempt to connect is abandoned. A host without
 * power does not answer; a new attempt reaches it as soon as it is back, while
 * the system repeats the first packet of the old one after a second.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/** Calls to other entry processes. */
export interface PeerClient {
  /**
   * Calls `method` at `address` and waits for the result. Rejects with
   * `PeerError`, also if no connection is made within the time for a response.
   */
  call<M extends PeerMethod>(
    address: string,
    method: M,
    params: PeerParams<M>,
    timeoutMilliseconds: number,
  ): Promise<PeerResult<M>>;
  /**
   * Sends a notification to `address` without waiting for delivery. It may be
   * lost.
   */
  notify<M extends PeerMethod>(
    address: string,
    method: M,
    params: PeerParams<M>,
  ): void;
  /** Closes all connections. */
  close(): void;
}

interface Link {
  readonly socket: Socket;
  readonly rpc: JSONRPCClient;
  readonly connected: Promise<void>;
}

/** Creates a client that keeps one connection open to each address it uses. */
export function createPeerClient(): PeerClient {
  const links = new Map<string, Link>();
  const getOrOpenLink = (address: string): Link => {
    const existing = links.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const link = openLink(address, () => {
      if (links.get(address) === link) {
        links.delete(address);
      }
    });
    links.set(address, link);
    return link;
  };
  return {
    call: async (address, method, params, timeoutMilliseconds) => {
      const link = getOrOpenLink(address);
      await connectedWithin(link, address, timeoutMilliseconds);
      return callLink(link, method, params, timeoutMilliseconds);
    },
    notify: (address, method, params) => {
      const link = getOrOpenLink(address);
      link.connected.then(
        () => link.rpc.notify(method, params),
        () => undefined,
      );
    },
    close: () => {
      for (const link of links.values()) {
        link.socket.destroy();
      }
      links.clear();
    },
  };
}

function connectedWithin(
  {connected}: Link,
  address: string,
  milliseconds: number,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new PeerError('unreachable', `no connection to ${address}`)),
      milliseconds,
    );
    connected.then(resolve, reject).finally(() => clearTimeout(timer));
  });
}

async function callLink<M extends PeerMethod>(
  link: Link,
  method: M,
  params: PeerParams<M>,
  timeoutMilliseconds: number,
): Promise<PeerResult<M>> {
  try {
    const result: unknown = await link.rpc
      .timeout(timeoutMilliseconds, id => ({
        jsonrpc: '2.0',
        id,
        error: {code: TIMEOUT_ERROR_CODE, message: 'timeout'},
      }))
      .request(method, params);
    return result as PeerResult<M>;
  } catch (error) {
    throw toPeerError(method, error);
  }
}

/** JSON-RPC error code of a call whose response did not arrive in time. */
const TIMEOUT_ERROR_CODE = -32_050;

function toPeerError(method: string, error: unknown): PeerError {
  if (
    error instanceof JSONRPCErrorException &&
    error.code !== TIMEOUT_ERROR_CODE
  ) {
    return new PeerError('refused', `${method}: ${error.message}`);
  }
  const reason = error instanceof Error ? error.message : 'connection lost';
  return new PeerError('unanswered', `${method}: ${reason}`);
}

function openLink(address: string, onClose: () => void): Link {
  const {host, port} = parseAddress(address);
  const socket = connect({host, port, noDelay: true});
  const rpc = new JSONRPCClient(frame => {
    if (socket.destroyed) {
      throw new Error('connection lost');
    }
    writeFrame(socket, frame);
  });
  new FrameReader(socket, {
    onFrame: frame => {
      if (isJSONRPCResponse(frame)) {
        rpc.receive(frame);
      }
    },
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    rpc.rejectAllPendingRequests('connection lost');
    onClose();
  });
  return {socket, rpc, connected: waitForConnection(socket, address)};
}

function waitForConnection(socket: Socket, address: string): Promise<void> {
  const connected = new Promise<void>((resolve, reject) => {
    const timer = setTimeout(
      () => socket.destroy(),
      CONNECT_TIMEOUT_MILLISECONDS,
    );
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.once('close', () => {
      clearTimeout(timer);
      reject(new PeerError('unreachable', `no connection to ${address}`));
    });
  });
  connected.catch(() => undefined);
  return connected;
}
