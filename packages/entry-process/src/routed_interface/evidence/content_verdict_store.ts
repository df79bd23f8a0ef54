/**
 * Keeps the verdicts on whole contents in the store, so that they outlive a restart
 * of every entry host. They share a topic with the verdicts on prompt parts.
 */
import {decodeSuspicion, type Suspicion} from '@lacewingwinch/decisions';
import type {EventLog} from '@lacewingwinch/observability';
import type {StoreClient} from '@lacewingwinch/platform';

import {messageOf} from '../../util/message_of.js';

/** Milliseconds within which the store must answer. */
const STORE_TIMEOUT_MILLISECONDS = 1000;

const NO_VALUE = Buffer.alloc(0);

/** Dependencies of `ContentVerdictStore`. */
export interface ContentVerdictStoreDependencies {
  readonly store: Pick<StoreClient, 'appendKeyed' | 'newest'>;
  readonly events: EventLog;
}

/** The verdicts in the store. Errors are logged, and the call returns. */
export class ContentVerdictStore {
  constructor(private readonly dependencies: ContentVerdictStoreDependencies) {}

  /** Returns the verdicts in the store; undefined if it does not answer. */
  async load(): Promise<readonly Suspicion[] | undefined> {
    const {store, events} = this.dependencies;
    try {
      const {records} = await store.newest('quarantine', {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      });
      return records.flatMap(({value}) =>
        value === undefined ? [] : (decodeSuspicion(value) ?? []),
      );
    } catch (error) {
      events.write(2002, {stream: 'quarantine', error: messageOf(error)});
      return undefined;
    }
  }

  /** Writes a verdict; returns whether the store has it. */
  save(suspicion: Suspicion): Promise<boolean> {
    return this.put(
      suspicion.fingerprint,
      Buffer.from(JSON.stringify(suspicion)),
    );
  }

  /** Removes a verdict; returns whether the store has done so. */
  remove(fingerprint: string): Promise<boolean> {
    return this.put(fingerprint, NO_VALUE);
  }

  private async put(fingerprint: string, value: Buffer): Promise<boolean> {
    const {store, events} = this.dependencies;
    try {
      await store.appendKeyed('quarantine', `content-${fingerprint}`, value, {
        timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS,
      });
      return true;
    } catch (error) {
      events.write(2002, {stream: 'quarantine', error: messageOf(error)});
      return false;
    }
  }
}
