/**
 * The connections that a server has accepted. At their maximum number, the one that
 * was silent for longest makes room for a new one, unless its request is served.
 */

/** A connection in a table. */
export interface TabledConnection {
  /** Closes the connection, because another one needs its place. */
  makeRoom(): void;
}

/**
 * What a connection does:
 * - `new`: it has sent no complete request yet.
 * - `waiting`: its requests are answered, or it sends another one.
 * - `serving`: a complete request waits for its answer.
 */
export type ConnectionPhase = 'new' | 'serving' | 'waiting';

/**
 * How many times as long a connection that has sent a complete request may be silent
 * before it is closed, compared with one that has sent none.
 */
const WAITING_PATIENCE = 10;

/** Bounds the connections of one server. */
export class ConnectionTable<T extends TabledConnection> {
  private readonly phases = new Map<T, ConnectionPhase>();
  /** Times of the last progress, in ascending order. */
  private readonly movedAt: Readonly<
    Record<Exclude<ConnectionPhase, 'serving'>, Map<T, number>>
  > = {new: new Map(), waiting: new Map()};

  constructor(private readonly maximum: number) {}

  /** Number of connections. */
  get size(): number {
    return this.phases.size;
  }

  /**
   * Returns whether there is room for another connection at `now`; closes one that is
   * not served if there is none.
   */
  makeRoom(now: number): 'closed-another' | 'full' | 'has-room' {
    if (this.phases.size < this.maximum) {
      return 'has-room';
    }
    const worst = this.findMostSilent(now);
    if (worst === undefined) {
      return 'full';
    }
    this.remove(worst);
    worst.makeRoom();
    return 'closed-another';
  }

  /** Adds a connection that was accepted at `now`. */
  add(connection: T, now: number): void {
    this.phases.set(connection, 'new');
    this.movedAt.new.set(connection, now);
  }

  /** Records that a connection received bytes, or took some, at `now`. */
  recordProgress(connection: T, now: number): void {
    const phase = this.phases.get(connection);
    if (phase !== undefined && phase !== 'serving') {
      const times = this.movedAt[phase];
      times.delete(connection);
      times.set(connection, now);
    }
  }

  /** Records at `now` that a complete request arrived, or that all are answered. */
  setPhase(
    connection: T,
    phase: Exclude<ConnectionPhase, 'new'>,
    now: number,
  ): void {
    const former = this.phases.get(connection);
    if (former === undefined || former === phase) {
      return;
    }
    if (former !== 'serving') {
      this.movedAt[former].delete(connection);
    }
    this.phases.set(connection, phase);
    if (phase !== 'serving') {
      this.movedAt[phase].set(connection, now);
    }
  }

  /** Forgets a connection that has closed. */
  remove(connection: T): void {
    const phase = this.phases.get(connection);
    this.phases.delete(connection);
    if (phase !== undefined && phase !== 'serving') {
      this.movedAt[phase].delete(connection);
    }
  }

  private findMostSilent(now: number): T | undefined {
    const [newest] = this.movedAt.new;
    const [waiting] = this.movedAt.waiting;
    if (newest === undefined || waiting === undefined) {
      return (newest ?? waiting)?.[0];
    }
    const newSilence = (now - newest[1]) * WAITING_PATIENCE;
    return newSilence >= now - waiting[1] ? newest[0] : waiting[0];
  }
}
