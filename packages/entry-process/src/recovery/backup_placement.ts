/**
 * Placing of the backup copy of a request.
 */
import {
  chooseBackup,
  type Member,
  type SendOutcome,
  ServingError,
} from '@lacewingwinch/decisions';

import type {FrontContext} from '../front/front_context.js';
import type {ServedRequest} from '../front/served_request.js';

/** Milliseconds that a backup has to store a copy. */
const BACKUP_TIMEOUT_MILLISECONDS = 500;

/** Hosts that are tried when the chosen one does not store the copy. */
const OTHER_BACKUPS = 2;

/** Places backup copies. */
export class BackupPlacement {
  constructor(
    private readonly context: Pick<FrontContext, 'membership' | 'peers'>,
  ) {}

  /**
   * Stores a copy of `request` in another failure domain. Where there is none,
   * the rule decides whether the request may be held by this host alone.
   */
  async hold(request: ServedRequest, outcome: SendOutcome): Promise<void> {
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
    const others = membership
      .serving()
      .filter(
        ({hostId, failureDomain}) =>
          hostId !== backup?.hostId &&
          failureDomain !== membership.own.failureDomain,
      );
    for (const other of others.slice(0, OTHER_BACKUPS)) {
      if (await this.storeAt(other, request)) {
        request.backup = other.hostId;
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
        BACKUP_TIMEOUT_MILLISECONDS,
      );
      return stored;
    } catch {
      return false;
    }
  }
}
