/**
 * What follows from the content of a request.
 */

/** How a request with certain content is treated. */
export type ContentDecision =
  | {readonly kind: 'clear'}
  /** `milliseconds`: until one request may be tried; 0 if another one is. */
  | {readonly kind: 'refused'; readonly milliseconds: number}
  /** It may run, to see whether the content still crashes upstreams. */
  | {readonly kind: 'trial'};
