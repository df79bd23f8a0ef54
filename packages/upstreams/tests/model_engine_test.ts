/**
 * Tests of the events that are read from a model engine, and of the work that lines
 * take which are none of an event.
 */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {
  type EngineEvent,
  isUpstreamError,
  streamCompletion,
  UpstreamConnections,
} from '../src/index.js';

/** Bytes that may be pending, nearly. */
const MANY_BYTES = 1_000_000;

/** Processor milliseconds for them; the parser alone takes seconds. */
const MAXIMUM_PROCESSOR_MILLISECONDS = 1500;

const END = 'data: [DONE]\n\n';

let server: Server;
let connections: UpstreamConnections;
let body: string;

beforeEach(async () => {
  connections = new UpstreamConnections();
  server = createServer((_message, response) => {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    response.end(body);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

afterEach(async () => {
  await connections.close();
  server.close();
});

/** Returns the events of the stream, or the kind of its failure. */
async function readStream(): Promise<readonly EngineEvent[] | string> {
  const {port} = server.address() as AddressInfo;
  const events: EngineEvent[] = [];
  try {
    await streamCompletion(connections, {
      address: `127.0.0.1:${port}`,
      request: {
        method: 'POST',
        path: '/',
        headers: {},
        body: undefined,
        signal: AbortSignal.timeout(20_000),
        canSend: () => true,
      },
      onEvent: event => events.push(event),
    });
    return events;
  } catch (error) {
    return isUpstreamError(error) ? error.failure.kind : 'unexpected';
  }
}

describe('the events of an engine', () => {
  it.each<{
    readonly name: string;
    readonly body: string;
    readonly events: readonly EngineEvent[] | string;
  }>([
    {
      name: 'two and the end',
      body: `id: 1\ndata: {"a":1}\n\nid: 2\ndata: ü\n\n${END}`,
      events: [
        {offset: 1, data: '{"a":1}'},
        {offset: 2, data: 'ü'},
      ],
    },
    {
      name: 'lines that end with CR LF, and data of two lines',
      body: `id: 1\r\ndata: a\r\ndata: b\r\n\r\n${END}`,
      events: [{offset: 1, data: 'a\nb'}],
    },
    {
      name: 'comments and other lines beside fields',
      body: `: comment\n\nother\nid: 1\nx: y\ndata: a\n\n${END}`,
      events: [{offset: 1, data: 'a'}],
    },
    {
      name: 'no end',
      body: 'id: 1\ndata: a\n\n',
      events: 'connection-lost',
    },
  ])('are read from $name', async testCase => {
    ({body} = testCase);
    expect(await readStream()).toEqual(testCase.events);
  });
});

// Guards against seconds of work for lines that are none of an event.
describe('lines without end', () => {
  it.each([
    {name: 'short ones, never complete', text: 'x\n'.repeat(MANY_BYTES / 2)},
    {
      name: 'short ones in an event',
      text: `id: 1\ndata: a\n${'x\n'.repeat(MANY_BYTES / 2)}\n${END}`,
    },
    {
      name: 'short ones after a blank line each',
      text: `${'x\n\n'.repeat(MANY_BYTES / 3)}${END}`,
    },
  ])('take little work: $name', async ({text}) => {
    body = text;
    const before = process.cpuUsage();
    await readStream();
    const {user, system} = process.cpuUsage(before);
    expect((user + system) / 1000).toBeLessThan(MAXIMUM_PROCESSOR_MILLISECONDS);
  });
});
