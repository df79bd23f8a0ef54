/**
 * Crowds of clients that do not behave. None of them sends a request that an upstream
 * would run.
 */
import {
  chunkedContent,
  type CrowdBehavior,
  CrowdStandIn,
  repeated,
  STAND_IN_HOST,
} from '@lacewingwinch/stand-ins';

/** What the clients of a crowd do. */
export const CROWD_KINDS = [
  'bodies-left-open',
  'connections-left-idle',
  'frames-without-end',
  'requests-sent-ahead',
  'smallest-chunks',
] as const;

/** What the clients of a crowd do. */
export type CrowdKind = (typeof CROWD_KINDS)[number];

/** Number of closed connections that each crowd opens again. */
const REOPENINGS = 200;

const BODY_BYTES = 1024 * 1024;
const SMALLEST_CHUNKS_BYTES = 65_536;
const CHUNK_BYTES = 65_536;
const FRAME_BYTES = 8 * 1024 * 1024;
const REQUESTS_AHEAD = 5000;

const BODY_HEAD = `POST /again/crowd HTTP/1.1\r\nhost: ${STAND_IN_HOST}\r\ntransfer-encoding: chunked\r\n\r\n`;
const REQUEST = `GET /again/crowd HTTP/1.1\r\nhost: ${STAND_IN_HOST}\r\n\r\n`;

/** Opens a crowd at the addresses for clients and for peers of a host. */
export function openCrowd(
  kind: CrowdKind,
  addresses: {readonly callers: string; readonly peers: string},
): CrowdStandIn {
  const address =
    kind === 'frames-without-end' ? addresses.peers : addresses.callers;
  return CrowdStandIn.open(address, {
    ...behaviorOf(kind),
    reopenings: REOPENINGS,
  });
}

function behaviorOf(kind: CrowdKind): CrowdBehavior {
  switch (kind) {
    case 'bodies-left-open':
      return {connections: 100, send: () => openBody(BODY_BYTES, CHUNK_BYTES)};
    case 'connections-left-idle':
      return {connections: 300, send: () => []};
    case 'frames-without-end':
      return {connections: 20, send: () => repeated('[', FRAME_BYTES)};
    case 'requests-sent-ahead':
      return {connections: 10, send: () => repeated(REQUEST, REQUESTS_AHEAD)};
    case 'smallest-chunks':
      return {connections: 20, send: () => openBody(SMALLEST_CHUNKS_BYTES, 1)};
  }
}

function* openBody(bytes: number, chunkBytes: number): Generator<Buffer> {
  yield Buffer.from(BODY_HEAD);
  yield* chunkedContent(bytes, chunkBytes);
}
