/**
 * Responses without a length and without chunks.
 */
import type {ServerResponse} from 'node:http';

/**
 * Makes `response`, whose head has not been written, end with its connection.
 * Its end then states no more than that of an answer without framing.
 */
export function omitFraming(response: ServerResponse): void {
  response.shouldKeepAlive = false;
  response.removeHeader('content-length');
  response.removeHeader('transfer-encoding');
}
