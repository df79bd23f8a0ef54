/** Tests of answers of upstreams that end with their connection or early. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {type Answer, RoutedInstallation} from './routed_fixtures.js';

/** How an answer ended for the client. */
type ClientEnd =
  /** With a length or with chunks, and completely. */
  | 'framed-as-complete'
  /** With its connection, which states nothing about completeness. */
  | 'with-its-connection'
  | 'broken-off';

/** Sends an answer on `socket`; `head` has a status line and its headers. */
type Behavior = (socket: Socket, head: string) => void;

interface BrokenOffCase {
  readonly name: string;
  readonly behavior: Behavior;
  readonly end: ClientEnd;
  readonly body?: string;
}

/** Milliseconds after which the data sent before has been read. */
const SETTLE_MILLISECONDS = 30;

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const EVENTS = 'id: 1\ndata: first\n\nid: 2\ndata: second\n\n';
const CUT_EVENT = 'id: 3\ndata: thi';
const LAST_EVENT = 'id: 3\ndata: third\n\n';
const REPORT_HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: ';

let installation: RoutedInstallation;
let server: Server;
let sockets: Socket[];
/** Behavior of the server for each request, the last one also for others. */
let behaviors: readonly Behavior[];
let requests: string[];
/** Number of reports on itself that the server gave. */
let reports: number;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  sockets = [];
  requests = [];
  reports = 0;
  server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (request: Buffer) => {
      if (request.toString().startsWith('GET /api/report ')) {
        reports += 1;
        const report = JSON.stringify({born: installation.engines[0]?.bornAt});
        socket.write(`${REPORT_HEAD}${report.length}\r\n\r\n${report}`);
        return;
      }
      requests.push(request.toString());
      const attemptId = /x-attempt-id: (\S+)/i.exec(request.toString())?.[1];
      const head = [
        'HTTP/1.1 200 OK',
        `X-Attempt-Id: ${attemptId ?? ''}`,
        'X-Response-Signature: signed',
        '',
      ].join('\r\n');
      const behavior = behaviors[requests.length - 1] ?? behaviors.at(-1);
      behavior?.(socket, head);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

afterEach(async () => {
  await installation.stop();
  sockets.forEach(socket => socket.destroy());
  server.close();
});

/** Makes the server the only upstreams of `service`, under two ids. */
async function startProcessWith(service: string): Promise<void> {
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  const [engine] = installation.engines;
  for (const {upstreamId} of installation.engines) {
    installation.store.put('keyed.servers', upstreamId, undefined);
  }
  for (const upstreamId of ['i-one', 'i-two']) {
    installation.store.put(
      'keyed.servers',
      upstreamId,
      engine?.entry(service, {address: `127.0.0.1:${port}`}),
    );
  }
  await installation.startProcess();
}

function clientEndOf({headers, isBroken}: Answer): ClientEnd {
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
function endWithConnection(body: string, header = ''): Behavior {
  return (socket, head) => socket.end(`${head}${header}\r\n${body}`);
}

/** Resets the connection of an answer without a length. */
function resetAfter(body: string): Behavior {
  return (socket, head) => {
    socket.write(`${head}\r\n${body}`);
    afterSettling(() => socket.resetAndDestroy());
  };
}

function sendInChunks(body: string, end: (socket: Socket) => void): Behavior {
  return (socket, head) => {
    socket.write(`${head}${CHUNKED}${chunkOf(body)}`);
    afterSettling(() => end(socket));
  };
}

describe('a stream', () => {
  beforeEach(() => startProcessWith('engines'));

  it.each<BrokenOffCase>([
    {
      name: 'without a length that ends inside an event is broken off',
      behavior: endWithConnection(`${EVENTS}${CUT_EVENT}`),
      end: 'broken-off',
    },
    {
      name: 'without a length, with `Connection: close`, that ends inside an event is broken off',
      behavior: endWithConnection(
        `${EVENTS}${CUT_EVENT}`,
        'Connection: close\r\n',
      ),
      end: 'broken-off',
    },
    {
      name: 'whose last coding is not chunks that ends inside an event is broken off',
      behavior: endWithConnection(
        `${EVENTS}${CUT_EVENT}`,
        'Transfer-Encoding: identity\r\n',
      ),
      end: 'broken-off',
    },
    {
      name: 'without a length that ends after an event is not framed as complete',
      behavior: endWithConnection(EVENTS),
      end: 'with-its-connection',
      body: EVENTS,
    },
    {
      name: 'without a length that is reset after an event is broken off',
      behavior: resetAfter(EVENTS),
      end: 'broken-off',
    },
    {
      name: 'in chunks that ends after an event is complete',
      behavior: sendInChunks(EVENTS, socket => socket.write('0\r\n\r\n')),
      end: 'framed-as-complete',
      body: EVENTS,
    },
    {
      name: 'in chunks that ends inside an event is broken off',
      behavior: sendInChunks(`${EVENTS}${CUT_EVENT}`, socket =>
        socket.write('0\r\n\r\n'),
      ),
      end: 'broken-off',
    },
    {
      name: 'in chunks without the last one is broken off',
      behavior: sendInChunks(EVENTS, socket => socket.end()),
      end: 'broken-off',
    },
  ])('$name', async ({behavior, end, body}) => {
    behaviors = [behavior];
    const answer = await installation.call({path: '/stream/1'});
    expect(answer.status).toBe(200);
    expect(clientEndOf(answer)).toBe(end);
    if (body !== undefined) {
      expect(answer.body).toBe(body);
    }
    expect(EVENTS).toContain(answer.body);
  });
});

describe('a stream that may be resumed', () => {
  beforeEach(() => startProcessWith('engines'));

  it.each<{
    readonly name: string;
    readonly first: Behavior;
    readonly second: Behavior;
    readonly end: ClientEnd;
  }>([
    {
      name: 'continues elsewhere after an end inside an event',
      first: endWithConnection(`${EVENTS}${CUT_EVENT}`),
      second: sendInChunks(LAST_EVENT, socket => socket.write('0\r\n\r\n')),
      end: 'with-its-connection',
    },
    {
      name: 'is not framed as complete if its continuation has no length',
      first: sendInChunks(`${EVENTS}${CUT_EVENT}`, socket =>
        socket.resetAndDestroy(),
      ),
      second: endWithConnection(LAST_EVENT),
      end: 'broken-off',
    },
  ])('$name', async ({first, second, end}) => {
    behaviors = [first, second];
    const answer = await installation.call({path: '/resumed/1'});
    expect(clientEndOf(answer)).toBe(end);
    expect(requests).toHaveLength(2);
    expect(requests[1]).toMatch(/last-event-id: 2/i);
    expect(reports).toBe(1);
    expect(answer.body).toBe(`${EVENTS}${LAST_EVENT}`);
  });
});

/** Sends a complete answer with a length. */
function sendWithLength(body: string, header = ''): Behavior {
  return (socket, head) =>
    socket.write(
      `${head}${header}Content-Length: ${body.length}\r\n\r\n${body}`,
    );
}

/** Sends a complete answer in chunks. */
function sendInWholeChunks(body: string, header = ''): Behavior {
  return (socket, head) =>
    socket.write(
      `${head}${header}${CHUNKED}${body === '' ? '' : chunkOf(body)}0\r\n\r\n`,
    );
}

const ERROR_TEXT = 'service unavailable';
const ERROR_EVENT = 'event: error\ndata: unavailable\n\n';
const SECOND_HEAD = `HTTP/1.1 503 Service Unavailable\r\nContent-Length: ${ERROR_TEXT.length}\r\n\r\n`;
const AFTER_GAP = 'id: 9\ndata: ninth\n\n';

// Guards against ends that were judged by their framing: the text of an upstream in
// trouble stood in the middle of a stream, which ended as if it were complete.
describe('a stream whose continuation is not its rest', () => {
  beforeEach(() => startProcessWith('engines'));

  const CONTINUATIONS: readonly {
    readonly name: string;
    readonly body: string;
    readonly header?: string;
  }[] = [
    {
      name: 'is text',
      body: ERROR_TEXT,
      header: 'Content-Type: text/plain\r\n',
    },
    {
      name: 'is text that looks like an event',
      body: LAST_EVENT,
      header: 'Content-Type: text/plain\r\n',
    },
    {name: 'has no event', body: ''},
    {name: 'has an error as JSON', body: '{"error":"unavailable"}'},
    {name: 'has an error as JSON with a blank line', body: '{"error":1}\n\n'},
    {name: 'has an error as an event without an id', body: ERROR_EVENT},
    {name: 'ends inside an event', body: CUT_EVENT},
    {name: 'ends inside its second event', body: `${LAST_EVENT}id: 4\nda`},
    {name: 'lacks events', body: AFTER_GAP},
    {name: 'has a second head', body: `${SECOND_HEAD}${ERROR_TEXT}`},
    {
      name: 'has a second head after an event',
      body: `${LAST_EVENT}${SECOND_HEAD}`,
    },
    {name: 'repeats what was sent, and no more', body: EVENTS},
  ];

  describe.each([
    {framing: 'with a length', send: sendWithLength},
    {framing: 'in chunks', send: sendInWholeChunks},
  ])('$framing', ({send}) => {
    it.each(CONTINUATIONS)(
      'is broken off if it $name',
      async ({body, header}) => {
        behaviors = [
          sendInChunks(EVENTS, socket => socket.resetAndDestroy()),
          send(body, header),
        ];
        const answer = await installation.call({path: '/resumed/1'});
        expect(requests).toHaveLength(2);
        expect(clientEndOf(answer)).toBe('broken-off');
        expect([EVENTS, `${EVENTS}${LAST_EVENT}`]).toContain(answer.body);
      },
    );
  });

  it('goes on with its rest after other text without an id', async () => {
    behaviors = [
      sendInChunks(EVENTS, socket => socket.resetAndDestroy()),
      sendWithLength(`: comment\n\n${LAST_EVENT}`),
    ];
    const answer = await installation.call({path: '/resumed/1'});
    expect(clientEndOf(answer)).toBe('framed-as-complete');
    expect(answer.body).toBe(`${EVENTS}${LAST_EVENT}`);
  });
});

describe('a first answer that is not a stream', () => {
  beforeEach(() => startProcessWith('engines'));

  it.each<{
    readonly name: string;
    readonly behavior: Behavior;
    readonly status: number;
  }>([
    {
      name: 'ends inside an event, with a length',
      behavior: sendWithLength(`${EVENTS}${CUT_EVENT}`),
      status: 200,
    },
    {
      name: 'has a second head, with a length',
      behavior: sendWithLength(`${EVENTS}${SECOND_HEAD}`),
      status: 200,
    },
    {
      name: 'has a second head, in chunks',
      behavior: sendInWholeChunks(`${EVENTS}${SECOND_HEAD}`),
      status: 200,
    },
    {
      name: 'is text',
      behavior: sendWithLength(ERROR_TEXT, 'Content-Type: text/plain\r\n'),
      status: 502,
    },
  ])('does not look complete if it $name', async ({behavior, status}) => {
    behaviors = [behavior];
    const answer = await installation.call({path: '/stream/1'});
    expect(answer.status).toBe(status);
    expect(answer.body).not.toContain(ERROR_TEXT);
    if (status === 200) {
      expect(clientEndOf(answer)).toBe('broken-off');
      expect(EVENTS).toContain(answer.body);
    }
  });

  it('is a stream if its type has parameters', async () => {
    behaviors = [
      sendWithLength(
        EVENTS,
        'Content-Type: text/event-stream; charset=utf-8\r\n',
      ),
    ];
    const answer = await installation.call({path: '/stream/1'});
    expect(answer.body).toBe(EVENTS);
    expect(clientEndOf(answer)).toBe('framed-as-complete');
  });
});

describe('an answer that is not streamed', () => {
  beforeEach(() => startProcessWith('plain'));

  it.each<BrokenOffCase & {readonly status: number}>([
    {
      name: 'without a length is not framed as complete',
      behavior: endWithConnection('whole or not'),
      status: 200,
      end: 'with-its-connection',
      body: 'whole or not',
    },
    {
      name: 'with a length is complete',
      behavior: (socket, head) =>
        socket.end(`${head}Content-Length: 5\r\n\r\nwhole`),
      status: 200,
      end: 'framed-as-complete',
      body: 'whole',
    },
    {
      name: 'without a length that is reset has an unknown outcome',
      behavior: resetAfter('whole or'),
      status: 502,
      end: 'framed-as-complete',
    },
  ])('$name', async ({behavior, status, end, body}) => {
    behaviors = [behavior];
    const answer = await installation.call({path: '/once/1'});
    expect(answer.status).toBe(status);
    expect(clientEndOf(answer)).toBe(end);
    if (body !== undefined) {
      expect(answer.body).toBe(body);
    }
  });

  // Guards against statuses that are none, which clients got as answers.
  it.each([
    '000',
    '007',
    '099',
    '100',
    '101',
    '600',
    '999',
    '1000',
    '2e2',
    '-20',
  ])('with status %s is no answer', async status => {
    behaviors = [
      (socket, head) =>
        socket.end(
          `${head.replace('200 OK', status)}Content-Length: 5\r\n\r\nwhole`,
        ),
    ];
    const answer = await installation.call({path: '/once/1'});
    expect(answer.status).toBe(502);
    expect(answer.body).not.toContain('whole');
  });

  it('without a length leaves a usable host behind', async () => {
    behaviors = [
      endWithConnection('first'),
      (socket, head) => socket.end(`${head}Content-Length: 6\r\n\r\nsecond`),
    ];
    const first = await installation.call({path: '/once/1'});
    const second = await installation.call({path: '/once/2'});
    expect([first.body, second.body]).toEqual(['first', 'second']);
  });
});
