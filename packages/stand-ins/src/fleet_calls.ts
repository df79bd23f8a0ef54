/** Requests of clients to an entry host of a fleet. */

/** The part of an entry host that a client uses. */
export interface CallableEntry {
  /** IP address and port for client requests. */
  readonly callers: string;
}

/** Sends a completion request to `entry`. */
export function callCompletion(
  entry: CallableEntry,
  key: string,
  prompt: string,
  tokens: number,
  options: {
    readonly isStreamed?: boolean;
    readonly headers?: Readonly<Record<string, string>>;
  } = {},
): Promise<Response> {
  return fetch(`http://${entry.callers}/v1/completions`, {
    method: 'POST',
    redirect: 'manual',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      ...options.headers,
    },
    body: JSON.stringify({
      model: 'writer',
      prompt,
      max_tokens: tokens,
      stream: options.isStreamed ?? false,
    }),
  });
}

/** Sends a request for a plain service to `entry`. */
export function callPlain(
  entry: CallableEntry,
  key: string,
  service: string,
  body: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Response> {
  return fetch(`http://${entry.callers}/v1/services/${service}/call`, {
    method: 'POST',
    redirect: 'manual',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'text/plain',
      ...headers,
    },
    body,
  });
}
