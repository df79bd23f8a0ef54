/** Tests of the places that a connection pool has for connections. */
import type {Socket} from 'node:net';

import {afterEach, expect, test} from 'vitest';

import {ConnectionPool, type PooledRequest} from '../src/index.js';
import {closeUpstreams, listen, sendThrough, sockets} from './pool_fixtures.js';

afterEach(closeUpstreams);

const RECEIVER = {
  onSend: () => true,
  onHead: () => undefined,
  onData: () => undefined,
  onEnd: () => undefined,
  onError: () => undefined,
};

function requestTo(address: string): PooledRequest {
  return {
    address,
    method: 'GET',
    path: '/',
    headers: [],
    body: undefined,
    maximumIdleMilliseconds: 1000,
    maximumConnections: 1,
    maximumMilliseconds: 1000,
  };
}

function answerShortly(socket: Socket): void {
  socket.write('HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx');
}

test('an idle connection makes room at the maximum of all upstreams', async () => {
  const bounded = new ConnectionPool(() => performance.now(), 1);
  const addresses = [await listen(answerShortly), await listen(answerShortly)];
  for (const address of [...addresses, ...addresses]) {
    const result = await sendThrough(bounded, address);
    expect(result).toMatchObject({status: 200, end: 'complete'});
  }
  bounded.close();
});

test('a request gets no connection if all of the maximum are in use', async () => {
  const bounded = new ConnectionPool(() => performance.now(), 1);
  const unanswered = sendThrough(bounded, await listen(() => undefined));
  const address = await listen(answerShortly);
  expect(bounded.send(requestTo(address), RECEIVER)).toBe(undefined);
  sockets.at(-1)?.destroy();
  await unanswered;
});

test('a connection that is given up while it connects gives its place back', async () => {
  const pool = new ConnectionPool(() => performance.now());
  const address = await listen(answerShortly);
  pool.send(requestTo(address), RECEIVER)?.cancel();
  await new Promise(resolve => setTimeout(resolve, 50));
  expect(
    await sendThrough(pool, address, {maximumConnections: 1}),
  ).toMatchObject({
    status: 200,
    end: 'complete',
  });
});

test.each([
  {isRetired: false, connections: 1},
  {isRetired: true, connections: 3},
])(
  'three answers take $connections connections if each is retired: $isRetired',
  async ({isRetired, connections}) => {
    const pool = new ConnectionPool(() => performance.now());
    const address = await listen(answerShortly);
    for (let count = 0; count < 3; count += 1) {
      const result = await sendThrough(pool, address, {isRetired});
      expect(result).toMatchObject({status: 200, end: 'complete'});
    }
    expect(sockets).toHaveLength(connections);
    pool.close();
  },
);
