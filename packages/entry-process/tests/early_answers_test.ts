/**
 * Tests of upstreams that answer a long upload at once and reset the connection while
 * it is still being written: clients of another system got the part of the answer that
 * had arrived as a complete one.
 */
import {createServer, type Server, type Socket} from 'node:net';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {CONFIGURATION, RoutedInstallation} from './routed_fixtures.js';

const UPLOAD = 'u'.repeat(3 * 1024 * 1024);
const PART = 'a part of the answer';

let installation: RoutedInstallation;
let server: Server;
let sockets: Socket[];
/** Requests that the upstream has begun to read. */
let begun: number;
/** Sends the beginning of an answer after `head`, which ends with a line. */
let answer: (socket: Socket, head: string) => void;

beforeEach(async () => {
  installation = await RoutedInstallation.start();
  sockets = [];
  begun = 0;
  server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.once('data', (request: Buffer) => {
      begun += 1;
      const attemptId = /x-attempt-id: (\S+)/i.exec(request.toString())?.[1];
      const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId ?? ''}\r\nX-Response-Signature: signed\r\n`;
      socket.pause();
      answer(socket, head);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  const {engines, store} = installation;
  for (const engine of engines.filter(({isStreamed}) => !isStreamed)) {
    store.put(
      'keyed.servers',
      engine.upstreamId,
      engine.entry('plain', {address: `127.0.0.1:${port}`}),
    );
  }
  store.publish({
    ...CONFIGURATION,
    limits: {...CONFIGURATION.limits, maxBodyBytes: UPLOAD.length},
  });
  await installation.startProcess();
});

afterEach(async () => {
  await installation.stop();
  sockets.forEach(socket => socket.destroy());
  server.close();
});

const FRAMINGS = [
  {framing: 'without a length', header: ''},
  {framing: 'with a length', header: 'Content-Length: 4000\r\n'},
  {framing: 'in chunks', header: 'Transfer-Encoding: chunked\r\n'},
];

describe.each(FRAMINGS)('a part of an answer $framing', ({framing, header}) => {
  it.each(
    [0, 5, 50, 150].flatMap(milliseconds =>
      ['/once/x', '/again/x'].map(path => ({milliseconds, path})),
    ),
  )(
    'is not complete if the upload is reset after $milliseconds ms, $path',
    async ({milliseconds, path}) => {
      answer = (socket, head) => {
        const part =
          framing === 'in chunks'
            ? `${PART.length.toString(16)}\r\n${PART}\r\n`
            : PART;
        socket.write(`${head}${header}\r\n${part}`);
        setTimeout(() => socket.resetAndDestroy(), milliseconds);
      };
      const {status, body, isBroken} = await installation.call({
        path,
        body: UPLOAD,
      });
      expect(begun).toBeGreaterThan(0);
      expect(isBroken || status === 502).toBe(true);
      expect(body).not.toContain(PART);
    },
  );
});
