/**
 * Keeps the verdicts on prompt parts in the store, so that they outlive a restart
 * of every entry host.
 */
import {createHash} from 'node:crypto';

import {
  decodePartSuspicion,
  type PartAtService,
  type PartSuspicion,
} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {StoreClient} from '@lacewingwinch/platform';

import type {VerdictStore} from '../../tasks/verdict_store.js';
import {messageOf} from '../../util/message_of.js';

/** Milliseconds within which the store must answer. */
const STORE_TIMEOUT_MILLISECONDS = 1000;

const NO_VALUE = Buffer.alloc(0);

/** Dependencies of `PartVerdictStore`. */
export interface PartVerdictStoreDependencies {
  readonly store: Pick<StoreClient, 'appendKeyed' | 'newest'>;
  readonly events: EventLog;
}

/** The verdicts in the store. Errors are logged, and the call returns. */
export class PartVerdictStore implements VerdictStore {
  constructor(private readonly dependencies: PartVerdictStoreDependencies) {}

  async load(): Promise<readonly PartSuspicion[] | undefined> {
    const {store, events} = this.dependencies;
    try {
      const {records} = await store.newest('quarantine', {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      });
      return records.flatMap(({value}) =>
        value === undefined ? [] : (decodePartSuspicion(value) ?? []),
      );
    } catch (error) {
      events.write(2002, {stream: 'quarantine', error: messageOf(error)});
      return undefined;
    }
  }

  save(suspicion: PartSuspicion): Promise<boolean> {
    return this.put(suspicion, Buffer.from(JSON.stringify(suspicion)));
  }

  remove(part: PartAtService): Promise<boolean> {
    return this.put(part, NO_VALUE);
  }

  private async put(part: PartAtService, value: Buffer): Promise<boolean> {
    const {store, events} = this.dependencies;
    try {
      await store.appendKeyed('quarantine', recordKeyOf(part), value, {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      });
      return true;
    } catch (error) {
      events.write(2002, {stream: 'quarantine', error: messageOf(error)});
      return false;
    }
  }
}

/** Returns a key of bounded length; the store allows 255 bytes. */
function recordKeyOf({service, partId}: PartAtService): string {
  return createHash('sha1').update(`${service}\n${partId}`).digest('hex');
}
