/**
 * The catalogue of all numbered log events.
 */

/** The severity of an event. */
export type EventLevel = 'error' | 'info' | 'warn';

/** An entry of the catalogue. */
export interface EventRow {
  readonly level: EventLevel;
  /** Message template, with a placeholder `{name}` for each field. */
  readonly message: string;
  /** What an operator should do about the event. */
  readonly advice: string;
}

/** All events by number. */
export const EVENT_CATALOGUE = {
  1001: {
    level: 'info',
    message:
      'entry host {hostId} is starting in failure domain {failureDomain}',
    advice: 'No action needed.',
  },
  1002: {
    level: 'info',
    message: 'entry host {hostId} accepts requests at {address}',
    advice: 'No action needed.',
  },
  1003: {
    level: 'info',
    message: 'entry host {hostId} is leaving: {reason}',
    advice:
      'No action needed; it stops once its requests are finished or handed over.',
  },
  1004: {
    level: 'info',
    message: 'entry host {hostId} stopped; {cut} requests were cut off',
    advice: 'If requests were cut off, look for event 1005.',
  },
  1005: {
    level: 'error',
    message:
      'stop deadline of {seconds} s passed with {remaining} requests still in progress',
    advice:
      'Raise --stop-seconds above the duration of the longest request, or drain earlier.',
  },
  1006: {
    level: 'error',
    message: 'unexpected error in {task}: {error}',
    advice: 'Report it together with the surrounding log lines.',
  },
  1007: {
    level: 'info',
    message: 'entry host {hostId} reloaded its settings',
    advice:
      'No action needed; changed addresses take effect only after a restart.',
  },
  1008: {
    level: 'error',
    message: 'the changed settings are invalid: {faults}',
    advice:
      'Correct the settings file; until then the previous settings stay in force.',
  },
  1009: {
    level: 'error',
    message:
      'entry host {hostId} leaves and ends because of an uncaught error: {stack}',
    advice:
      'Report it with the surrounding log lines; see "A host that ends by itself" in OPERATIONS.md.',
  },
  2001: {
    level: 'info',
    message: 'configuration {version} is in force',
    advice: 'No action needed.',
  },
  2002: {
    level: 'warn',
    message: 'log stream {stream} cannot be read or written: {error}',
    advice:
      'See "When the platform is down" in OPERATIONS.md; requests are still served with the configuration in force.',
  },
  2003: {
    level: 'info',
    message: 'log stream {stream} can be read again',
    advice: 'No action needed.',
  },
  2004: {
    level: 'info',
    message: 'configuration {version} was recovered from {peers} serving hosts',
    advice: 'No action needed; the log is read as soon as it answers.',
  },
  2005: {
    level: 'info',
    message: 'configuration snapshot up to offset {upTo} was appended',
    advice: 'No action needed.',
  },
  2006: {
    level: 'error',
    message:
      'log stream {stream} no longer has the records before offset {earliest}',
    advice:
      'Log retention removed records that no snapshot covers. Publish the configuration again.',
  },
  2007: {
    level: 'error',
    message: 'a published configuration of {bytes} bytes cannot be parsed',
    advice: 'Publish it again; the current version stays in force.',
  },
  3001: {
    level: 'info',
    message: 'entry host {hostId} is {status}',
    advice: 'No action needed if the change was intended.',
  },
  3002: {
    level: 'warn',
    message: 'upstream {upstreamId} is leaving',
    advice: 'No action needed; its streams are moved to other upstreams.',
  },
  3003: {
    level: 'warn',
    message: 'platform list {list} cannot be read: {error}',
    advice: 'See "When the platform is down" in OPERATIONS.md.',
  },
  3004: {
    level: 'warn',
    message: 'call {method} to entry host {hostId} failed: {error}',
    advice:
      'No action needed unless it persists; this host continues with the state that it has.',
  },
  3005: {
    level: 'info',
    message: 'upstream {upstreamId} of {service} in {failureDomain} is {state}',
    advice:
      'No action needed unless many upstreams are withdrawn at the same time.',
  },
  3006: {
    level: 'info',
    message: 'upstream {upstreamId} of {service} announced that it is leaving',
    advice: 'No action needed; it gets no new requests.',
  },
  3007: {
    level: 'info',
    message:
      'upstream {upstreamId} of {service} asked this host to pause for {milliseconds} ms',
    advice:
      'No action needed unless it happens often: then the service has too few upstreams.',
  },
  3008: {
    level: 'info',
    message:
      'upstream {upstreamId} of {service} takes {limit} requests a second from all hosts together',
    advice:
      'No action needed unless many upstreams do so: then the service has too few of them.',
  },
  3009: {
    level: 'info',
    message: 'upstream {upstreamId} of {service} names no limit any more',
    advice: 'No action needed.',
  },
  3010: {
    level: 'warn',
    message:
      'upstream {upstreamId} gets no requests from this host for {milliseconds} ms: {result} at entry host {front}',
    advice:
      'If many upstreams are named within a second, the links of the entry host are at fault.',
  },
  3011: {
    level: 'warn',
    message: 'upstream {upstreamId} is out of reach of this host: {reason}',
    advice:
      'If other hosts reach it, look at the link of this host; see "A host that does not reach upstreams" in OPERATIONS.md.',
  },
  3012: {
    level: 'info',
    message: 'upstream {upstreamId} is in reach of this host again',
    advice: 'No action needed.',
  },
  3013: {
    level: 'warn',
    message:
      'this host reaches no upstream; the last one was heard {silence} ms ago',
    advice:
      'Other hosts carry its requests meanwhile. Look at its links; -1 means that none was heard since its start.',
  },
  3014: {
    level: 'info',
    message: 'this host reaches upstreams again',
    advice: 'No action needed.',
  },
  3015: {
    level: 'warn',
    message:
      'upstream {upstreamId} of {service} falls over if it has to turn away more than {limit} requests a second',
    advice:
      'Add upstreams to the service; until then requests are refused before they reach it.',
  },
  3016: {
    level: 'info',
    message: 'upstream {upstreamId} of {service} is not brittle any more',
    advice: 'No action needed.',
  },
  4001: {
    level: 'warn',
    message: 'request {requestId} failed with {kind}',
    advice: 'Run "lacewingctl explain {requestId}" to see why.',
  },
  4002: {
    level: 'warn',
    message:
      'request {requestId} is moved away from upstream {upstreamId}: {cause}',
    advice: 'No action needed unless it happens often.',
  },
  4003: {
    level: 'warn',
    message: 'request content {fingerprint} crashed upstream {upstreamId}',
    advice:
      'After two crashes (on the platform after three) this content is refused for a while.',
  },
  4004: {
    level: 'info',
    message: 'request {requestId} was handed over to {hostId}',
    advice: 'No action needed.',
  },
  4005: {
    level: 'warn',
    message: 'request {requestId} could not be handed over: {error}',
    advice: 'No action needed; the client was told whether the request ran.',
  },
  4101: {
    level: 'info',
    message:
      'request {requestId} ended with {outcome} after {duration} ms and {eventCount} events: rule {rule}, configuration {version}, {attempts} attempts, of which {reached} were sent, the last at upstream {upstreamId}',
    advice: 'Look for events 4102 to 4104 of the same request.',
  },
  4102: {
    level: 'warn',
    message:
      'attempt {attempt} of request {requestId} at upstream {upstreamId} failed with {failure}: {reason}; next step: {next}',
    advice: 'No action needed unless it happens often at one upstream.',
  },
  4103: {
    level: 'warn',
    message:
      'request {requestId} was refused with {kind}: {detail}; configuration {version} is {age} ms old',
    advice: 'See ERRORS.md for the error kinds.',
  },
  4104: {
    level: 'info',
    message:
      'request {requestId} is sent to upstream {upstreamId} with software version {softwareVersion}: first token expected after {estimate} ms, {cached} of {prompt} prompt tokens cached',
    advice: 'No action needed.',
  },
  4105: {
    level: 'info',
    message:
      'request {requestId} found every upstream of {service} paused for {milliseconds} ms: {decision}',
    advice: 'Look for event 3007 of the upstreams of the service.',
  },
  4106: {
    level: 'info',
    message:
      'the answer of upstream {upstreamId} to request {requestId}, framed by {framing}, ended {pendingBytes} bytes after its last complete event',
    advice:
      'No action needed unless it happens often: then the upstream crashes, or sends answers without a length.',
  },
  4107: {
    level: 'info',
    message:
      'request {requestId} takes up the stream of {resumedAttemptId} after event {lastEventId}',
    advice:
      'Look for event 4104 of both requests: their software versions must be the same.',
  },
  4108: {
    level: 'warn',
    message:
      'the connection of request {requestId} to upstream {upstreamId} ended {begun} ms after the answer had begun and after {eventCount} events; shared prompt parts {parts}',
    advice:
      'A value of -1 means that the answer had not begun. If many of these events name the same part, the part crashes upstreams.',
  },
  4109: {
    level: 'warn',
    message:
      'prompt part {part} of {service} is refused: {crashes} upstreams crashed under it, the first {span} ms ago; sound runs known: {wasSound}',
    advice:
      'Find the requests with the part by events 4108 and have it removed from prompts; see "A prompt part that crashes upstreams" in OPERATIONS.md.',
  },
  4110: {
    level: 'info',
    message:
      'prompt part {part} of {service} is served again: a run with it was sound',
    advice: 'No action needed; the upstreams crashed for another reason.',
  },
  4111: {
    level: 'info',
    message:
      'request {requestId} tries whether prompt part {part} of {service} still crashes upstreams',
    advice: 'No action needed.',
  },
  4112: {
    level: 'info',
    message:
      'request {requestId} waits {milliseconds} ms until upstream {upstreamId} takes another request',
    advice:
      'Look for event 3008 of the upstreams of the service: too many of them are in need.',
  },
  4113: {
    level: 'info',
    message:
      'request {requestId} is sent to upstream {upstreamId} through entry host {hostId}',
    advice: 'Look for events 4114 and 4115 of the request at that host.',
  },
  4114: {
    level: 'warn',
    message:
      'request {requestId} of entry host {front} was not carried to upstream {upstreamId}: {reason}',
    advice: 'No action needed; the entry host tries another way.',
  },
  4115: {
    level: 'info',
    message:
      'request {requestId} of entry host {front} was carried to upstream {upstreamId}: {outcome}',
    advice: 'Look for events 3011 and 3013 at that entry host.',
  },
  5001: {
    level: 'info',
    message:
      'entry host {hostId} holds the lease for orders or duties with fencing number {fencingNumber}',
    advice: 'No action needed.',
  },
  5004: {
    level: 'warn',
    message: 'entry host {hostId} no longer holds the duty lease',
    advice:
      'No action needed; another host takes over once the lease has expired.',
  },
  5005: {
    level: 'warn',
    message: 'a round of the duty task failed: {error}',
    advice: 'See "When the platform is down" in OPERATIONS.md.',
  },
  5006: {
    level: 'info',
    message: 'usage of window {window} was reported: {total} requests',
    advice: 'No action needed.',
  },
  5007: {
    level: 'info',
    message:
      '{count} {hostClass} engines of {service} in {failureDomain} were ordered: {result}',
    advice: 'No action needed; a refused order is retried.',
  },
  5008: {
    level: 'warn',
    message:
      'the store came back from an older copy while entry host {hostId} renewed the duty lease',
    advice:
      'See "When the store comes back from an older copy" in OPERATIONS.md.',
  },
  5003: {
    level: 'warn',
    message:
      'an order for {hostClass} hosts in {failureDomain} was not filled completely',
    advice:
      'No action needed; the missing hosts are ordered from another offer.',
  },
} as const satisfies Readonly<Record<number, EventRow>>;

/** The number of an event in the catalogue. */
export type EventNumber = keyof typeof EVENT_CATALOGUE;

type FieldsIn<Message extends string> =
  Message extends `${string}{${infer Field}}${infer Rest}`
    ? Field | FieldsIn<Rest>
    : never;

/** The values for the placeholders in the message of event `N`. */
export type EventFields<N extends EventNumber> = Readonly<
  Record<FieldsIn<(typeof EVENT_CATALOGUE)[N]['message']>, number | string>
>;

/** Returns the catalogue entry of event `number`. */
export function eventRow(number: EventNumber): EventRow {
  return EVENT_CATALOGUE[number];
}

/** Returns the message of event `number` with `fields` filled in. */
export function renderEvent<N extends EventNumber>(
  number: N,
  fields: EventFields<N>,
): string {
  const values: Readonly<Record<string, number | string>> = fields;
  return eventRow(number).message.replaceAll(/\{(\w+)\}/g, (_, field: string) =>
    String(values[field]),
  );
}
