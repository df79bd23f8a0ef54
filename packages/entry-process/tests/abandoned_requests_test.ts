/** Tests of requests whose clients leave before an upstream is chosen. */
import type {RoutedResponder} from '@lacewingwinch/callers';
import type {ConnectionPool} from '@lacewingwinch/upstreams';
import {expect, it, vi} from 'vitest';

import type {QuotaExchange} from '../src/routed_interface/admission/quota_exchange.js';
import {createIdleTasks} from './routed_tasks_fixture.js';

const RESPONDER: RoutedResponder = {
  hasBegun: false,
  sendComplete: () => undefined,
  begin: () => undefined,
  write: () => true,
  onDrain: () => undefined,
  end: () => undefined,
  abort: () => undefined,
};

it.each([
  {name: 'is sent while its client is there', leaves: false, sent: true},
  {name: 'is not sent once its client has left', leaves: true, sent: false},
])('a request that waited for its quota $name', async ({leaves, sent}) => {
  const tasks = createIdleTasks();
  const {pool, quotas} = tasks as unknown as {
    readonly pool: ConnectionPool;
    readonly quotas: QuotaExchange;
  };
  const send = vi.spyOn(pool, 'send').mockReturnValue(undefined);
  const client = new AbortController();
  const giveBack = vi.fn();
  vi.spyOn(quotas, 'take').mockImplementation(() => {
    if (leaves) {
      client.abort();
    }
    return Promise.resolve({kind: 'taken', giveBack});
  });
  await tasks.front.serve(
    {
      method: 'GET',
      target: '/again/1',
      path: '/again/1',
      host: 'host.example',
      headers: {'x-attempt-id': 'a', authorization: 'token key-3'},
      rawHeaders: [],
      body: Buffer.alloc(0),
      clientDisconnected: client.signal,
    },
    RESPONDER,
  );
  expect(send.mock.calls.length > 0).toBe(sent);
  expect(giveBack).toHaveBeenCalledTimes(1);
});
