/**
 * Placement of the backup copy of a request at another host.
 */
import {
  chooseBackup,
  type Member,
  type SendOutcome,
  ServingError,
} from '@lacewingwinch/decisions';

import type {FrontContext} from '../front/front_context.js';
import type {ServedRequest} from '../front/served_request.js';

/** Milliseconds within which a backup has to store a copy. */
const STORE_TIMEOUT_MILLISECONDS = 500;

/**
 * Maximum number of hosts tried after the chosen one failed to store a copy.
 */
const MAXIMUM_FALLBACK_HOSTS = 2;

/** Chooses backups and stores copies of requests at them. */
export class BackupPlacement {
  constructor(
    private readonly context: Pick<FrontContext, 'membership' | 'peers'>,
  ) {}

  /**
   * Stores a copy of `request` in another failure domain. If no host there
   * stores it, the rule decides whether the request is accepted without a
   * backup.
   */
  async storeBackup(
    request: ServedRequest,
    outcome: SendOutcome,
  ): Promise<void> {
    const {membership} = this.context;
    const backup = chooseBackup(
      request.id,
      membership.own,
      membership.serving(),
    );
    if (backup !== undefined && (await this.storeAt(backup, request))) {
      request.backup = backup.hostId;
      return;
    }
    const fallbacks = membership
      .serving()
      .filter(
        ({hostId, failureDomain}) =>
          hostId !== backup?.hostId &&
          failureDomain !== membership.own.failureDomain,
      );
    for (const fallback of fallbacks.slice(0, MAXIMUM_FALLBACK_HOSTS)) {
      if (await this.storeAt(fallback, request)) {
        request.backup = fallback.hostId;
        return;
      }
    }
    if (!outcome.holdAlone) {
      throw new ServingError('backup-unreachable');
    }
  }

  private async storeAt(
    backup: Member,
    request: ServedRequest,
  ): Promise<boolean> {
    try {
      const {stored} = await this.context.peers.call(
        backup.addresses.peers,
        'backup.store',
        request.copy,
        STORE_TIMEOUT_MILLISECONDS,
      );
      return stored;
    } catch {
      return false;
    }
  }
}
