/**
 * The bounds of the clients of this process, and the record of those that were refused
 * or whose connections were closed.
 */
import {getHeapStatistics} from 'node:v8';

import {
  type ClientBounds,
  type ClientRefusal,
  ConnectionProbes,
  ParsingTurns,
} from '@lacewingwinch/callers';
import {
  ClientMemory,
  type ServerName,
  servingLimitsOf,
} from '@lacewingwinch/decisions';
import type {PeerBounds} from '@lacewingwinch/entry-hosts';
import type {EventLog, Metrics} from '@lacewingwinch/observability';

import {GarbageCollection} from './garbage_collection.js';

/** Milliseconds between two events of the same server and refusal. */
const EVENT_PERIOD_MILLISECONDS = 1000;

/** What the clients of a process are bounded by, and where refusals are recorded. */
export interface ClientBoundsOptions {
  /** Bytes of memory of the process; 0 if they are not limited. */
  readonly memoryBytes: number;
  /** Descriptors of the process; 0 if they are not limited. */
  readonly fileDescriptors: number;
  /** Returns steady clock readings in milliseconds. */
  readonly clock: () => number;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/** Creates the bounds of a process. */
export function createClientBounds({
  memoryBytes,
  fileDescriptors,
  clock,
  events,
  metrics,
}: ClientBoundsOptions): ClientBounds {
  const limits = servingLimitsOf({
    memoryBytes,
    fileDescriptors,
    heapBytes: getHeapStatistics().heap_size_limit,
  });
  const log = new RefusalLog(events, metrics);
  const garbage = new GarbageCollection(options => {
    globalThis.gc?.(options);
  });
  return {
    limits,
    memory: new ClientMemory(limits, bytes => garbage.recordGivenUp(bytes)),
    onRead: bytes => garbage.recordRead(bytes),
    turns: new ParsingTurns(),
    probes: new ConnectionProbes(),
    clock,
    onRefused: (server, refusal) => log.record(server, refusal, clock()),
  };
}

/** Returns the part of the bounds for the connections of other entry hosts. */
export function peerBoundsOf({
  limits,
  memory,
  clock,
  onRefused,
}: ClientBounds): PeerBounds {
  return {
    maximumConnections: limits.connections.peers,
    memory,
    // Calls of peers do not wait for the requests of clients.
    turns: new ParsingTurns(),
    clock,
    onRefused: refusal => onRefused('peers', refusal),
  };
}

/** Counts refusals, and logs them summed up. */
class RefusalLog {
  private readonly unlogged = new Map<string, number>();
  private readonly loggedAt = new Map<string, number>();

  constructor(
    private readonly events: EventLog,
    private readonly metrics: Metrics,
  ) {}

  record(server: ServerName, refusal: ClientRefusal, now: number): void {
    this.metrics.clientRefusals.inc({server, reason: refusal});
    const key = `${server} ${refusal}`;
    const count = (this.unlogged.get(key) ?? 0) + 1;
    const lastAt = this.loggedAt.get(key) ?? -Infinity;
    if (now - lastAt < EVENT_PERIOD_MILLISECONDS) {
      this.unlogged.set(key, count);
      return;
    }
    this.unlogged.delete(key);
    this.loggedAt.set(key, now);
    this.events.write(4123, {server, reason: refusal, count});
  }
}
