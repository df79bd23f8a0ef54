/**
 * Responses to service discovery and readiness checks.
 */
import type {DirectoryAnswer} from '@lacewingwinch/callers';
import {type Member, selectHostsForClients} from '@lacewingwinch/decisions';
import {type DirectoryCall, encodeDiscovery} from '@lacewingwinch/platform';

/**
 * Seconds for which clients cache a discovery response: short enough that few
 * still know a host that has left, long enough that they seldom repeat the
 * request.
 */
const DISCOVERY_CACHE_SECONDS = 2;

/**
 * Maximum number of addresses in one discovery response, by the platform's
 * contract.
 */
const DISCOVERY_MAXIMUM_ADDRESSES = 64;

/** The state of this host that a response depends on. */
export interface DirectoryView {
  readonly isReady: boolean;
  readonly serving: readonly Member[];
  /** Maximum number of seconds for which clients may cache a response. */
  readonly maximumCacheSeconds: number;
}

/** Returns the response to a discovery or readiness call. */
export function answerDirectoryCall(
  call: DirectoryCall,
  view: DirectoryView,
): DirectoryAnswer {
  switch (call.kind) {
    case 'discover': {
      const addresses = selectHostsForClients(
        view.serving,
        call.clientDomain,
        DISCOVERY_MAXIMUM_ADDRESSES,
      ).map(member => member.addresses.callers);
      const seconds = Math.min(
        DISCOVERY_CACHE_SECONDS,
        view.maximumCacheSeconds,
      );
      return {status: 200, body: encodeDiscovery(addresses, seconds)};
    }
    case 'is-ready':
      return {status: view.isReady ? 200 : 503, body: '{}'};
    case 'unknown':
      return {status: 404, body: '{}'};
  }
}
