/**
 * The fold of the claim stream. The first claim of a key in log order holds the
 * execution right until its holder reports that it destroyed the right unused.
 */
import type {LogRecord} from '../configuration/configuration_records.js';
import {type Claim, CLAIM_RECORD_SCHEMA} from './claim_records.js';

/** A claim that holds its key, and the time at which the log accepted it. */
export interface WinningClaim {
  readonly claim: Claim;
  /** Milliseconds since the epoch, by the log's clock. */
  readonly time: number;
}

/** The claims in force, by key. */
export class ClaimFold {
  private readonly winners = new Map<string, WinningClaim>();
  /** Release times of the rights that were destroyed, by right ID. */
  private readonly releaseTimes = new Map<string, number>();
  private lastOffset: number;

  /** Creates a fold that continues after the record at offset `readTo`. */
  constructor(readTo = -1) {
    this.lastOffset = readTo;
  }

  /** Offset of the last folded record. */
  get readTo(): number {
    return this.lastOffset;
  }

  /** Number of keys that are held by a claim. */
  get size(): number {
    return this.winners.size;
  }

  /** Returns the claim that holds `key`, if there is one. */
  winnerOf(key: string): WinningClaim | undefined {
    return this.winners.get(key);
  }

  /** Folds `record`; a record that was already folded has no effect. */
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

  /** Drops claims and releases that the log accepted before `time`. */
  forgetBefore(time: number): void {
    for (const [key, winner] of this.winners) {
      if (winner.time >= time) {
        break;
      }
      this.winners.delete(key);
    }
    for (const [rightId, releaseTime] of this.releaseTimes) {
      if (releaseTime >= time) {
        break;
      }
      this.releaseTimes.delete(rightId);
    }
  }

  private addClaim(claim: Claim, time: number): void {
    if (this.releaseTimes.has(claim.rightId) || this.winners.has(claim.key)) {
      return;
    }
    this.winners.set(claim.key, {claim, time});
  }

  private removeClaim(key: string, rightId: string, time: number): void {
    this.releaseTimes.set(rightId, time);
    if (this.winners.get(key)?.claim.rightId === rightId) {
      this.winners.delete(key);
    }
  }
}
