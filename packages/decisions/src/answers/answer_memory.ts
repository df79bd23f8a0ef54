/**
 * The memory that all answers which a process collects may take together. Answers of
 * faulty upstreams can go on without end, many at a time, and a process that exceeds
 * its memory ends with all its requests.
 */

/** Share of the memory of a process that collected answers may take. */
const ANSWER_SHARE = 0.1;

/** An answer that is being collected. */
export interface CollectedAnswer {
  /** Whether its length is stated, so that it has an end. */
  readonly hasLength: boolean;
  /** Ends it as a failure of its upstream. */
  readonly giveUp: () => void;
}

/** Bounds the memory of the answers that one process collects. */
export class AnswerMemory {
  private readonly bytesByAnswer = new Map<CollectedAnswer, number>();
  private readonly maximumBytes: number;
  private totalBytes = 0;

  /** `processBytes`: memory that the process may use; 0 if it is not limited. */
  constructor(processBytes: number) {
    this.maximumBytes =
      processBytes > 0 ? ANSWER_SHARE * processBytes : Infinity;
  }

  /**
   * Records that `answer` takes `bytes` now. While all answers together take too
   * much, gives up those whose length is not stated before others, and the largest
   * first.
   */
  update(answer: CollectedAnswer, bytes: number): void {
    this.totalBytes += bytes - (this.bytesByAnswer.get(answer) ?? 0);
    this.bytesByAnswer.set(answer, bytes);
    while (this.totalBytes > this.maximumBytes) {
      const worst = this.findWorst();
      this.remove(worst);
      worst.giveUp();
    }
  }

  /** Records that `answer` has ended. */
  remove(answer: CollectedAnswer): void {
    this.totalBytes -= this.bytesByAnswer.get(answer) ?? 0;
    this.bytesByAnswer.delete(answer);
  }

  private findWorst(): CollectedAnswer {
    return [...this.bytesByAnswer].reduce((left, right) => {
      const [leftAnswer, leftBytes] = left;
      const [rightAnswer, rightBytes] = right;
      if (leftAnswer.hasLength !== rightAnswer.hasLength) {
        return leftAnswer.hasLength ? right : left;
      }
      return rightBytes > leftBytes ? right : left;
    })[0];
  }
}
