/**
 * Messages about requests and prompt parts that crash upstreams.
 */
import type {
  PartAtService,
  PartSuspicion,
  Suspicion,
} from '@lacewingwinch/decisions';

/** Parameters and result of each of these methods. */
export interface SuspicionMethods {
  /** Reports that content is suspected of crashing upstreams, or cleared. */
  readonly 'suspicion.report': {
    readonly params: Suspicion;
    readonly result: null;
  };
  /**
   * Requests to try one request with a refused content. Builds before do not know the
   * method, so that the request stays refused.
   */
  readonly 'suspicion.trial': {
    readonly params: {readonly fingerprint: string};
    readonly result: {readonly isGranted: boolean};
  };
  /**
   * Requests to try one request with a refused prompt part. Builds before do not know
   * the method, so that the request stays refused.
   */
  readonly 'suspicion.part-trial': {
    readonly params: PartAtService & {readonly isSeparating: boolean};
    readonly result: {readonly isGranted: boolean};
  };
  /** Reports prompt parts under which upstreams crashed or ran soundly. */
  readonly 'suspicion.parts': {
    readonly params: {readonly suspicions: readonly PartSuspicion[]};
    readonly result: null;
  };
}
