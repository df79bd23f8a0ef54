/**
 * The task that gives this host's counts of begun requests to the hosts that
 * may have to report them, before this host may die with them.
 */
import type {Member, UsageWindows} from '@lacewingwinch/decisions';
import type {PeerCaller} from '@lacewingwinch/entry-hosts';

import {isAborted} from '../util/is_aborted.js';
import {pause} from '../util/pause.js';

/** Milliseconds between two pushes; what is younger dies with its host. */
const PUSH_PERIOD_MILLISECONDS = 1000;

/** What the task needs from others. */
export interface UsagePushContext {
  readonly processId: string;
  readonly usage: UsageWindows;
  readonly peers: PeerCaller;
  /** Hosts that may have to report, without this one. */
  readonly candidates: () => readonly Member[];
  readonly trueTime: () => number;
}

/** Pushes counts. */
export class UsagePush {
  constructor(private readonly context: UsagePushContext) {}

  /** Runs until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!isAborted(signal)) {
      await pause(PUSH_PERIOD_MILLISECONDS, signal);
      this.push();
    }
  }

  private push(): void {
    const {usage, peers, candidates, processId, trueTime} = this.context;
    usage.forget(trueTime());
    const counts = usage.list(processId);
    if (counts.length === 0) {
      return;
    }
    for (const {addresses} of candidates()) {
      peers.notify(addresses.peers, 'usage.push', {counts});
    }
  }
}
