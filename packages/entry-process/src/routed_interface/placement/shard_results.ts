/**
 * The results of the shards that are tried for one request.
 */
import type {AdmissionRefusal, EngineChoice} from '@lacewingwinch/decisions';

import {isBetterChoice, isCrowded, soonerOf} from './placement_result.js';

/** Result in one shard; undefined if no upstream may run the request. */
export type ShardResult<Placed> =
  | Placed
  | {readonly kind: 'limited'; readonly milliseconds: number}
  | AdmissionRefusal
  | undefined;

/** Keeps the best result. */
export class ShardResults<
  Placed extends {readonly kind: 'placed'; readonly choice: EngineChoice},
> {
  private best: Placed | undefined;
  private refusal: AdmissionRefusal | undefined;
  private limitedFor = Infinity;

  /** Adds a result; returns a placement that is given up for a better one. */
  add(result: ShardResult<Placed>): Placed | undefined {
    switch (result?.kind) {
      case undefined:
        return undefined;
      case 'limited':
        this.limitedFor = Math.min(this.limitedFor, result.milliseconds);
        return undefined;
      case 'refused':
        this.refusal = soonerOf(this.refusal, result);
        return undefined;
      case 'placed': {
        const {best} = this;
        const isKept =
          best !== undefined && isBetterChoice(best.choice, result.choice);
        this.best = isKept ? best : result;
        return isKept ? result : best;
      }
    }
  }

  /** Whether no further shard is tried. */
  get isSettled(): boolean {
    return this.best !== undefined && !isCrowded(this.best.choice);
  }

  /** The result of the request. */
  get result(): ShardResult<Placed> {
    if (this.best !== undefined) {
      return this.best;
    }
    if (this.refusal !== undefined) {
      return this.refusal;
    }
    return this.limitedFor === Infinity
      ? undefined
      : {kind: 'limited', milliseconds: this.limitedFor};
  }
}
