/**
 * Messages that keep accepted requests and their answers at a second host.
 */
import type {BodyFraming} from '@lacewingwinch/decisions';

/** The copy of an accepted request that its backup stores. */
export interface BackupCopy {
  readonly requestId: string;
  readonly front: string;
  readonly workspace: string;
  readonly service: string;
  readonly callKind: 'chat-completion' | 'completion' | 'plain';
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  /** Encoded in Base64. */
  readonly body: string;
  readonly priority: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  readonly isStreamed: boolean;
  readonly isIdempotent: boolean;
  readonly needsClaim: boolean;
  readonly key: string;
  readonly configurationVersion: number;
  readonly rule: string;
}

/** State of a request at its front at the time of the handover. */
export interface HandedOverRequest {
  readonly copy: BackupCopy;
  /** Hash of workspace and content; absent if only the copy remained. */
  readonly fingerprint?: string;
  /**
   * ID of the execution right, which the sender has destroyed; absent if the
   * right was already consumed.
   */
  readonly rightId?: string;
  /** Whether any attempt sent a byte to an upstream. */
  readonly wasSent: boolean;
  readonly attempts: number;
  /** Events of the answer received so far. */
  readonly events: readonly string[];
  /** The complete answer, if there is one. */
  readonly answer?: KeptAnswer;
  /** Whether the events, or the answer, are complete. */
  readonly isAnswered: boolean;
  /** Key-value cache that was exported for the next attempt. */
  readonly cache?: {readonly address: string; readonly handle: string};
}

/** A complete answer that is kept so that clients can fetch it again. */
export interface KeptAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Encoded in Base64. */
  readonly body: string;
  /** Framing of the answer of the upstream; it is passed on with it. */
  readonly framing: BodyFraming;
}

/** Parameters and result of each of these methods. */
export interface BackupMethods {
  readonly 'backup.store': {
    readonly params: BackupCopy;
    readonly result: {readonly stored: boolean};
  };
  readonly 'backup.drop': {
    readonly params: {readonly requestIds: readonly string[]};
    readonly result: null;
  };
  readonly 'backup.take-over': {
    readonly params: HandedOverRequest;
    readonly result: {readonly taken: boolean};
  };
  readonly 'request.locate': {
    readonly params: {readonly requestId: string};
    readonly result: {readonly isHere: boolean};
  };
}
