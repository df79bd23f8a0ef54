/**
 * The handover of requests to another host when this host leaves, and the
 * takeover of requests when another host leaves.
 */
import {
  chooseBackup,
  ExecutionRight,
  findRules,
  type Member,
  type SendOutcome,
  ServingError,
} from '@lacewingwinch/decisions';
import {
  type BackupCopy,
  type HandedOverRequest,
  isPeerError,
} from '@lacewingwinch/entry-hosts';

import type {AttemptLoop} from '../front/attempt_loop.js';
import {type FrontContext, requestUrlAt} from '../front/front_context.js';
import type {RequestRegistry} from '../front/request_registry.js';
import {ServedRequest} from '../front/served_request.js';
import {messageOf} from '../util/message_of.js';
import type {BackupStore} from './backup_store.js';
import type {StreamMover} from './stream_mover.js';

/** Milliseconds within which another host has to take over a request. */
const TAKE_OVER_TIMEOUT_MILLISECONDS = 600;

/** Milliseconds between two checks whether a handover has arrived. */
const HANDOVER_POLL_MILLISECONDS = 50;

/** Outcome used for a request taken over after its rule was removed. */
const FALLBACK_OUTCOME: SendOutcome = {
  kind: 'send',
  hostClasses: ['reclaimable', 'on-demand'],
  failureDomains: [],
  maximumAttempts: 3,
  holdAlone: true,
};

/** Dependencies of `Handover` besides its context. */
export interface HandoverDependencies {
  readonly registry: RequestRegistry;
  readonly backups: BackupStore;
  readonly loop: AttemptLoop;
  readonly mover: StreamMover;
}

/** Hands over the requests of this host and takes over those of others. */
export class Handover {
  constructor(
    private readonly context: FrontContext,
    private readonly dependencies: HandoverDependencies,
  ) {}

  /** Hands over every running request that another host can complete. */
  async handOverRunning(): Promise<void> {
    const running = this.dependencies.registry.running();
    await Promise.all(running.map(request => this.handOver(request)));
  }

  /** Hands over the responses that are kept for later fetches. */
  async handOverAnswers(): Promise<void> {
    const ended = this.dependencies.registry
      .ended()
      .filter(({state}) => state.kind === 'answered');
    await Promise.all(ended.map(request => this.handOverAnswer(request)));
  }

  /**
   * Takes over a request, and returns whether this host has it. A duplicate of
   * the message has no effect.
   */
  takeOver(handedOver: HandedOverRequest): boolean {
    const {copy} = handedOver;
    if (this.dependencies.registry.find(copy.requestId) !== undefined) {
      return true;
    }
    if (this.context.membership.own.status !== 'serving') {
      return false;
    }
    const request = this.restoreRequest(handedOver);
    request.recordStep(
      {kind: 'taken-over', from: copy.front},
      this.context.clock(),
    );
    this.dependencies.registry.add(request);
    this.dependencies.backups.drop([copy.requestId]);
    void this.continueRequest(request, handedOver);
    return true;
  }

  /**
   * Takes over a request of which this host holds the backup copy. Waits for
   * the handover as long as the leaving front is still a member.
   */
  async takeOverFromBackup(
    copy: BackupCopy,
  ): Promise<ServedRequest | undefined> {
    while (this.context.clock() < copy.deadline) {
      const takenOver = this.dependencies.registry.find(copy.requestId);
      if (takenOver !== undefined) {
        return takenOver;
      }
      const status = this.context.membership.find(copy.front)?.status;
      if (status === undefined || status === 'gone') {
        break;
      }
      await new Promise(resolve => {
        setTimeout(resolve, HANDOVER_POLL_MILLISECONDS);
      });
    }
    // Without the front it is unknown whether a non-idempotent request was
    // sent.
    const wasSent = !copy.isIdempotent;
    this.takeOver({
      copy,
      wasSent,
      attempts: 0,
      events: [],
      isAnswered: false,
    });
    return this.dependencies.registry.find(copy.requestId);
  }

  private async continueRequest(
    request: ServedRequest,
    handedOver: HandedOverRequest,
  ): Promise<void> {
    if (handedOver.isAnswered) {
      const {answer} = handedOver;
      request.finish({
        kind: 'answered',
        ...(answer === undefined ? {} : {answer}),
      });
    } else if (
      request.copy.isIdempotent ||
      request.executionRight !== undefined
    ) {
      if (handedOver.cache !== undefined) {
        this.dependencies.mover.addExportedCache(request, handedOver.cache);
      }
      void this.storeNewBackup(request);
      await this.dependencies.loop.run(
        request,
        this.sendOutcomeFor(request.copy),
        Promise.resolve(),
      );
    } else {
      const error = new ServingError('outcome-unknown');
      request.recordStep(
        {kind: 'gave-up', error: error.kind, ran: error.ran},
        this.context.clock(),
      );
      request.finish({kind: 'failed', error});
    }
    this.dependencies.registry.end(request);
  }

  private restoreRequest(handedOver: HandedOverRequest): ServedRequest {
    const {copy, rightId} = handedOver;
    const request = new ServedRequest(
      {...copy, front: this.context.hostId},
      handedOver.fingerprint ?? '',
      Buffer.from(copy.body, 'base64'),
      undefined,
      handedOver.events,
    );
    request.wasSent = handedOver.wasSent;
    request.attempts = handedOver.attempts;
    request.executionRight =
      rightId === undefined ? undefined : new ExecutionRight(rightId);
    return request;
  }

  private sendOutcomeFor(copy: BackupCopy): SendOutcome {
    const rules = findRules(this.context.configuration());
    const rule = rules.find(({name}) => name === copy.rule);
    return rule?.then.kind === 'send' ? rule.then : FALLBACK_OUTCOME;
  }

  private async storeNewBackup(request: ServedRequest): Promise<void> {
    const {membership, peers} = this.context;
    const backup = chooseBackup(
      request.id,
      membership.own,
      membership.serving(),
    );
    if (backup === undefined) {
      return;
    }
    try {
      await peers.call(
        backup.addresses.peers,
        'backup.store',
        request.copy,
        TAKE_OVER_TIMEOUT_MILLISECONDS,
      );
      request.backup = backup.hostId;
    } catch {
      // The request continues without a backup copy.
    }
  }

  private async handOver(request: ServedRequest): Promise<void> {
    await request.waitForClaimDecision();
    // A non-idempotent request that may have been sent is not handed over.
    const isNonIdempotentInFlight =
      !request.copy.isIdempotent && request.wasSent;
    const target = this.targets(request)[0];
    if (isNonIdempotentInFlight || target === undefined) {
      return;
    }
    const cache = await this.dependencies.mover.exportForHost(request);
    if (!request.isRunning()) {
      return;
    }
    const rightId = request.executionRight?.destroy()
      ? request.executionRight.rightId
      : undefined;
    const location = requestUrlAt(target, request.id);
    request.beginMove(location);
    request.cancelAttempt({kind: 'upstream-leaving'});
    const handedOver = this.createHandoverMessage(request, false);
    await this.send(request, target, {
      ...handedOver,
      ...(rightId === undefined ? {} : {rightId}),
      ...(cache === undefined ? {} : {cache}),
    });
    // Clients are redirected only after the other host received the request;
    // before that it would not find it.
    request.notifyMoved();
  }

  private async handOverAnswer(request: ServedRequest): Promise<void> {
    const [target] = this.targets(request);
    if (target !== undefined && request.state.kind === 'answered') {
      const {answer} = request.state;
      await this.send(request, target, {
        ...this.createHandoverMessage(request, true),
        ...(answer === undefined ? {} : {answer}),
      });
      request.redirectAnswer(requestUrlAt(target, request.id));
    }
  }

  private async send(
    request: ServedRequest,
    target: Member,
    handedOver: HandedOverRequest,
  ): Promise<void> {
    try {
      await this.context.peers.call(
        target.addresses.peers,
        'backup.take-over',
        handedOver,
        TAKE_OVER_TIMEOUT_MILLISECONDS,
      );
      const step = {kind: 'handed-over', to: target.hostId} as const;
      request.recordStep(step, this.context.clock());
      this.context.events.write(4004, {
        requestId: request.id,
        hostId: target.hostId,
      });
    } catch (error) {
      this.context.events.write(4005, {
        requestId: request.id,
        error: isPeerError(error) ? error.failure : messageOf(error),
      });
    }
  }

  private createHandoverMessage(
    request: ServedRequest,
    isAnswered: boolean,
  ): HandedOverRequest {
    return {
      copy: request.copy,
      fingerprint: request.fingerprint,
      wasSent: request.wasSent,
      attempts: request.attempts,
      events: request.buffer.from(0),
      isAnswered,
    };
  }

  /**
   * Returns the hosts that can take over `request`, in order of preference: its
   * backup, hosts in other failure domains, all others.
   */
  private targets(request: ServedRequest): readonly Member[] {
    const {membership} = this.context;
    const others = membership
      .serving()
      .filter(({hostId}) => hostId !== this.context.hostId);
    const backup = others.filter(({hostId}) => hostId === request.backup);
    const inOtherDomains = others.filter(
      ({failureDomain}) => failureDomain !== membership.own.failureDomain,
    );
    return [...backup, ...inOtherDomains, ...others];
  }
}
