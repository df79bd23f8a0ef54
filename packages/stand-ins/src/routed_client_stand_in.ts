/**
 * Stand-in for a client on the platform: sends requests in the published
 * format and returns the answers.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  request as sendHttp,
} from 'node:http';

/** How a client interrupts reading an answer. */
export interface ReadPause {
  /** Milliseconds for which it stops after a piece. */
  readonly milliseconds: number;
  /** Number of pieces, from the first one, after which it stops. */
  readonly pieces: number;
}

/** A request to an entry host. */
export interface RoutedStandInCall {
  /** IP address and port of the entry host. */
  readonly address: string;
  readonly path: string;
  readonly attemptId: string;
  readonly key: string;
  /** Milliseconds that the client waits for the answer. */
  readonly deadline: number;
  readonly body: string;
  /** Pool of kept connections; false opens a connection for this request. */
  readonly agent: Agent | false;
  /** Parts of the prompt as `ID:TOKENS`, separated by commas. */
  readonly promptParts?: string;
  /** Headers besides those that every request has. */
  readonly headers?: Readonly<Record<string, string>>;
  /** How the client interrupts reading; it reads steadily if absent. */
  readonly readPause?: ReadPause;
  /** Receives the HTTP request, so that the client can abort it. */
  readonly onRequest?: (request: ClientRequest) => void;
}

/** An answer as the client received it. */
export interface RoutedStandInAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer arrived completely. */
  readonly isComplete: boolean;
  /** Whether the end of the answer says that it is complete. */
  readonly isFramed: boolean;
  /** Whether the answer has the signature of an upstream. */
  readonly isSigned: boolean;
  /** Id of the attempt that the answer belongs to. */
  readonly attemptId: string | undefined;
}

/** Host name that the routes of a stand-in's configuration match. */
export const STAND_IN_HOST = 'host.example';

/**
 * Sends a request and resolves when its answer ends, complete or not. Rejects
 * if the connection fails before an answer begins.
 */
export function callRouted(
  call: RoutedStandInCall,
): Promise<RoutedStandInAnswer> {
  const [host, port] = call.address.split(':');
  return new Promise((resolve, reject) => {
    let hasAnswer = false;
    let isReset = false;
    const request = sendHttp(
      {
        host,
        port,
        path: call.path,
        method: 'POST',
        agent: call.agent,
        headers: {
          host: STAND_IN_HOST,
          'x-attempt-id': call.attemptId,
          'x-deadline-ms': String(call.deadline),
          authorization: `Token ${call.key}`,
          'content-length': Buffer.byteLength(call.body),
          ...(call.promptParts !== undefined && {
            'x-prompt-prefix': call.promptParts,
          }),
          ...call.headers,
        },
      },
      response => {
        hasAnswer = true;
        const {headers, statusCode = 0} = response;
        let body = '';
        let pieces = 0;
        response.on('data', (chunk: Buffer) => {
          body += chunk.toString();
          pieces += 1;
          if (call.readPause !== undefined && pieces <= call.readPause.pieces) {
            response.pause();
            setTimeout(() => response.resume(), call.readPause.milliseconds);
          }
        });
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: statusCode,
            headers,
            body,
            // Node completes an answer without a length when it is reset.
            isComplete: response.complete && !isReset,
            isFramed:
              headers['content-length'] !== undefined ||
              headers['transfer-encoding'] !== undefined,
            isSigned: headers['x-response-signature'] !== undefined,
            attemptId: headers['x-attempt-id']?.toString(),
          }),
        );
      },
    );
    // Once an answer has begun, its own listeners report how it ended.
    request.on('error', error => {
      isReset = true;
      if (!hasAnswer) {
        reject(error);
      }
    });
    call.onRequest?.(request);
    request.end(call.body);
  });
}

/** Kind of a route in a stand-in's configuration. */
export type StandInRuleKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** A route that sends the paths under `prefix` to `service`. */
export interface StandInRule {
  readonly prefix: string;
  readonly kind: StandInRuleKind;
  readonly service: string;
  readonly isResumable?: boolean;
}

/** Returns a configuration in the format that operators publish. */
export function standInConfiguration(
  version: number,
  rules: readonly StandInRule[],
  keys: readonly string[],
): unknown {
  const services = [...new Set(rules.map(({service}) => service))];
  return {
    version,
    routes: rules.map(({prefix, kind, service, isResumable = false}) => ({
      name: prefix,
      host: STAND_IN_HOST,
      pathPrefix: prefix,
      kind,
      service,
      timeoutMs: 2000,
      targetLatencyMs: 500,
      priority: 1,
      maxAttempts: 3,
      streamResumption: isResumable,
    })),
    services: services.map(name => ({name, connectionLimit: 500})),
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 1000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'tenant', apiKeys: keys}],
  };
}
