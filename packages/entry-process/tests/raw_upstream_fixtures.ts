/** An upstream whose answers tests write byte by byte. */
import {createServer, type Server, type Socket} from 'node:net';

import {type Answer, RoutedInstallation} from './routed_fixtures.js';

/** How an answer ended for the client. */
export type ClientEnd =
  /** With a length or with chunks, and completely. */
  | 'framed-as-complete'
  /** With its connection, which states nothing about completeness. */
  | 'with-its-connection'
  | 'broken-off';

/** Sends an answer on `socket`; `head` has a status line and its headers. */
export type Behavior = (socket: Socket, head: string) => void;

/** Milliseconds after which the data sent before has been read. */
const SETTLE_MILLISECONDS = 30;

/** The last header line of an answer in chunks. */
export const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
/** The first two of the three events of a stream. */
export const EVENTS = 'id: 1\ndata: first\n\nid: 2\ndata: second\n\n';
/** The third event, cut off. */
export const CUT_EVENT = 'id: 3\ndata: thi';
/** The third event. */
export const LAST_EVENT = 'id: 3\ndata: third\n\n';
const REPORT_HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: ';

/** An installation whose only upstream is a server of the test, under two ids. */
export class RawUpstream {
  /** Behavior of the server for each request, the last one also for others. */
  behaviors: readonly Behavior[] = [];
  readonly requests: string[] = [];
  /** Number of reports on itself that the server gave. */
  reports = 0;
  private readonly sockets: Socket[] = [];
  private readonly server: Server;

  private constructor(readonly installation: RoutedInstallation) {
    this.server = createServer(socket => this.accept(socket));
  }

  /** Starts the server, and a process that lists it as `service`. */
  static async start(service: string): Promise<RawUpstream> {
    const upstream = new RawUpstream(await RoutedInstallation.start());
    await new Promise<void>(resolve => {
      upstream.server.listen(0, '127.0.0.1', resolve);
    });
    await upstream.startProcess(service);
    return upstream;
  }

  async stop(): Promise<void> {
    await this.installation.stop();
    this.sockets.forEach(socket => socket.destroy());
    this.server.close();
  }

  /** Requests `path` of the process. */
  call(path: string): Promise<Answer> {
    return this.installation.call({path});
  }

  private accept(socket: Socket): void {
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (request: Buffer) => {
      this.answer(socket, request.toString());
    });
  }

  private answer(socket: Socket, request: string): void {
    if (request.startsWith('GET /api/report ')) {
      this.reports += 1;
      const [engine] = this.installation.engines;
      const report = JSON.stringify({born: engine?.bornAt});
      socket.write(`${REPORT_HEAD}${report.length}\r\n\r\n${report}`);
      return;
    }
    this.requests.push(request);
    const attemptId = /x-attempt-id: (\S+)/i.exec(request)?.[1];
    const head = [
      'HTTP/1.1 200 OK',
      `X-Attempt-Id: ${attemptId ?? ''}`,
      'X-Response-Signature: signed',
      '',
    ].join('\r\n');
    const behavior =
      this.behaviors[this.requests.length - 1] ?? this.behaviors.at(-1);
    behavior?.(socket, head);
  }

  private async startProcess(service: string): Promise<void> {
    const address = this.server.address();
    const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
    const {engines, store} = this.installation;
    for (const {upstreamId} of engines) {
      store.put('keyed.servers', upstreamId, undefined);
    }
    for (const upstreamId of ['i-one', 'i-two']) {
      store.put(
        'keyed.servers',
        upstreamId,
        engines[0]?.entry(service, {address: `127.0.0.1:${port}`}),
      );
    }
    await this.installation.startProcess();
  }
}

/** Returns how `answer` ended for the client. */
export function clientEndOf({headers, isBroken}: Answer): ClientEnd {
  if (isBroken) {
    return 'broken-off';
  }
  const isFramed =
    headers['transfer-encoding'] !== undefined ||
    headers['content-length'] !== undefined;
  return isFramed ? 'framed-as-complete' : 'with-its-connection';
}

function chunkOf(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function afterSettling(action: () => void): void {
  setTimeout(action, SETTLE_MILLISECONDS);
}

/** Ends an answer without a length by FIN. */
export function endWithConnection(body: string, header = ''): Behavior {
  return (socket, head) => socket.end(`${head}${header}\r\n${body}`);
}

/** Resets the connection of an answer without a length. */
export function resetAfter(body: string): Behavior {
  return (socket, head) => {
    socket.write(`${head}\r\n${body}`);
    afterSettling(() => socket.resetAndDestroy());
  };
}

/** Sends a chunk and ends the answer as `end` does. */
export function sendInChunks(
  body: string,
  end: (socket: Socket) => void,
): Behavior {
  return (socket, head) => {
    socket.write(`${head}${CHUNKED}${chunkOf(body)}`);
    afterSettling(() => end(socket));
  };
}

/** Sends a complete answer with a length. */
export function sendWithLength(body: string, header = ''): Behavior {
  return (socket, head) =>
    socket.write(
      `${head}${header}Content-Length: ${body.length}\r\n\r\n${body}`,
    );
}

/** Sends a complete answer in chunks. */
export function sendInWholeChunks(body: string, header = ''): Behavior {
  return (socket, head) =>
    socket.write(
      `${head}${header}${CHUNKED}${body === '' ? '' : chunkOf(body)}0\r\n\r\n`,
    );
}

/** Body of an error answer that is plain text. */
export const ERROR_TEXT = 'service unavailable';
/** Head of an error answer with `ERROR_TEXT` as its body. */
export const SECOND_HEAD = `HTTP/1.1 503 Service Unavailable\r\nContent-Length: ${ERROR_TEXT.length}\r\n\r\n`;
