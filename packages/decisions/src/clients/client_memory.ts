/**
 * The memory that the requests and responses of all clients of a process may take
 * together. What helps other clients most is given up first: what is large, does not
 * move, and is not complete.
 */

import type {ServingLimits} from './serving_limits.js';

/**
 * What takes memory:
 * - `request`: a request that was received completely and is not answered yet. It is
 *   never given up.
 * - `unfinished-request`: a request of which bytes are missing.
 * - `unread-requests`: bytes of further requests, which wait for the answers to
 *   earlier ones.
 * - `untaken-response`: a complete response that its client does not take.
 */
export type HoldingKind =
  'request' | 'unfinished-request' | 'unread-requests' | 'untaken-response';

/** What is taken for one purpose. */
export interface MemoryHolding {
  /** Records at `now` what is taken for which purpose. */
  set(kind: HoldingKind, bytes: number, now: number): void;
  /** Gives everything back; further changes have no effect. */
  release(): void;
}

/** How much earlier than others a kind is given up, relative to its bytes. */
const WEIGHTS: Readonly<Record<HoldingKind, number>> = {
  request: 0,
  'unfinished-request': 4,
  'unread-requests': 4,
  'untaken-response': 1,
};

/** Milliseconds that count as silence of what has just moved. */
const MINIMUM_SILENCE_MILLISECONDS = 100;

/** Share of the maximum down to which memory is given up. */
const RELIEVED_SHARE = 0.9;

/** Growth, as a share of the maximum, before another search for what to give up. */
const SEARCH_GROWTH_SHARE = 0.02;

/**
 * Share of the bytes for complete requests up to which a request is taken that its
 * client sent before the answer to an earlier one.
 */
const AHEAD_SHARE = 0.5;

/** Bytes for each byte of the largest body: it is copied once when it is complete. */
const BYTES_PER_BODY_BYTE = 2;

/** Bounds the memory of requests and responses. */
export class ClientMemory {
  private readonly holdings = new Set<Holding>();
  private totalBytes = 0;
  private requestTotalBytes = 0;
  private maximumBytes: number;
  private searchAboveBytes: number;
  private isRelieving = false;

  constructor(
    private readonly limits: Pick<
      ServingLimits,
      'clientBytes' | 'largestClientBytes' | 'requestBytes'
    >,
    /** Called with the number of bytes when some were given up. */
    private readonly onGivenUp: (bytes: number) => void = () => undefined,
  ) {
    this.maximumBytes = limits.clientBytes;
    this.searchAboveBytes = this.maximumBytes;
  }

  /** Bytes that are taken. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** Makes room for a body of `bytes`, the largest that clients may send. */
  allowBody(bytes: number): void {
    const {clientBytes, largestClientBytes} = this.limits;
    this.maximumBytes = Math.max(
      clientBytes,
      Math.min(largestClientBytes, BYTES_PER_BODY_BYTE * bytes),
    );
    this.searchAboveBytes = this.maximumBytes;
  }

  /**
   * Opens a holding that takes nothing yet. `giveUp` is called at most once; the
   * holding is released then.
   */
  open(giveUp: () => void): MemoryHolding {
    const holding = new Holding(giveUp, (changed, kind, bytes, now) =>
      this.change(changed, kind, bytes, now),
    );
    this.holdings.add(holding);
    return holding;
  }

  /**
   * Returns whether a complete request of `bytes` may be served. `isAhead`: an earlier
   * request of the same connection is not answered yet.
   */
  hasRoomForRequest(bytes: number, isAhead: boolean): boolean {
    const maximum = this.limits.requestBytes * (isAhead ? AHEAD_SHARE : 1);
    return (
      this.requestTotalBytes === 0 || this.requestTotalBytes + bytes <= maximum
    );
  }

  private change(
    holding: Holding,
    kind: HoldingKind,
    bytes: number,
    now: number,
  ): void {
    this.subtract(holding);
    holding.kind = kind;
    holding.bytes = bytes;
    holding.movedAt = now;
    if (holding.isReleased) {
      this.holdings.delete(holding);
    }
    this.totalBytes += bytes;
    this.requestTotalBytes += kind === 'request' ? bytes : 0;
    if (this.totalBytes <= this.maximumBytes) {
      this.searchAboveBytes = this.maximumBytes;
    } else if (this.totalBytes > this.searchAboveBytes) {
      this.relieve(now);
    }
  }

  private subtract({kind, bytes}: Holding): void {
    this.totalBytes -= bytes;
    this.requestTotalBytes -= kind === 'request' ? bytes : 0;
  }

  /** Gives up what is worst until enough memory is free. */
  private relieve(now: number): void {
    if (this.isRelieving) {
      return;
    }
    this.isRelieving = true;
    const bytesBefore = this.totalBytes;
    const candidates = [...this.holdings]
      .filter(({kind, bytes}) => WEIGHTS[kind] > 0 && bytes > 0)
      .map(holding => ({holding, cost: costOf(holding, now)}))
      .sort((left, right) => right.cost - left.cost);
    for (const {holding} of candidates) {
      if (this.totalBytes <= RELIEVED_SHARE * this.maximumBytes) {
        break;
      }
      holding.release();
      holding.giveUp();
    }
    this.searchAboveBytes =
      Math.max(this.maximumBytes, this.totalBytes) +
      SEARCH_GROWTH_SHARE * this.maximumBytes;
    this.isRelieving = false;
    this.onGivenUp(bytesBefore - this.totalBytes);
  }
}

class Holding implements MemoryHolding {
  kind: HoldingKind = 'unfinished-request';
  bytes = 0;
  movedAt = 0;
  isReleased = false;

  constructor(
    readonly giveUp: () => void,
    private readonly onChange: (
      holding: Holding,
      kind: HoldingKind,
      bytes: number,
      now: number,
    ) => void,
  ) {}

  set(kind: HoldingKind, bytes: number, now: number): void {
    if (!this.isReleased) {
      this.onChange(this, kind, bytes, now);
    }
  }

  release(): void {
    if (!this.isReleased) {
      this.isReleased = true;
      this.onChange(this, this.kind, 0, this.movedAt);
    }
  }
}

/** Returns by how much the holding burdens others: bytes, for the time it is still. */
function costOf({kind, bytes, movedAt}: Holding, now: number): number {
  return WEIGHTS[kind] * bytes * (now - movedAt + MINIMUM_SILENCE_MILLISECONDS);
}
