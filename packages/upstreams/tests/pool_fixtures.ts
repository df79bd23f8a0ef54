/** Upstreams and requests for tests of the connection pool. */
import {createServer, type Server, type Socket} from 'node:net';

import type {ConnectionPool} from '../src/index.js';

/** What an upstream does when bytes arrive. */
export type Behavior = (socket: Socket) => void;

/** What became of a request. */
export interface Result {
  readonly status: number | undefined;
  readonly body: string;
  readonly end: 'complete' | 'error';
  readonly wasSent: boolean;
}

const servers: Server[] = [];
/** Connections that upstreams have accepted. */
export const sockets: Socket[] = [];

/** Closes all upstreams and their connections. */
export function closeUpstreams(): void {
  sockets.splice(0).forEach(socket => socket.destroy());
  servers.splice(0).forEach(server => server.close());
}

/** Starts an upstream and returns its address. */
export function listen(behavior: Behavior): Promise<string> {
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => behavior(socket));
  });
  servers.push(server);
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      resolve(
        `127.0.0.1:${typeof address === 'object' ? (address?.port ?? 0) : 0}`,
      );
    });
  });
}

/** Options of a request. */
export interface SendOptions {
  readonly attemptId?: string;
  readonly maximumConnections?: number;
  /** Whether the connection is not to be used again. */
  readonly isRetired?: boolean;
}

/** Sends a request through `pool` and returns what became of it. */
export function sendThrough(
  pool: ConnectionPool,
  address: string,
  {attemptId, maximumConnections = 2, isRetired = false}: SendOptions = {},
): Promise<Result> {
  return new Promise(resolve => {
    let status: number | undefined;
    let wasSent = false;
    const chunks: Buffer[] = [];
    const finish = (end: Result['end']): void =>
      resolve({status, body: Buffer.concat(chunks).toString(), end, wasSent});
    const exchange = pool.send(
      {
        address,
        method: 'POST',
        path: '/call',
        headers: ['x-test', '1'],
        body: Buffer.from('question'),
        maximumIdleMilliseconds: 5000,
        maximumConnections,
        maximumMilliseconds: 2000,
        attemptId,
      },
      {
        onSend: () => {
          wasSent = true;
          return true;
        },
        onHead: head => {
          ({status} = head);
          if (isRetired) {
            exchange?.retire();
          }
        },
        onData: chunk => chunks.push(chunk),
        onEnd: () => finish('complete'),
        onError: () => finish('error'),
      },
    );
  });
}
