/**
 * Probes of connections that are not read, which would not notice that their clients have
 * left.
 */
import type {Socket} from 'node:net';

/** Milliseconds between two probes of a connection. */
const PROBE_PERIOD_MILLISECONDS = 250;

const NOTHING = Buffer.alloc(0);

/** The connections of a process that are not read. */
export class ConnectionProbes {
  private readonly unread = new Set<Socket>();
  private timer: NodeJS.Timeout | undefined;

  /** Probes `socket` until `remove` is called. */
  add(socket: Socket): void {
    this.unread.add(socket);
    this.timer ??= setInterval(
      () => this.probeAll(),
      PROBE_PERIOD_MILLISECONDS,
    ).unref();
  }

  /** Stops probing `socket`. */
  remove(socket: Socket): void {
    this.unread.delete(socket);
    if (this.unread.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }

  private probeAll(): void {
    for (const socket of this.unread) {
      // A write of no bytes fails if the connection was reset.
      if (socket.writableLength === 0 && socket.writable) {
        socket.write(NOTHING);
      }
    }
  }
}
