/**
 * A small JSON HTTP server for the stand-ins.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

/** A running stand-in server. */
export interface StandInServer {
  readonly port: number;
  /** IP number and port. */
  readonly address: string;
  /** Destroys every connection, as a crash would. */
  dropConnections(): void;
  close(): Promise<void>;
}

/** Answers one request. */
export type StandInHandler = (
  message: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Starts a server on loopback; port 0 takes a free one. */
export async function startServer(
  port: number,
  handler: StandInHandler,
): Promise<StandInServer> {
  const sockets = new Set<Socket>();
  const server = createServer((message, response) => {
    void (async () => {
      try {
        await handler(message, response);
      } catch {
        response.destroy();
      }
    })();
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address();
  const actualPort =
    typeof address === 'object' && address !== null ? address.port : port;
  const dropConnections = (): void => {
    for (const socket of sockets) {
      socket.destroy();
    }
  };
  return {
    port: actualPort,
    address: `127.0.0.1:${actualPort}`,
    dropConnections,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        dropConnections();
      }),
  };
}

/** A stand-in that listens on loopback. */
export abstract class ListeningStandIn {
  private server: StandInServer | undefined;

  /** IP number and port. */
  get address(): string {
    return this.server?.address ?? '';
  }

  /** Starts to listen; port 0 takes a free one. */
  async listen(port = 0): Promise<void> {
    this.server = await startServer(port, (message, response) =>
      this.handle(message, response),
    );
  }

  close(): Promise<void> {
    return this.server?.close() ?? Promise.resolve();
  }

  /** Destroys every connection, as a crash or an outage does. */
  dropConnections(): void {
    this.server?.dropConnections();
  }

  protected abstract handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> | void;
}

/** Reads a whole body. */
export async function readWhole(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/** Reads a JSON body; an empty one is an empty object. */
export async function readJson(
  message: IncomingMessage,
): Promise<Readonly<Record<string, unknown>>> {
  const text = await readWhole(message);
  return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}

/** Writes a JSON answer. */
export function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}

/** The URL of a request. */
export function urlOf(message: IncomingMessage): URL {
  return new URL(message.url ?? '/', 'http://stand-in');
}

/** Resolves after `milliseconds`. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}
