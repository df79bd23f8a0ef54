/**
 * What follows from the prompt parts of a request.
 */
import type {PartAtService} from '@lacewingwinch/decisions';

/** How a request with certain prompt parts is treated. */
export type PartDecision =
  | {readonly kind: 'clear'}
  | {
      readonly kind: 'refused';
      readonly part: PartAtService;
      /** Milliseconds until one request is tried; 0 if a trial is due. */
      readonly milliseconds: number;
      /** See `PartTrial`. */
      readonly isSeparating: boolean;
    }
  /** It may run, to see whether the part still crashes upstreams. */
  | {
      readonly kind: 'trial';
      readonly part: PartAtService;
      readonly isSeparating: boolean;
    };
