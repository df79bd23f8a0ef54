/**
 * Whether an upstream accepts a connection, which shows that it runs.
 */
import {connect} from 'node:net';

import {giveUpConnecting} from './upstream_socket.js';

/** Connects to `address` (IP address and port) and closes the connection. */
export function canConnect(
  address: string,
  timeoutMilliseconds: number,
): Promise<boolean> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  const port = Number(address.slice(separator + 1));
  return new Promise(resolve => {
    const socket = connect({host, port});
    const timer = setTimeout(
      () => giveUpConnecting(socket),
      timeoutMilliseconds,
    );
    const end = (isConnected: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isConnected);
    };
    socket.once('connect', () => end(true));
    socket.once('error', () => end(false));
  });
}
