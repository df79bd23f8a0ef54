/**
 * What the attempts of requests show about their content and the messages that
 * they share, and the refusal of what crashes upstreams.
 */
import {type AttemptFailure, ServingError} from '@lacewingwinch/decisions';

import type {FrontContext} from './front_context.js';
import {ranOf} from './served_request.js';
import type {RequestRun, SlotFinder, UpstreamSlot} from './slot_finder.js';

/**
 * Milliseconds after the first event of an attempt within which a crash is blamed
 * on its prompt.
 */
const ACCUSATION_MILLISECONDS = 500;

/** Least wait that the refusal of a prompt with a refused part states. */
const MINIMUM_WAIT_MILLISECONDS = 1000;

/** Passes what attempts show to the quarantine. */
export class AttemptEvidence {
  constructor(
    private readonly context: FrontContext,
    private readonly slotFinder: SlotFinder,
  ) {}

  /** Throws if the request has content under which upstreams crash. */
  requireNotQuarantined(run: RequestRun): void {
    const {request, service} = run;
    const now = this.context.clock();
    const verdict = this.slotFinder.quarantineVerdictOf(run, now);
    if (verdict.kind === 'quarantined') {
      throw new ServingError('quarantined', {
        ran: ranOf(request),
        retryAfterSeconds: Math.ceil((verdict.until - now) / 1000),
      });
    }
    const decision = this.context.parts.decide(
      service.name,
      request.sharedParts,
    );
    if (decision.kind === 'refused') {
      throw new ServingError('prompt-part-quarantined', {
        ran: ranOf(request),
        detail: `message ${decision.part.partId} crashed upstreams`,
        retryAfterSeconds:
          Math.max(MINIMUM_WAIT_MILLISECONDS, decision.milliseconds) / 1000,
      });
    }
  }

  /** Records that an upstream answered a request completely. */
  recordAnswered({request, service}: RequestRun, slot: UpstreamSlot): void {
    const {quarantine, parts, clock} = this.context;
    if (slot.isAlone) {
      quarantine.clear(request.fingerprint, clock());
    }
    parts.recordSound(service.name, request.sharedParts, 0);
  }

  /**
   * Records a lost connection as a possible crash caused by the content, unless
   * the upstream is leaving, or the links of this host are suspect and another
   * host reaches the upstream.
   */
  async recordFailure(
    run: RequestRun,
    slot: UpstreamSlot,
    failure: AttemptFailure,
  ): Promise<void> {
    const {quarantine, directory, events, membership, clock, paths} =
      this.context;
    const {fingerprint} = run.request;
    const upstreamId = slot.upstream.id;
    const isLeaving = directory.leavingIds().includes(upstreamId);
    if (failure.kind !== 'connection-lost' || isLeaving) {
      return;
    }
    paths.recordLost(upstreamId);
    const millisecondsSinceBegun =
      clock() - (run.request.attemptBegunAt ?? clock());
    const recordCrash = (): void => {
      quarantine.recordCrash(upstreamId, fingerprint, slot.isAlone, clock());
      this.accuseParts(run, upstreamId, millisecondsSinceBegun);
      events.write(4003, {fingerprint, upstreamId});
      membership.broadcast();
    };
    const {address} = slot.upstream;
    const lost = {
      upstreamId,
      address,
      bornAt: 0,
      runningSince: undefined,
      time: clock(),
    };
    if (await paths.isUpstreamToBlame(lost)) {
      recordCrash();
    }
  }

  private accuseParts(
    {request, service}: RequestRun,
    upstreamId: string,
    millisecondsSinceBegun: number,
  ): void {
    const {parts} = this.context;
    const {sharedParts} = request;
    if (
      sharedParts.length > 0 &&
      millisecondsSinceBegun <= ACCUSATION_MILLISECONDS
    ) {
      const crashed = {service: service.name, upstreamId, bornAt: 0};
      parts.recordCrash(crashed, sharedParts, 0);
    }
  }
}
