/**
 * The log events of other hosts and upstreams.
 */
import type {EventRow} from './event_row.js';

/** Events 3001 to 3999. */
export const FLEET_EVENTS = {
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
      'upstream {upstreamId} of {service} requested that this host pauses for {milliseconds} ms',
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
      'this host reaches no upstream; the last one was reached {silence} ms ago',
    advice:
      'Other hosts carry its requests meanwhile. Look at its links; -1 means that none was reached since its start.',
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
  3017: {
    level: 'info',
    message:
      'all connections to upstream {upstreamId} were lost and this host does not reach it; for other hosts it is {finding}: {queried} were queried, {answered} answered',
    advice:
      'With `out-of-reach` the upstream counts as crashed; with `reached` or `unknown` only if it starts again (3018).',
  },
  3018: {
    level: 'info',
    message:
      'upstream {upstreamId} had ended when its connections were lost: {startedId} has started in its place',
    advice: 'No action needed.',
  },
  3019: {
    level: 'info',
    message:
      'the store has the software versions of {service} that may have begun streams: {versions}',
    advice:
      'No action needed; while there are several, the origins of streams are kept in the store.',
  },
  3030: {
    level: 'warn',
    message:
      'entry {upstreamId} in the list of upstreams names no upstream to use: {fault}',
    advice:
      'Another writer has written it, or an upstream that this version does not understand; the others are used as before.',
  },
  3031: {
    level: 'warn',
    message:
      'upstream {upstreamId} of {service} sent headers that cannot be used: {headers}',
    advice:
      'They are ignored; logged once for each start of an upstream. Look at the software of the upstream.',
  },
  3040: {
    level: 'info',
    message: 'entry hosts {hostIds} are {status}',
    advice: 'No action needed if the change was intended.',
  },
  3041: {
    level: 'info',
    message: '{count} upstreams of {service} are listed at the start',
    advice: 'No action needed; later changes are logged one by one.',
  },
  3042: {
    level: 'warn',
    message: 'entry host {hostId} is short of processor time',
    advice:
      'If half of the strong hosts are, clients are sent to the spares as well; add strong hosts if it happens often.',
  },
  3043: {
    level: 'info',
    message: 'entry host {hostId} has processor time again',
    advice: 'No action needed.',
  },
} as const satisfies Readonly<Record<number, EventRow>>;
