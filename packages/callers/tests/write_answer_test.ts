/** Tests of the framing of answers of the own interface. */
import {createServer, get, type IncomingMessage, type Server} from 'node:http';

import type {BodyFraming} from '@lacewingwinch/decisions';
import {afterEach, describe, expect, it} from 'vitest';

import {writeAnswer} from '../src/write_answer.js';

let server: Server;

afterEach(() => {
  server.close();
});

/** Returns the head and the body with which an answer arrives. */
async function receive(
  framing: BodyFraming,
): Promise<{readonly message: IncomingMessage; readonly body: string}> {
  server = createServer((_message, response) => {
    void writeAnswer(response, {
      kind: 'whole',
      requestId: 'request-1',
      status: 200,
      contentType: 'text/plain',
      headers: {},
      body: Buffer.from('whole or not'),
      framing,
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  return new Promise(resolve => {
    get({host: '127.0.0.1', port}, message => {
      let body = '';
      message.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      message.on('end', () => resolve({message, body}));
    });
  });
}

describe('an answer whose upstream sent it', () => {
  it.each<{
    readonly framing: BodyFraming;
    readonly length: string | undefined;
    readonly connection: string;
  }>([
    {framing: 'length', length: '12', connection: 'keep-alive'},
    {framing: 'chunks', length: '12', connection: 'keep-alive'},
    {framing: 'connection', length: undefined, connection: 'close'},
  ])(
    'framed by $framing has the length $length',
    async ({framing, length, connection}) => {
      const {message, body} = await receive(framing);
      expect(body).toBe('whole or not');
      expect(message.headers['content-length']).toBe(length);
      expect(message.headers['transfer-encoding']).toBeUndefined();
      expect(message.headers.connection).toBe(connection);
    },
  );
});
