/**
 * The fold of the claim stream: the first claim of a key in the order of the
 * log holds the right to execute, until its holder states that it destroyed
 * the right unused.
 */
import type {LogRecord} from '../configuration/configuration_records.js';
import {type Claim, CLAIM_RECORD_SCHEMA} from './claim_records.js';

/** A claim and when the log took it. */
export interface WonClaim {
  readonly claim: Claim;
  /** Milliseconds since the epoch, by the log's clock. */
  readonly time: number;
}

/** The claims that hold, by key. */
export class ClaimFold {
  private readonly winners = new Map<string, WonClaim>();
  /** Rights that were destroyed, with the time of the release. */
  private readonly destroyed = new Map<string, number>();
  private lastOffset: number;

  /** `readTo` is the offset before the first record that will be folded. */
  constructor(readTo = -1) {
    this.lastOffset = readTo;
  }

  /** Offset of the last record folded. */
  get readTo(): number {
    return this.lastOffset;
  }

  /** Number of keys remembered. */
  get size(): number {
    return this.winners.size;
  }

  /** The claim that holds `key`. */
  winnerOf(key: string): WonClaim | undefined {
    return this.winners.get(key);
  }

  /** Folds `record`; a record already folded changes nothing. */
  fold(record: LogRecord): void {
    if (record.offset <= this.lastOffset) {
      return;
    }
    this.lastOffset = record.offset;
    const parsed = CLAIM_RECORD_SCHEMA.safeParse(record.data);
    if (!parsed.success) {
      return;
    }
    for (const entry of parsed.data.entries) {
      switch (entry.type) {
        case 'claim':
          this.addClaim(entry, record.time);
          break;
        case 'release':
          this.removeClaim(entry.key, entry.rightId, record.time);
          break;
      }
    }
  }

  /** Forgets claims that the log took before `time`. */
  forgetBefore(time: number): void {
    for (const [key, won] of this.winners) {
      if (won.time >= time) {
        break;
      }
      this.winners.delete(key);
    }
    for (const [rightId, released] of this.destroyed) {
      if (released >= time) {
        break;
      }
      this.destroyed.delete(rightId);
    }
  }

  private addClaim(claim: Claim, time: number): void {
    if (this.destroyed.has(claim.rightId) || this.winners.has(claim.key)) {
      return;
    }
    this.winners.set(claim.key, {claim, time});
  }

  private removeClaim(key: string, rightId: string, time: number): void {
    this.destroyed.set(rightId, time);
    if (this.winners.get(key)?.claim.rightId === rightId) {
      this.winners.delete(key);
    }
  }
}
