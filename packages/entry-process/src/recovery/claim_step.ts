/**
 * The claim of the execution right for a non-idempotent request.
 */
import {
  type Claim,
  ExecutionRight,
  type Member,
  ServingError,
} from '@lacewingwinch/decisions';
import type {ClaimVerdict} from '@lacewingwinch/entry-hosts';

import {type FrontContext, requestUrlAt} from '../front/front_context.js';
import type {RequestRegistry} from '../front/request_registry.js';
import type {ServedRequest} from '../front/served_request.js';

/** Milliseconds within which a host has to respond whether it has a request. */
const LOCATE_TIMEOUT_MILLISECONDS = 500;

/** Maximum number of hosts queried for a request besides its holder. */
const MAXIMUM_HOSTS_QUERIED = 16;

/** Claims execution rights for requests. */
export class ClaimStep {
  constructor(
    private readonly context: FrontContext,
    private readonly registry: RequestRegistry,
  ) {}

  /**
   * Gives `request` the execution right if its claim is the first one for its
   * key. Otherwise redirects `request` to the host that responds to the first
   * one.
   */
  async claim(request: ServedRequest): Promise<void> {
    const claim: Claim = {
      type: 'claim',
      key: request.copy.key,
      fingerprint: request.fingerprint,
      holder: this.context.hostId,
      requestId: request.id,
      rightId: this.context.newId(),
    };
    const verdict = await this.decideClaim(claim);
    request.recordStep(
      {kind: 'claimed', verdict: verdict.kind, rightId: claim.rightId},
      this.context.clock(),
    );
    switch (verdict.kind) {
      case 'won':
        request.executionRight = new ExecutionRight(claim.rightId);
        return;
      case 'lost':
        requireSameContent(verdict.winner.fingerprint, request.fingerprint);
        await this.redirectToWinner(request, verdict.winner);
    }
  }

  private async decideClaim(claim: Claim): Promise<ClaimVerdict> {
    try {
      return await this.context.claims.decide(claim);
    } catch (error) {
      // The claim may still reach the log, but this process will not use it.
      this.context.claims.release(claim.key, claim.rightId);
      throw error;
    }
  }

  private async redirectToWinner(
    request: ServedRequest,
    winner: Claim,
  ): Promise<void> {
    const host = await this.findHostOf(winner);
    if (host === undefined) {
      throw new ServingError('outcome-unknown', {
        detail: 'an earlier request with the same idempotency key may have run',
      });
    }
    const location = requestUrlAt(host, winner.requestId);
    request.finish({kind: 'moved', location});
  }

  private async findHostOf(winner: Claim): Promise<Member | undefined> {
    const {membership} = this.context;
    if (this.registry.find(winner.requestId) !== undefined) {
      return membership.own;
    }
    const holder = membership.find(winner.holder);
    const others = membership
      .live()
      .filter(({hostId}) => hostId !== winner.holder)
      .slice(0, MAXIMUM_HOSTS_QUERIED);
    const queried = [...(holder === undefined ? [] : [holder]), ...others];
    const answers = await Promise.all(
      queried.map(member => this.hasRequest(member, winner.requestId)),
    );
    return queried[answers.indexOf(true)];
  }

  private async hasRequest(
    member: Member,
    requestId: string,
  ): Promise<boolean> {
    try {
      const {isHere} = await this.context.peers.call(
        member.addresses.peers,
        'request.locate',
        {requestId},
        LOCATE_TIMEOUT_MILLISECONDS,
      );
      return isHere;
    } catch {
      return false;
    }
  }
}

/** Throws `key-reused` if one idempotency key was sent with two contents. */
export function requireSameContent(earlier: string, later: string): void {
  if (earlier !== later) {
    throw new ServingError('key-reused');
  }
}
