/** Tests of the connection pool with complete, broken and missing answers. */
import type {Socket} from 'node:net';

import {afterEach, describe, expect, test} from 'vitest';

import {ConnectionPool} from '../src/index.js';
import {
  type Behavior,
  closeUpstreams,
  listen,
  type Result,
  type SendOptions,
  sendThrough,
  sockets,
} from './pool_fixtures.js';

const pool = new ConnectionPool(() => performance.now());

afterEach(closeUpstreams);

function send(address: string, options?: SendOptions): Promise<Result> {
  return sendThrough(pool, address, options);
}

const PAUSE_MILLISECONDS = 30;

function afterPause(action: () => void): void {
  setTimeout(action, PAUSE_MILLISECONDS);
}

describe('an answer', () => {
  test.each<{
    readonly name: string;
    readonly behavior: Behavior;
    readonly end: Result['end'];
  }>([
    {
      name: 'with a length is complete at that length',
      behavior: socket =>
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'),
      end: 'complete',
    },
    {
      name: 'with a length that ends early is incomplete',
      behavior: socket =>
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort'),
      end: 'error',
    },
    {
      name: 'without a length is complete when its connection ends',
      behavior: socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
      end: 'complete',
    },
    {
      name: 'without a length is incomplete when its connection is reset',
      behavior: socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nshort');
        afterPause(() => socket.resetAndDestroy());
      },
      end: 'error',
    },
    {
      name: 'without a length but with `Connection: close` is incomplete after a reset',
      behavior: socket => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort');
        afterPause(() => socket.resetAndDestroy());
      },
      end: 'error',
    },
    {
      name: 'without a length is incomplete after a reset that arrives with its data',
      behavior: socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nshort');
        socket.resetAndDestroy();
      },
      end: 'error',
    },
    {
      name: 'in chunks that ends early is incomplete',
      behavior: socket =>
        socket.end(
          'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        ),
      end: 'error',
    },
    {
      name: 'that is not HTTP is an error',
      behavior: socket => socket.write('no answer at all\r\n\r\n'),
      end: 'error',
    },
    {
      name: 'that has not begun is an error after a reset',
      behavior: socket => socket.resetAndDestroy(),
      end: 'error',
    },
  ])('$name', async ({behavior, end}) => {
    const result = await send(await listen(behavior));
    expect(result.end).toBe(end);
    expect(result.wasSent).toBe(true);
  });
});

test('an extra answer is not used as the answer to the next request', async () => {
  let requests = 0;
  const address = await listen(socket => {
    requests += 1;
    const answer = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${requests}`;
    socket.write(requests === 1 ? `${answer}${answer}` : answer);
  });
  expect((await send(address)).body).toBe('1');
  await new Promise(resolve => setTimeout(resolve, PAUSE_MILLISECONDS));
  expect((await send(address)).body).toBe('2');
});

/**
 * Guards against a late copy of a refusal being taken for the answer to a second
 * sending with the same attempt ID, which made a request run twice.
 */
describe('an attempt ID that is sent again', () => {
  /** Answers 1 on the first request of each connection, and a late copy after it. */
  const repeatFirstAnswer = (): Behavior => {
    const requests = new Map<Socket, number>();
    return socket => {
      const count = (requests.get(socket) ?? 0) + 1;
      requests.set(socket, count);
      const isRepeated = count > 1 && sockets.indexOf(socket) === 0;
      const body = isRepeated ? 1 : sockets.indexOf(socket) + 1;
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${body}`);
    };
  };

  test.each([
    {
      name: 'gets a new connection',
      sent: ['a', 'a'],
      maximumConnections: 2,
      bodies: ['1', '2'],
    },
    {
      name: 'gets a new connection at the maximum of connections',
      sent: ['a', 'a'],
      maximumConnections: 1,
      bodies: ['1', '2'],
    },
    {
      name: 'gets a connection that carried another ID',
      sent: ['a', 'a', 'b', 'b'],
      maximumConnections: 2,
      bodies: ['1', '2', '2', '1'],
    },
    {
      name: 'is recognised after other IDs',
      sent: ['a', 'b', 'c', 'a'],
      maximumConnections: 2,
      bodies: ['1', '1', '1', '2'],
    },
  ])('$name', async ({sent, maximumConnections, bodies}) => {
    const address = await listen(repeatFirstAnswer());
    const answered: string[] = [];
    for (const attemptId of sent) {
      const {body} = await send(address, {attemptId, maximumConnections});
      answered.push(body);
    }
    expect(answered).toEqual(bodies);
  });
});

test.each([
  {name: 'without a length', head: ''},
  {
    name: 'with a length and `Connection: close`',
    head: 'Connection: close\r\nContent-Length: 5\r\n',
  },
])('the connection of an answer $name is not used again', async ({head}) => {
  const address = await listen(socket =>
    socket.end(`HTTP/1.1 200 OK\r\n${head}\r\nwhole`),
  );
  for (let count = 0; count < 20; count += 1) {
    const result = await send(address);
    expect(result).toMatchObject({end: 'complete', wasSent: true});
  }
});

test('a request to an address without a listener is reported as not sent', async () => {
  const address = await listen(() => undefined);
  closeUpstreams();
  expect(await send(address)).toMatchObject({end: 'error', wasSent: false});
});

/** Sends `head` and then `piece` again and again until the connection closes. */
function sendWithoutEnd(socket: Socket, head: string, piece: string): void {
  const block = Buffer.from(piece.repeat(Math.ceil(65_536 / piece.length)));
  const send = (): void => {
    while (!socket.destroyed && socket.write(block)) {}
  };
  socket.on('drain', send);
  socket.write(head);
  send();
}

/** Sends `head` and then one byte now and then until the connection closes. */
function sendSlowly(socket: Socket, head: string): void {
  socket.write(head);
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer);
      return;
    }
    socket.write('x');
  }, PAUSE_MILLISECONDS);
}

const OK = 'HTTP/1.1 200 OK\r\n';
const COMPLETE = `${OK}Content-Length: 1\r\n\r\n`;

/** The kernel buffers several megabytes of a connection on loopback. */
const MAXIMUM_SENT_BYTES = 32 * 1024 * 1024;

describe('bytes without end', () => {
  test.each([
    {where: 'before the status line', head: '', piece: '\r\n'},
    {where: 'in the status line', head: 'HTTP/1.1 200 ', piece: 'x'},
    {where: 'in a header', head: `${OK}X-Long: `, piece: 'x'},
    {where: 'in many headers', head: OK, piece: 'X-Many: x\r\n'},
    {
      where: 'in informational responses',
      head: '',
      piece: 'HTTP/1.1 102 Processing\r\n\r\n',
    },
    {
      where: 'in a chunk header',
      head: `${OK}Transfer-Encoding: chunked\r\n\r\n5;`,
      piece: 'x',
    },
    {
      where: 'in a trailer',
      head: `${OK}Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: `,
      piece: 'x',
    },
  ])('$where end the response', async ({head, piece}) => {
    let requests = 0;
    const address = await listen(socket => {
      requests += 1;
      if (requests > 1) {
        socket.write(`${COMPLETE}2`);
        return;
      }
      sendWithoutEnd(socket, head, piece);
    });
    expect((await send(address)).end).toBe('error');
    expect(sockets[0]?.bytesWritten).toBeLessThan(MAXIMUM_SENT_BYTES);
    expect((await send(address)).body).toBe('2');
  });

  test.each([
    {where: 'in the status line', head: 'HTTP/1.1 200 '},
    {where: 'in a header', head: `${OK}X-Long: `},
    {
      where: 'in a chunk header',
      head: `${OK}Transfer-Encoding: chunked\r\n\r\n5;`,
    },
    {where: 'in a body without a length', head: `${OK}\r\n`},
  ])('$where, a byte now and then, end the response', async ({head}) => {
    const address = await listen(socket => sendSlowly(socket, head));
    expect((await send(address)).end).toBe('error');
  });

  test.each([
    {name: 'blank lines', piece: '\r\n'},
    {name: 'further answers', piece: `${COMPLETE}1`},
    {name: 'bytes that are no answer', piece: 'x'},
  ])(
    'after a complete response close its connection: $name',
    async ({piece}) => {
      let requests = 0;
      const address = await listen(socket => {
        requests += 1;
        if (requests > 1) {
          socket.write(`${COMPLETE}2`);
          return;
        }
        socket.write(`${COMPLETE}1`);
        afterPause(() => sendWithoutEnd(socket, '', piece));
      });
      expect((await send(address)).body).toBe('1');
      await new Promise(resolve => setTimeout(resolve, 4 * PAUSE_MILLISECONDS));
      expect((await send(address)).body).toBe('2');
      expect(sockets[0]?.bytesWritten).toBeLessThan(MAXIMUM_SENT_BYTES);
    },
  );

  test('are no reason to end a large response', async () => {
    const body = 'x'.repeat(4 * 1024 * 1024);
    const address = await listen(socket => {
      socket.write(`${OK}Content-Length: ${body.length}\r\n\r\n${body}`);
    });
    expect((await send(address)).body).toHaveLength(body.length);
  });

  test('are no reason to end a response in chunks of one byte', async () => {
    const chunks = '1\r\nx\r\n'.repeat(100_000);
    const address = await listen(socket => {
      socket.write(`${OK}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
    });
    expect((await send(address)).body).toHaveLength(100_000);
  });
});
