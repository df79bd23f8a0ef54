/**
 * The closed catalogue of numbered log events.
 */

/** Severity of an event. */
export type EventLevel = 'error' | 'info' | 'warn';

/** One row of the catalogue. */
export interface EventRow {
  readonly level: EventLevel;
  /** The message, with `{name}` for each field that is filled in. */
  readonly message: string;
  /** What an operator does about it. */
  readonly advice: string;
}

/** Every event by its number. */
export const EVENT_CATALOGUE = {
  1001: {
    level: 'info',
    message: 'entry host {hostId} starts in failure domain {failureDomain}',
    advice: 'Nothing.',
  },
  1002: {
    level: 'info',
    message: 'entry host {hostId} serves callers at {address}',
    advice: 'Nothing.',
  },
  1003: {
    level: 'info',
    message: 'entry host {hostId} is leaving: {reason}',
    advice: 'Nothing; it stops once its requests are finished or handed over.',
  },
  1004: {
    level: 'info',
    message: 'entry host {hostId} stopped with {cut} requests cut off',
    advice: 'If any were cut off, look for event 1005.',
  },
  1005: {
    level: 'error',
    message: 'stop bound of {seconds} s passed with {remaining} requests left',
    advice: 'Raise --stop-seconds above the longest request, or drain earlier.',
  },
  1006: {
    level: 'error',
    message: 'unexpected failure in {task}: {error}',
    advice: 'Report it with the log lines around it.',
  },
  1007: {
    level: 'info',
    message: 'entry host {hostId} has read its settings again',
    advice: 'Nothing; addresses change only with a new start.',
  },
  1008: {
    level: 'error',
    message: 'the changed settings cannot be used: {faults}',
    advice: 'Mend the settings file; the settings in force stay in force.',
  },
  2001: {
    level: 'info',
    message: 'configuration {version} is in force',
    advice: 'Nothing.',
  },
  2002: {
    level: 'warn',
    message: 'log stream {stream} cannot be read: {error}',
    advice:
      'See "When the platform is down" in OPERATIONS.md; serving goes on with the configuration in force.',
  },
  2003: {
    level: 'info',
    message: 'log stream {stream} can be read again',
    advice: 'Nothing.',
  },
  2004: {
    level: 'info',
    message: 'configuration {version} was recovered from {peers} serving hosts',
    advice: 'Nothing; the log is read as soon as it answers.',
  },
  2005: {
    level: 'info',
    message: 'configuration snapshot up to {upTo} was appended',
    advice: 'Nothing.',
  },
  2006: {
    level: 'error',
    message: 'log stream {stream} lost records before {earliest}',
    advice:
      'Retention passed the last snapshot. Publish the configuration again.',
  },
  2007: {
    level: 'error',
    message: 'a published configuration of {bytes} bytes cannot be read',
    advice: 'Publish it again; the version in force stays in force.',
  },
  3001: {
    level: 'info',
    message: 'entry host {hostId} is {status}',
    advice: 'Nothing, if the change was wanted.',
  },
  3002: {
    level: 'warn',
    message: 'upstream {upstreamId} is leaving',
    advice: 'Nothing; its streams move.',
  },
  3003: {
    level: 'warn',
    message: 'the platform list {list} cannot be read: {error}',
    advice: 'See "When the platform is down" in OPERATIONS.md.',
  },
  3004: {
    level: 'warn',
    message: 'entry host {hostId} did not answer {method}: {error}',
    advice: 'Nothing, unless it lasts; this host goes on with what it knows.',
  },
  3005: {
    level: 'info',
    message: 'upstream {upstreamId} of {service} in {failureDomain} is {state}',
    advice: 'Nothing, unless many are withdrawn together.',
  },
  4001: {
    level: 'warn',
    message: 'request {requestId} ended with {kind}',
    advice: 'lacewingctl explain {requestId} shows why.',
  },
  4002: {
    level: 'warn',
    message: 'request {requestId} moves from upstream {upstreamId}: {cause}',
    advice: 'Nothing, unless there are many.',
  },
  4003: {
    level: 'warn',
    message: 'content {fingerprint} crashed upstream {upstreamId}',
    advice:
      'After two crashes, on the platform after three, it is refused for a while.',
  },
  4004: {
    level: 'info',
    message: 'request {requestId} was handed over to {hostId}',
    advice: 'Nothing.',
  },
  4005: {
    level: 'warn',
    message: 'request {requestId} could not be handed over: {error}',
    advice: 'Nothing; its caller was told whether it ran.',
  },
  4101: {
    level: 'info',
    message:
      'request {requestId} ended with {outcome} after {duration} ms and {eventCount} events: rule {rule}, configuration {version}, {attempts} attempts, last at upstream {upstreamId}',
    advice: 'Look for events 4102 to 4104 of the same request.',
  },
  4102: {
    level: 'warn',
    message:
      'attempt {attempt} of request {requestId} at upstream {upstreamId} ended with {failure}: {reason}; next: {next}',
    advice: 'Nothing, unless there are many for one upstream.',
  },
  4103: {
    level: 'warn',
    message:
      'request {requestId} is refused with {kind}: {detail}; configuration {version} is {age} ms old',
    advice: 'See the page of error kinds.',
  },
  4104: {
    level: 'info',
    message:
      'request {requestId} goes to upstream {upstreamId}: first token in {estimate} ms, {cached} of {prompt} prompt tokens cached',
    advice: 'Nothing.',
  },
  5001: {
    level: 'info',
    message: 'lease {fencingNumber} for orders is held by {hostId}',
    advice: 'Nothing.',
  },
  5004: {
    level: 'warn',
    message: 'entry host {hostId} no longer holds the duties',
    advice: 'Nothing; another host takes them after the lease.',
  },
  5005: {
    level: 'warn',
    message: 'a round of the duties failed: {error}',
    advice: 'See "When the platform is down" in OPERATIONS.md.',
  },
  5006: {
    level: 'info',
    message: 'usage of window {window} is reported: {total} requests',
    advice: 'Nothing.',
  },
  5007: {
    level: 'info',
    message:
      '{count} {hostClass} engines of {service} in {failureDomain} are ordered: {result}',
    advice: 'Nothing; an order that is refused is tried again.',
  },
  5003: {
    level: 'warn',
    message: 'starts of {hostClass} hosts in {failureDomain} are refused',
    advice: 'Nothing; the order goes to another offer.',
  },
} as const satisfies Readonly<Record<number, EventRow>>;

/** The number of an event. */
export type EventNumber = keyof typeof EVENT_CATALOGUE;

type FieldsIn<Message extends string> =
  Message extends `${string}{${infer Field}}${infer Rest}`
    ? Field | FieldsIn<Rest>
    : never;

/** The fields that an event is filled in with. */
export type EventFields<N extends EventNumber> = Readonly<
  Record<FieldsIn<(typeof EVENT_CATALOGUE)[N]['message']>, number | string>
>;

/** The row of event `number`. */
export function eventRow(number: EventNumber): EventRow {
  return EVENT_CATALOGUE[number];
}

/** The message of event `number` with its fields filled in. */
export function renderEvent<N extends EventNumber>(
  number: N,
  fields: EventFields<N>,
): string {
  const values: Readonly<Record<string, number | string>> = fields;
  return eventRow(number).message.replaceAll(/\{(\w+)\}/g, (_, field: string) =>
    String(values[field]),
  );
}
