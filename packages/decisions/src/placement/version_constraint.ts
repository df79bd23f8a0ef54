/**
 * The software versions at which a request may run. A stream that has begun
 * continues at its version only; a request that a roll-out has not assigned to
 * the new version runs at any other.
 */
import type {ListedUpstream} from '../upstreams/listed_upstream.js';

/** The software versions that are allowed. */
export type VersionConstraint =
  | {
      readonly kind: 'only';
      readonly softwareVersion: string;
      /** Upstreams of the version that are allowed; absent for all of them. */
      readonly upstreamIds?: readonly string[];
    }
  | {
      readonly kind: 'except';
      readonly softwareVersion: string;
      /** Further versions that are not allowed. */
      readonly furtherVersions?: readonly string[];
    };

/** Returns whether `upstream` has an allowed version. */
export function satisfiesVersion(
  upstream: Pick<ListedUpstream, 'softwareVersion'> &
    Partial<Pick<ListedUpstream, 'upstreamId'>>,
  constraint: VersionConstraint | undefined,
): boolean {
  switch (constraint?.kind) {
    case undefined:
      return true;
    case 'only':
      return (
        upstream.softwareVersion === constraint.softwareVersion &&
        (constraint.upstreamIds?.includes(upstream.upstreamId ?? '') ?? true)
      );
    case 'except':
      return (
        upstream.softwareVersion !== constraint.softwareVersion &&
        constraint.furtherVersions?.includes(upstream.softwareVersion) !== true
      );
  }
}
