/**
 * Answers that end with their connection, which shows neither that the run was sound
 * nor that it crashed the upstream. It was sound if the process lives on.
 */
import type {ConnectionPool} from '@lacewingwinch/upstreams';

import type {
  EndedUpstream,
  LostConnection,
} from '../../paths/blame_inquiries.js';
import type {ProbedProcess, ProcessAddress} from '../../paths/process_probe.js';
import type {CrashWatch} from './crash_watch.js';

/** Milliseconds within which all connections of a crashed upstream end. */
const CRASH_DETECTION_MILLISECONDS = 100;

/** Dependencies of `UnconfirmedEnds`. */
export interface UnconfirmedEndsDependencies {
  readonly pool: Pick<ConnectionPool, 'hasOpenConnection'>;
  readonly crashes: Pick<
    CrashWatch,
    'recordCompletion' | 'reportCrash' | 'reportIfToBlame'
  >;
  /** Returns what answers at the address of a process. */
  readonly probe: (process: ProcessAddress) => Promise<ProbedProcess>;
  /** Returns milliseconds since the epoch, the same on all hosts. */
  readonly trueTime: () => number;
}

/** The unconfirmed ends of answers at one host. */
export class UnconfirmedEnds {
  constructor(private readonly dependencies: UnconfirmedEndsDependencies) {}

  /**
   * Records that an answer to content has ended with its connection. `onCrash` is
   * called if the process has ended too, and the links of this host have not failed.
   */
  record(
    fingerprint: string,
    upstream: LostConnection,
    onCrash: () => void,
  ): void {
    const {pool, crashes, trueTime} = this.dependencies;
    const ended = {...upstream, time: trueTime()};
    setTimeout(() => {
      if (pool.hasOpenConnection(upstream.address)) {
        crashes.recordCompletion(fingerprint);
        return;
      }
      void this.judge(fingerprint, ended, onCrash);
    }, CRASH_DETECTION_MILLISECONDS).unref();
  }

  private async judge(
    fingerprint: string,
    ended: EndedUpstream,
    onCrash: () => void,
  ): Promise<void> {
    const {probe, crashes} = this.dependencies;
    const probed = await probe(ended);
    switch (probed) {
      case 'same':
      case 'unstated':
        crashes.recordCompletion(fingerprint);
        return;
      case 'other':
        crashes.reportCrash(fingerprint, ended);
        onCrash();
        return;
      case 'none':
        await crashes.reportIfToBlame(fingerprint, ended, onCrash);
    }
  }
}
