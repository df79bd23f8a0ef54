/**
 * Trials of requests with refused prompt parts. One host grants those of a part to all
 * of them, so that the first request which may be tried is, wherever it arrives.
 */
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {callPeer} from '../util/call_peer.js';
import type {PartDecision} from './part_decision.js';
import type {PartWatch} from './part_watch.js';

/** Milliseconds for the host that grants the trials of a part to answer. */
const GRANT_TIMEOUT_MILLISECONDS = 200;

/** Dependencies of `PartTrials`. */
export interface PartTrialsDependencies {
  readonly hostId: string;
  readonly peers: PeerClient;
  readonly events: EventLog;
  readonly parts: Pick<PartWatch, 'decide' | 'trialHostOf'>;
}

/** The trials of prompt parts at one host. */
export class PartTrials {
  constructor(private readonly dependencies: PartTrialsDependencies) {}

  /** Decides how a request of `service` with `parts` is treated now. */
  async decide(
    service: string,
    parts: readonly string[],
  ): Promise<PartDecision> {
    const decision = this.dependencies.parts.decide(service, parts);
    const isDueElsewhere =
      decision.kind === 'refused' && decision.milliseconds === 0;
    return isDueElsewhere && (await this.isGranted(decision))
      ? {...decision, kind: 'trial'}
      : decision;
  }

  private async isGranted({
    part,
    isSeparating,
  }: Extract<PartDecision, {kind: 'refused'}>): Promise<boolean> {
    const {hostId, parts} = this.dependencies;
    const granting = parts.trialHostOf(part);
    if (granting === undefined || granting.hostId === hostId) {
      return false;
    }
    const answer = await callPeer(
      this.dependencies,
      granting,
      'suspicion.part-trial',
      {...part, isSeparating},
      GRANT_TIMEOUT_MILLISECONDS,
    );
    return answer?.isGranted ?? false;
  }
}
