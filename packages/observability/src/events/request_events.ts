/**
 * The log events of requests.
 */
import type {EventRow} from './event_row.js';

/** Events 4001 to 4999. */
export const REQUEST_EVENTS = {
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
      'After two crashes (on the platform after three) this content is refused until a trial shows that it is sound.',
  },
  4004: {
    level: 'info',
    message: 'request {requestId} was handed over to {hostId}',
    advice: 'No action needed.',
  },
  4005: {
    level: 'warn',
    message: 'request {requestId} could not be handed over: {error}',
    advice: 'No action needed; the answer states whether the request ran.',
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
      'request {requestId} is sent to upstream {upstreamId} with software version {softwareVersion}: first token expected after {estimate} ms with an error of {error} ms, from loads that are {age} ms old (-1 if unknown), {cached} of {prompt} prompt tokens cached',
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
  4120: {
    level: 'info',
    message:
      'request {requestId} of rank {rank} is refused by {service} ({reason}): its first event would take {start} ms with an error of {error} ms, on knowledge {age} ms old; the load up to this rank is {load}%; it may return after {retryAfter} ms (place: {place}); relation to an earlier refusal: {returned}',
    advice: 'See "From a refused request to its cause" in OPERATIONS.md.',
  },
  4121: {
    level: 'info',
    message:
      'request {requestId} of rank {rank} is sent to {service} with rank {promotedRank}, because requests like it were refused several times in a row',
    advice:
      'No action needed; see "From a refused request to its cause" in OPERATIONS.md.',
  },
  4122: {
    level: 'info',
    message:
      'request {requestId} of rank {rank} is admitted to {service} after an earlier refusal ({returned}); first event expected after {start} ms',
    advice:
      'No action needed; see "From a refused request to its cause" in OPERATIONS.md.',
  },
  4116: {
    level: 'warn',
    message:
      '{count} requests were refused before this one without an event of their own; this one with {kind}',
    advice:
      'Clients send many requests that no configuration allows; see lacewingwinch_requests_total for the kinds.',
  },
  4123: {
    level: 'warn',
    message:
      '{count} clients were refused or disconnected at the address for {server}: {reason}',
    advice: 'See "Why a client was disconnected" in OPERATIONS.md.',
  },
  4124: {
    level: 'info',
    message:
      'request {requestId} tries whether content {fingerprint} still crashes upstreams',
    advice:
      'No action needed; one request is tried, each time eight times later than before.',
  },
  4125: {
    level: 'info',
    message:
      'request {requestId} locates the stream of {resumedAttemptId} by {basis}: software version {softwareVersion} (empty if it is not known)',
    advice:
      'If many streams are not known, look for event 3005 of the upstreams of their service and for event 2002; "incomplete-history" is expected after the store came back from an older copy.',
  },
  4126: {
    level: 'info',
    message:
      'upstream {upstreamId} did not report its start to request {requestId}, whose stream it began; by the list its process is {judgement}',
    advice:
      'No action needed unless it happens often: then the upstream does not answer reports, and its streams may be refused with stream-unknown when they are taken up.',
  },
  4127: {
    level: 'info',
    message:
      'upstream {upstreamId} closed all connections of this host while it ran content {fingerprint}, and its process lives on',
    advice:
      'It does not count as a crash. No action needed unless it happens often at one upstream.',
  },
} as const satisfies Readonly<Record<number, EventRow>>;
