/**
 * Whether a process has the state without which it cannot serve, and whether
 * that state is current.
 */
import type {StoreClient} from '@lacewingwinch/platform';

import type {ConfigurationFollower} from './configuration_follower.js';
import type {UpstreamFollower} from './upstream_follower.js';

/** Dependencies of `RequiredState`. */
export interface RequiredStateDependencies {
  readonly store: Pick<StoreClient, 'canHaveComeBack'>;
  readonly configuration: Pick<ConfigurationFollower, 'current'>;
  readonly upstreams: Pick<UpstreamFollower, 'isKnown'>;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
}

/** The state that a process reads at its start. */
export class RequiredState {
  /**
   * Whether the state that was read at the start is known to be current. It
   * stays so when the store is restored from a copy later.
   */
  private isCurrent = false;

  constructor(private readonly dependencies: RequiredStateDependencies) {}

  /** Whether the configuration and the upstreams have been read. */
  get isRead(): boolean {
    const {configuration, upstreams} = this.dependencies;
    return configuration.current !== undefined && upstreams.isKnown;
  }

  /**
   * Whether this process has to compare its state with other hosts before it
   * serves, because the store can have lost what they know.
   */
  get mustBeCompared(): boolean {
    const {store, isFirstStart} = this.dependencies;
    return store.canHaveComeBack && !isFirstStart && !this.isCurrent;
  }

  /** Whether this process can serve. */
  get isComplete(): boolean {
    return this.isRead && !this.mustBeCompared;
  }

  /** Records that the state was compared or did not have to be. */
  markCurrent(): void {
    this.isCurrent = true;
  }
}
