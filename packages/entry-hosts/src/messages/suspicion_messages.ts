/**
 * Messages about requests and prompt parts that crash upstreams.
 */
import type {PartSuspicion, Suspicion} from '@lacewingwinch/decisions';

/** Parameters and result of each of these methods. */
export interface SuspicionMethods {
  /** Reports that content is suspected of crashing upstreams, or cleared. */
  readonly 'suspicion.report': {
    readonly params: Suspicion;
    readonly result: null;
  };
  /** Reports prompt parts under which upstreams crashed or ran soundly. */
  readonly 'suspicion.parts': {
    readonly params: {readonly suspicions: readonly PartSuspicion[]};
    readonly result: null;
  };
}
