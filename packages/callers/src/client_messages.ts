/**
 * Messages between the HTTP server for clients and the task that serves their
 * requests.
 */
import type {
  BodyFraming,
  CallKind,
  DiscoveredHost,
  ServingError,
} from '@lacewingwinch/decisions';

/** A client request that was read completely and whose form is valid. */
export interface ClientCall {
  readonly service: string | undefined;
  readonly callKind: CallKind;
  readonly method: string;
  /** Path and query of the request to the entry host. */
  readonly target: string;
  /** Path and query of the request to the upstream. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly workspaceKey: string | undefined;
  /** Milliseconds since the epoch. */
  readonly deadline: number | undefined;
  /** 0 (least urgent) to 9 (most urgent). */
  readonly priority: number;
  readonly idempotencyKey: string | undefined;
  /** Creation time of the key, in milliseconds since the epoch. */
  readonly keyCreated: number | undefined;
  readonly isStreamed: boolean;
  readonly traceparent: string | undefined;
}

/** A client request to fetch the answer of an earlier request. */
export interface FetchCall {
  readonly requestId: string;
  readonly workspaceKey: string | undefined;
  readonly isStreamed: boolean;
  /** Offset of the first event that the client has not received. */
  readonly fromOffset: number;
}

/** An item of a streamed answer. */
export type StreamItem =
  | {readonly kind: 'end'}
  | {readonly kind: 'event'; readonly offset: number; readonly data: string}
  | {readonly kind: 'failed'; readonly error: ServingError}
  /** The stream continues at another entry host. */
  | {readonly kind: 'moved'; readonly location: string};

/** The answer to a client request. */
export type ClientAnswer =
  | {
      readonly kind: 'moved';
      readonly status: 303 | 307;
      readonly location: string;
      readonly requestId?: string;
    }
  | {
      readonly kind: 'refused';
      readonly error: ServingError;
      readonly requestId?: string;
      readonly headers?: Readonly<Record<string, string>>;
    }
  | {
      readonly kind: 'stream';
      readonly requestId: string;
      readonly headers: Readonly<Record<string, string>>;
      readonly items: AsyncIterable<StreamItem>;
    }
  | {
      readonly kind: 'whole';
      readonly requestId: string;
      readonly status: number;
      readonly contentType: string;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: Buffer;
      /** With the framing `connection` it has no length. */
      readonly framing: BodyFraming;
    };

/** The list of entry hosts for one client. */
export interface Discovery {
  readonly hosts: readonly DiscoveredHost[];
  readonly maximumAgeSeconds: number;
}

/** Serves the requests that the HTTP server has read. */
export interface CallHandler {
  serve(call: ClientCall): Promise<ClientAnswer>;
  fetch(call: FetchCall): Promise<ClientAnswer>;
  discover(client: string): Discovery;
}
