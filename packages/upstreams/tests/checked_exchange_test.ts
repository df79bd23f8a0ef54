/** Tests of requests that are sent only after a check on their connection. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {
  CheckNotMetError,
  ConnectionPool,
  OtherProcessError,
} from '../src/index.js';

const SETTLE_MILLISECONDS = 50;
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const REQUIRED_START = 17;
const REPORT = answerWith('17');

/** Returns an answer with a body of two bytes. */
function answerWith(body: string, status = 200, headers = ''): string {
  return `HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n${headers}\r\n${body}`;
}

interface Observed {
  /** Request lines in the order of arrival, each with its connection. */
  readonly lines: string[];
}

const servers: Server[] = [];
const pool = new ConnectionPool(() => performance.now());

afterEach(() => {
  servers.splice(0).forEach(server => server.close());
  pool.closeAllIdle();
});

/** Listens and answers the check by `onCheck` and every other request. */
function listen(
  onCheck: (socket: Socket) => void,
  observed: Observed,
): Promise<string> {
  let connections = 0;
  const server = createServer(socket => {
    connections += 1;
    const connection = connections;
    socket.on('error', () => undefined);
    socket.on('data', data => {
      const path = data.toString().split(' ')[1] ?? '';
      observed.lines.push(`${connection} ${path}`);
      if (path === '/check') {
        onCheck(socket);
        return;
      }
      socket.write(ANSWER);
    });
  });
  servers.push(server);
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address();
      const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
      resolve(`127.0.0.1:${port}`);
    });
  });
}

/** Waits until the ends of connections have been read. */
function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS));
}

/** What became of a request. */
interface Sent {
  readonly error?: Error;
  /** Start that the process has reported on the connection of the answer. */
  readonly reportedStart?: number | undefined;
  readonly isNew?: boolean;
}

function send(address: string, isOptional = false): Promise<Sent> {
  return new Promise(resolve => {
    let sent: Sent = {};
    pool.send(
      {
        address,
        method: 'POST',
        path: '/call',
        headers: [],
        body: Buffer.from('question'),
        maximumIdleMilliseconds: 5000,
        maximumConnections: 2,
        maximumMilliseconds: 5000,
        check: {
          path: '/check',
          maximumMilliseconds: 200,
          readStart: ({status}, body) =>
            status === 200 && /^\d+$/.test(body.toString())
              ? Number(body.toString())
              : undefined,
          requiredStart: REQUIRED_START,
          isOptional,
        },
      },
      {
        onSend: ({isNew}) => {
          sent = {...sent, isNew};
          return true;
        },
        onHead: ({reportedStart}) => {
          sent = {...sent, reportedStart};
        },
        onData: () => undefined,
        onEnd: () => resolve(sent),
        onError: (error, wasSent) => {
          expect(wasSent).toBe(false);
          resolve({error});
        },
      },
    );
  });
}

describe('a request that requires a process', () => {
  it('is sent over the connection on which that process reports its start', async () => {
    const observed: Observed = {lines: []};
    const address = await listen(socket => socket.write(REPORT), observed);
    expect(await send(address)).toEqual({
      reportedStart: REQUIRED_START,
      isNew: true,
    });
    expect(observed.lines).toEqual(['1 /check', '1 /call']);
  });

  it('is sent without another check over the same connection', async () => {
    const observed: Observed = {lines: []};
    const address = await listen(socket => socket.write(REPORT), observed);
    await send(address);
    expect(await send(address)).toEqual({
      reportedStart: REQUIRED_START,
      isNew: false,
    });
    expect(observed.lines).toEqual(['1 /check', '1 /call', '1 /call']);
  });

  // Guards against streams of a process that had replaced the listed one (review/11).
  it.each<{
    readonly name: string;
    readonly end: (socket: Socket, address: string) => void;
  }>([
    {name: 'the upstream closes', end: socket => socket.end()},
    {name: 'the upstream resets', end: socket => socket.resetAndDestroy()},
    {
      name: 'its host closes',
      end: (_socket, address) => pool.closeIdle(address),
    },
  ])(
    'is checked again on the connection after one that $name',
    async ({end}) => {
      const observed: Observed = {lines: []};
      const connections: Socket[] = [];
      const address = await listen(socket => {
        connections.push(socket);
        socket.write(REPORT);
      }, observed);
      await send(address);
      connections.forEach(socket => end(socket, address));
      await settle();
      await send(address);
      expect(observed.lines).toEqual([
        '1 /check',
        '1 /call',
        '2 /check',
        '2 /call',
      ]);
    },
  );

  const unansweredChecks: readonly {
    readonly name: string;
    readonly onCheck: (socket: Socket) => void;
    readonly error: ErrorConstructor | typeof CheckNotMetError;
    /** What arrives at the upstream if the report is optional. */
    readonly optional: readonly string[];
  }[] = [
    {
      name: 'its check is answered without a start',
      onCheck: socket => socket.write(answerWith('no')),
      error: CheckNotMetError,
      optional: ['1 /check', '1 /call'],
    },
    {
      name: 'its check is refused',
      onCheck: socket => socket.write(answerWith('17', 404)),
      error: CheckNotMetError,
      optional: ['1 /check', '1 /call'],
    },
    {
      name: 'the connection closes after its check',
      onCheck: socket =>
        socket.end(answerWith('17', 200, 'Connection: close\r\n')),
      error: CheckNotMetError,
      optional: ['1 /check', '2 /call'],
    },
    {
      name: 'the connection is lost during its check',
      onCheck: socket => socket.destroy(),
      error: Error,
      optional: ['1 /check', '2 /call'],
    },
    {
      name: 'its check gets no answer',
      onCheck: () => undefined,
      error: Error,
      optional: ['1 /check', '2 /call'],
    },
  ];

  it.each(unansweredChecks)(
    'is not sent if $name',
    async ({onCheck, error}) => {
      const observed: Observed = {lines: []};
      const address = await listen(onCheck, observed);
      const sent = await send(address);
      expect(sent.error).toBeInstanceOf(error);
      expect(sent.error).not.toBeInstanceOf(OtherProcessError);
      expect(observed.lines).toEqual(['1 /check']);
    },
  );

  it.each(unansweredChecks)(
    'is sent with an unknown process if $name and the report is optional',
    async ({onCheck, optional}) => {
      const observed: Observed = {lines: []};
      const address = await listen(onCheck, observed);
      expect(await send(address, true)).toEqual({
        reportedStart: undefined,
        isNew: true,
      });
      expect(observed.lines).toEqual(optional);
    },
  );

  it.each([{isOptional: false}, {isOptional: true}])(
    'is not sent if another process answers, optional: $isOptional',
    async ({isOptional}) => {
      const observed: Observed = {lines: []};
      const onCheck = (socket: Socket): void => {
        socket.write(answerWith('18'));
      };
      const address = await listen(onCheck, observed);
      const {error} = await send(address, isOptional);
      expect(error).toBeInstanceOf(OtherProcessError);
      expect(observed.lines).toEqual(['1 /check']);
      // A connection of that process is not used for the required one.
      await send(address, isOptional);
      expect(observed.lines).toEqual(['1 /check', '2 /check']);
    },
  );
});
