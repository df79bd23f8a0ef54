/**
 * The amount of a quota that is held back for a request that was refused. While
 * a workspace sends many times its quota, less urgent requests would otherwise
 * use each bit that accrues, and a larger one that is urgent would never find
 * enough.
 */

/** Time for which an amount is held back after the refusal. */
const RESERVE_LIFETIME_MILLISECONDS = 500;

interface ReservedAmount {
  readonly amount: number;
  readonly rank: number;
  readonly until: number;
}

/** The amount that is held back in one bucket. */
export class QuotaReserve {
  private reserved: ReservedAmount | undefined;

  /**
   * Returns the level that a request for `amount` needs; a less urgent one leaves
   * what is held back.
   */
  neededBy(amount: number, rank: number, now: number): number {
    const {reserved} = this;
    const isHeldBack =
      reserved !== undefined && now < reserved.until && rank > reserved.rank;
    return isHeldBack ? amount + reserved.amount : amount;
  }

  /** Holds back what a refused request needs. */
  recordRefusal(amount: number, rank: number, now: number): void {
    const {reserved} = this;
    const isCovered =
      reserved !== undefined &&
      now < reserved.until &&
      (reserved.rank < rank ||
        (reserved.rank === rank && reserved.amount > amount));
    if (!isCovered) {
      const until = now + RESERVE_LIFETIME_MILLISECONDS;
      this.reserved = {amount, rank, until};
    }
  }

  /** Releases the amount if it was taken by such a request. */
  recordTaken(amount: number, rank: number): void {
    const {reserved} = this;
    if (
      reserved !== undefined &&
      rank <= reserved.rank &&
      amount >= reserved.amount
    ) {
      this.reserved = undefined;
    }
  }
}
