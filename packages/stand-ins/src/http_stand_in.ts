/**
 * HTTP server and JSON helpers that the stand-ins share.
 */
import {once} from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';

/** A running HTTP server. */
export interface StandInServer {
  readonly port: number;
  /** IP address and port. */
  readonly address: string;
  /** Destroys every connection, as a crash does. */
  dropConnections(): void;
  close(): Promise<void>;
}

/** Handles one request. */
export type StandInHandler = (
  message: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Starts a server on loopback; port 0 selects a free port. */
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
  const boundPort =
    typeof address === 'object' && address !== null ? address.port : port;
  const dropConnections = (): void => {
    for (const socket of sockets) {
      socket.destroy();
    }
  };
  return {
    port: boundPort,
    address: `127.0.0.1:${boundPort}`,
    dropConnections,
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        dropConnections();
      }),
  };
}

/** Base class of stand-ins that listen on loopback. */
export abstract class ListeningStandIn {
  private server: StandInServer | undefined;

  /** IP address and port; empty before `listen`. */
  get address(): string {
    return this.server?.address ?? '';
  }

  /** Starts listening; port 0 selects a free port. */
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

/** Reads a complete body as text. */
export async function readText(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/** Reads a JSON body; an empty body gives an empty object. */
export async function readJson(
  message: IncomingMessage,
): Promise<Readonly<Record<string, unknown>>> {
  const text = await readText(message);
  return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}

/** Sends a JSON answer. */
export function writeJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}

/** Returns the URL of a request. */
export function urlOf(message: IncomingMessage): URL {
  return new URL(message.url ?? '/', 'http://stand-in');
}

/** Resolves after `milliseconds`. */
export function delay(milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, milliseconds);
  });
}

/** Sends `piece` again and again until the connection closes. */
export async function sendWithoutEnd(
  response: ServerResponse,
  piece: Buffer,
  pauseMilliseconds: number,
): Promise<void> {
  const closing = new AbortController();
  response.once('close', () => closing.abort());
  while (!closing.signal.aborted) {
    const canContinue = response.write(piece);
    if (canContinue) {
      await delay(pauseMilliseconds);
      continue;
    }
    await once(response, 'drain', {signal: closing.signal}).catch(
      () => undefined,
    );
  }
}
