/**
 * A connection over which another process calls this one, and what it takes.
 */
import type {Socket} from 'node:net';

import type {
  ConnectionTable,
  MemoryHolding,
  TabledConnection,
} from '@lacewingwinch/decisions';
import {isJSONRPCRequest, type JSONRPCServer} from 'json-rpc-2.0';

import {FrameReader, writeFrame} from './frame_codec.js';
import type {PeerBounds} from './peer_server.js';

/** Bytes of a frame, or of responses, that are not counted. */
const FREE_BYTES = 16 * 1024;

/** Bytes of responses that wait for their peer beyond which no call is read. */
const MAXIMUM_UNTAKEN_BYTES = 1024 * 1024;

/** One connection of a peer. */
export class PeerConnection implements TabledConnection {
  private readonly incoming: MemoryHolding;
  private readonly outgoing: MemoryHolding;
  private readonly reader: FrameReader;

  constructor(
    private readonly socket: Socket,
    private readonly rpc: JSONRPCServer,
    private readonly table: ConnectionTable<PeerConnection>,
    private readonly bounds: PeerBounds,
  ) {
    const {memory} = bounds;
    this.incoming = memory.open(() => this.close('request-unfinished'));
    this.outgoing = memory.open(() => this.close('response-untaken'));
    this.reader = new FrameReader(socket, {
      onFrame: frame => this.answer(frame),
      onPending: bytes => this.recordPending(bytes),
      turns: bounds.turns,
    });
  }

  /** Answers the calls that arrive until the connection closes. */
  serve(): void {
    const {socket, table, bounds} = this;
    table.add(this, bounds.clock());
    socket.on('drain', () => {
      this.countOutgoing();
      this.reader.release();
    });
    socket.on('close', () => {
      table.remove(this);
      this.incoming.release();
      this.outgoing.release();
    });
  }

  makeRoom(): void {
    this.close('connection-closed');
  }

  private answer(frame: object): void {
    const {socket, table, bounds} = this;
    if (!isJSONRPCRequest(frame)) {
      socket.destroy();
      return;
    }
    table.setPhase(this, 'waiting', bounds.clock());
    void this.rpc.receive(frame).then(response => {
      if (response === null || socket.destroyed) {
        return;
      }
      writeFrame(socket, response);
      if (socket.writableLength > FREE_BYTES) {
        this.countOutgoing();
      }
      if (socket.writableLength > MAXIMUM_UNTAKEN_BYTES) {
        this.reader.hold();
      }
    });
  }

  private recordPending(bytes: number): void {
    const now = this.bounds.clock();
    this.table.recordProgress(this, now);
    const counted = bytes > FREE_BYTES ? bytes : 0;
    this.incoming.set('unfinished-request', counted, now);
  }

  private countOutgoing(): void {
    const bytes = this.socket.writableLength;
    this.outgoing.set('untaken-response', bytes, this.bounds.clock());
  }

  private close(refusal: Parameters<PeerBounds['onRefused']>[0]): void {
    this.bounds.onRefused(refusal);
    this.socket.destroy();
  }
}
