/**
 * A stand-in for a caller on the platform: sends calls in the published format
 * and notes what it gets.
 */
import {
  type Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  request as sendHttp,
} from 'node:http';

/** A call to an entry host. */
export interface RoutedStandInCall {
  /** IP number and port of the entry host. */
  readonly address: string;
  readonly path: string;
  readonly attemptId: string;
  readonly key: string;
  /** Milliseconds for which the caller waits. */
  readonly deadline: number;
  readonly body: string;
  /** Keeps connections open between calls; false for a connection of its own. */
  readonly agent: Agent | false;
  /** Headers besides those of every call. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Is given the request, for callers that leave. */
  readonly onRequest?: (request: ClientRequest) => void;
}

/** What a caller got. */
export interface RoutedStandInAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer says that it is whole. */
  readonly isComplete: boolean;
  /** Whether it bears the signature of an upstream. */
  readonly isSigned: boolean;
  /** The attempt that the answer names. */
  readonly attemptId: string | undefined;
}

/** Host that the rules of the stand-in's configurations name. */
export const STAND_IN_HOST = 'host.example';

/**
 * Sends a call and waits until its answer ends, whole or not; rejects if none
 * came.
 */
export function callRouted(
  call: RoutedStandInCall,
): Promise<RoutedStandInAnswer> {
  const [host, port] = call.address.split(':');
  return new Promise((resolve, reject) => {
    let hasAnswer = false;
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
          ...call.headers,
        },
      },
      response => {
        hasAnswer = true;
        const {headers, statusCode = 0} = response;
        let body = '';
        response.on('data', (chunk: Buffer) => {
          body += chunk.toString();
        });
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: statusCode,
            headers,
            body,
            isComplete: response.complete,
            isSigned: headers['x-response-signature'] !== undefined,
            attemptId: headers['x-attempt-id']?.toString(),
          }),
        );
      },
    );
    // After the head of an answer its own listener says how it ended.
    request.on('error', error => {
      if (!hasAnswer) {
        reject(error);
      }
    });
    call.onRequest?.(request);
    request.end(call.body);
  });
}

/** The kinds of rules of a stand-in's configuration. */
export type StandInRuleKind = 'idempotent' | 'non_idempotent' | 'streaming';

/** A rule that sends the paths under `prefix` to `service`. */
export interface StandInRule {
  readonly prefix: string;
  readonly kind: StandInRuleKind;
  readonly service: string;
  readonly isResumable?: boolean;
}

/** A configuration as operators publish it. */
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
