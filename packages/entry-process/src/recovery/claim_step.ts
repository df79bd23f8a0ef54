/**
 * The claim of the right to execute a non-idempotent request.
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

/** Milliseconds that another host has to say whether it has a request. */
const LOCATE_TIMEOUT_MILLISECONDS = 500;

/** Hosts that are asked for a request whose holder does not have it. */
const HOSTS_TO_ASK = 16;

/** Claims rights for requests. */
export class ClaimStep {
  constructor(
    private readonly context: FrontContext,
    private readonly registry: RequestRegistry,
  ) {}

  /**
   * Gives `request` the right to execute if its claim is the first one of its
   * key. Otherwise `request` moves to where the first one is answered.
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
    request.note(
      {kind: 'claimed', verdict: verdict.kind, rightId: claim.rightId},
      this.context.clock(),
    );
    switch (verdict.kind) {
      case 'won':
        request.right = new ExecutionRight(claim.rightId);
        return;
      case 'lost':
        requireSameContent(verdict.winner.fingerprint, request.fingerprint);
        await this.followWinner(request, verdict.winner);
    }
  }

  private async decideClaim(claim: Claim): Promise<ClaimVerdict> {
    try {
      return await this.context.claims.decide(claim);
    } catch (error) {
      // The claim may still appear in the log; this process will not use it.
      this.context.claims.release(claim.key, claim.rightId);
      throw error;
    }
  }

  private async followWinner(
    request: ServedRequest,
    winner: Claim,
  ): Promise<void> {
    const place = await this.locate(winner);
    if (place === undefined) {
      throw new ServingError('outcome-unknown', {
        detail: 'an earlier request with the same idempotency key may have run',
      });
    }
    const location = requestUrlAt(place, winner.requestId);
    request.finish({kind: 'moved', location});
  }

  private async locate(winner: Claim): Promise<Member | undefined> {
    const {membership} = this.context;
    if (this.registry.find(winner.requestId) !== undefined) {
      return membership.own;
    }
    const holder = membership.find(winner.holder);
    const others = membership
      .live()
      .filter(({hostId}) => hostId !== winner.holder)
      .slice(0, HOSTS_TO_ASK);
    const asked = [...(holder === undefined ? [] : [holder]), ...others];
    const answers = await Promise.all(
      asked.map(member => this.hasRequest(member, winner.requestId)),
    );
    return asked[answers.indexOf(true)];
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

/** Fails with `key-reused` when a key stands for two contents. */
export function requireSameContent(earlier: string, later: string): void {
  if (earlier !== later) {
    throw new ServingError('key-reused');
  }
}
