/**
 * Authentication of clients by workspace key.
 */
import {createHash, timingSafeEqual} from 'node:crypto';

import {
  type Configuration,
  listWorkspaces,
  type Workspace,
} from '@lacewingwinch/decisions';

/** Finds the workspace of a key; compares key hashes in constant time. */
export class WorkspaceKeys {
  private version = Number.NaN;
  private byHash: ReadonlyMap<string, Workspace> = new Map();

  /** Returns the workspace that accepts `key`. */
  find(
    configuration: Configuration,
    key: string | undefined,
  ): Workspace | undefined {
    if (key === undefined) {
      return undefined;
    }
    this.refresh(configuration);
    const digest = createHash('sha256').update(key).digest();
    const hash = digest.toString('hex');
    const workspace = this.byHash.get(hash);
    const isMatch = workspace?.keyHashes.some(accepted =>
      timingSafeEqual(Buffer.from(accepted, 'hex'), digest),
    );
    return isMatch === true ? workspace : undefined;
  }

  private refresh(configuration: Configuration): void {
    if (configuration.version === this.version) {
      return;
    }
    this.version = configuration.version;
    this.byHash = new Map(
      listWorkspaces(configuration).flatMap(workspace =>
        workspace.keyHashes.map(hash => [hash, workspace] as const),
      ),
    );
  }
}
