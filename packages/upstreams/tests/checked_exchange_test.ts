/** Tests of requests that are sent only after a check on their connection. */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, describe, expect, it} from 'vitest';

import {CheckNotMetError, ConnectionPool} from '../src/index.js';

const SETTLE_MILLISECONDS = 50;
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

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

function send(address: string): Promise<{readonly error?: Error}> {
  return new Promise(resolve => {
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
          isMet: ({status}, body) => status === 200 && body.toString() === 'ok',
          failure: 'not ok',
        },
      },
      {
        onSend: () => true,
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => resolve({}),
        onError: (error, wasSent) => {
          expect(wasSent).toBe(false);
          resolve({error});
        },
      },
    );
  });
}

describe('a request with a check', () => {
  it('is sent over the connection of its check', async () => {
    const observed: Observed = {lines: []};
    const address = await listen(socket => socket.write(ANSWER), observed);
    expect(await send(address)).toEqual({});
    expect(observed.lines).toEqual(['1 /check', '1 /call']);
  });

  it.each<{
    readonly name: string;
    readonly onCheck: (socket: Socket) => void;
    readonly isCheckError: boolean;
  }>([
    {
      name: 'its check is answered otherwise',
      onCheck: socket =>
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'),
      isCheckError: true,
    },
    {
      name: 'its check is refused',
      onCheck: socket =>
        socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nok'),
      isCheckError: true,
    },
    {
      name: 'the connection closes after its check',
      onCheck: socket =>
        socket.end(
          'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',
        ),
      isCheckError: true,
    },
    {
      name: 'the connection is lost during its check',
      onCheck: socket => socket.destroy(),
      isCheckError: false,
    },
    {
      name: 'its check gets no answer',
      onCheck: () => undefined,
      isCheckError: false,
    },
  ])('is not sent if $name', async ({onCheck, isCheckError}) => {
    const observed: Observed = {lines: []};
    const address = await listen(onCheck, observed);
    const {error} = await send(address);
    expect(error).toBeInstanceOf(isCheckError ? CheckNotMetError : Error);
    expect(observed.lines).toEqual(['1 /check']);
  });
});

describe('an upstream', () => {
  it.each<{
    readonly name: string;
    readonly end: (socket: Socket, address: string) => void;
    readonly mayBeReplaced: boolean;
  }>([
    {
      name: 'that keeps its connections is known',
      end: () => undefined,
      mayBeReplaced: false,
    },
    {
      name: 'that closes an idle connection may be replaced',
      end: socket => socket.end(),
      mayBeReplaced: true,
    },
    {
      name: 'that resets an idle connection may be replaced',
      end: socket => socket.resetAndDestroy(),
      mayBeReplaced: true,
    },
    {
      name: 'whose idle connections its host closes is known',
      end: (_socket, address) => pool.closeIdle(address),
      mayBeReplaced: false,
    },
  ])('$name', async ({end, mayBeReplaced}) => {
    const sockets: Socket[] = [];
    const address = await listen(
      socket => {
        sockets.push(socket);
        socket.write(ANSWER);
      },
      {lines: []},
    );
    await send(address);
    sockets.forEach(socket => end(socket, address));
    await settle();
    expect(pool.mayBeReplaced(address)).toBe(mayBeReplaced);
    await send(address);
    expect(pool.mayBeReplaced(address)).toBe(false);
  });

  it('that announces the end of a connection is known', async () => {
    const address = await listen(
      socket =>
        socket.end(
          'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',
        ),
      {lines: []},
    );
    await send(address);
    await settle();
    expect(pool.mayBeReplaced(address)).toBe(false);
  });
});
