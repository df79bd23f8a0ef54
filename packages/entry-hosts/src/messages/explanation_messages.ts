/**
 * Messages that explain what would become of a request, for operators.
 */
import type {
  ExplainedRequest,
  RequestExplanation,
} from '@lacewingwinch/decisions';

/** Another host that can be queried. */
export interface ExplainingHost {
  readonly hostId: string;
  /** Address for other entry hosts, as IP:port. */
  readonly address: string;
}

/** Response to a request to explain another one. */
export type ExplanationAnswer =
  | {
      readonly kind: 'explained';
      readonly explanation: RequestExplanation;
      /** The other serving hosts that this one knows. */
      readonly otherHosts: readonly ExplainingHost[];
    }
  /** The request cannot be explained. */
  | {readonly kind: 'invalid'; readonly fault: string};

/** Parameters and result of each of these methods. */
export interface ExplanationMethods {
  /** Explains what would become of a request, and sends nothing. */
  readonly 'request.explain': {
    readonly params: ExplainedRequest;
    readonly result: ExplanationAnswer;
  };
}
