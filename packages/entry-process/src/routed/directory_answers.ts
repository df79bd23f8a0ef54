/**
 * Answers to callers that ask where to connect and to checks of readiness.
 */
import type {DirectoryAnswer} from '@lacewingwinch/callers';
import type {Member} from '@lacewingwinch/decisions';
import {type DirectoryCall, encodeDiscovery} from '@lacewingwinch/platform';

/**
 * Seconds for which callers keep the answer of discovery: short enough that few
 * still know a host that left, long enough that callers seldom ask.
 */
const DISCOVERY_SECONDS = 2;

/** Addresses in one answer of discovery, by the platform's contract. */
const DISCOVERY_MAXIMUM_ADDRESSES = 64;

/** What this host knows for an answer. */
export interface DirectoryView {
  readonly isReady: boolean;
  readonly serving: readonly Member[];
  /** Longest time that callers may keep an answer. */
  readonly longestSeconds: number;
}

/** Answers one call. */
export function answerDirectoryCall(
  call: DirectoryCall,
  view: DirectoryView,
): DirectoryAnswer {
  switch (call.kind) {
    case 'discover': {
      const addresses = view.serving
        .map(member => member.addresses.callers)
        .slice(0, DISCOVERY_MAXIMUM_ADDRESSES);
      const seconds = Math.min(DISCOVERY_SECONDS, view.longestSeconds);
      return {status: 200, body: encodeDiscovery(addresses, seconds)};
    }
    case 'is-ready':
      return {status: view.isReady ? 200 : 503, body: '{}'};
    case 'unknown':
      return {status: 404, body: '{}'};
  }
}
