/**
 * Messages that decide which host completes a request.
 */
import type {Claim} from '@lacewingwinch/decisions';

/** Decision on a claim, according to the order of claims in the log. */
export type ClaimVerdict =
  {readonly kind: 'lost'; readonly winner: Claim} | {readonly kind: 'won'};

/** Parameters and result of each of these methods. */
export interface ClaimMethods {
  readonly 'claim.decide': {
    readonly params: Claim;
    readonly result: ClaimVerdict;
  };
}
