/**
 * The amount of a quota that is held back for a request that was refused. While
 * a workspace sends many times its quota, small requests would otherwise use
 * each bit that accrues, and a large one would never find enough, however
 * urgent it is.
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
   * Returns the level that a request for `amount` needs. A less urgent one
   * leaves what is held back; one of the same rank may take of it when there is
   * enough for the refused request, so that sizes are treated alike.
   */
  neededBy(amount: number, rank: number, now: number): number {
    const {reserved} = this;
    if (
      reserved === undefined ||
      now >= reserved.until ||
      rank < reserved.rank
    ) {
      return amount;
    }
    return rank === reserved.rank
      ? Math.max(amount, reserved.amount)
      : amount + reserved.amount;
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
