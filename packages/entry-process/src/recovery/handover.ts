/**
 * Handing over of requests when this host leaves, and taking over when
 * another one does.
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

/** Milliseconds that another host has to take a request over. */
const TAKE_OVER_TIMEOUT_MILLISECONDS = 600;

/** Milliseconds between two looks at a request that is being handed over. */
const ADOPT_PERIOD_MILLISECONDS = 50;

/** What a taken-over request may use when its rule is gone. */
const FALLBACK_OUTCOME: SendOutcome = {
  kind: 'send',
  hostClasses: ['reclaimable', 'on-demand'],
  failureDomains: [],
  maximumAttempts: 3,
  holdAlone: true,
};

/** What handing over needs from the rest of the front. */
export interface HandoverParts {
  readonly registry: RequestRegistry;
  readonly backups: BackupStore;
  readonly loop: AttemptLoop;
  readonly mover: StreamMover;
}

/** Hands requests over and takes them over. */
export class Handover {
  constructor(
    private readonly context: FrontContext,
    private readonly parts: HandoverParts,
  ) {}

  /** Hands over every request that another host can finish. */
  async handOverRunning(): Promise<void> {
    const running = this.parts.registry.running();
    await Promise.all(running.map(request => this.handOver(request)));
  }

  /** Hands over the answers that are kept for fetching again. */
  async handOverAnswers(): Promise<void> {
    const ended = this.parts.registry
      .ended()
      .filter(({state}) => state.kind === 'answered');
    await Promise.all(ended.map(request => this.handOverAnswer(request)));
  }

  /** Takes over a request; a doubled message changes nothing. */
  takeOver(handed: HandedOverRequest): boolean {
    const {copy} = handed;
    if (this.parts.registry.find(copy.requestId) !== undefined) {
      return true;
    }
    if (this.context.membership.own.status !== 'serving') {
      return false;
    }
    const request = this.restore(handed);
    request.note({kind: 'taken-over', from: copy.front}, this.context.clock());
    this.parts.registry.add(request);
    this.parts.backups.drop([copy.requestId]);
    void this.goOn(request, handed);
    return true;
  }

  /**
   * Serves a request of which only the backup copy is left. While the front
   * that leaves still lives, its handover is waited for.
   */
  async adoptCopy(copy: BackupCopy): Promise<ServedRequest | undefined> {
    while (this.context.clock() < copy.deadline) {
      const taken = this.parts.registry.find(copy.requestId);
      if (taken !== undefined) {
        return taken;
      }
      const status = this.context.membership.find(copy.front)?.status;
      if (status === undefined || status === 'gone') {
        break;
      }
      await new Promise(resolve => {
        setTimeout(resolve, ADOPT_PERIOD_MILLISECONDS);
      });
    }
    // Without the front it is not known whether a call that may not be
    // repeated was sent.
    const wasSent = !copy.isIdempotent;
    this.takeOver({
      copy,
      wasSent,
      attempts: 0,
      events: [],
      isAnswered: false,
    });
    return this.parts.registry.find(copy.requestId);
  }

  private async goOn(
    request: ServedRequest,
    handed: HandedOverRequest,
  ): Promise<void> {
    if (handed.isAnswered) {
      const {answer} = handed;
      request.finish({
        kind: 'answered',
        ...(answer === undefined ? {} : {answer}),
      });
    } else if (request.copy.isIdempotent || request.right !== undefined) {
      if (handed.cache !== undefined) {
        this.parts.mover.import(request, handed.cache);
      }
      void this.storeCopyElsewhere(request);
      await this.parts.loop.run(
        request,
        this.outcomeOf(request.copy),
        Promise.resolve(),
      );
    } else {
      const error = new ServingError('outcome-unknown');
      request.note(
        {kind: 'gave-up', error: error.kind, ran: error.ran},
        this.context.clock(),
      );
      request.finish({kind: 'failed', error});
    }
    this.parts.registry.end(request);
  }

  private restore(handed: HandedOverRequest): ServedRequest {
    const {copy, rightId} = handed;
    const request = new ServedRequest(
      {...copy, front: this.context.hostId},
      handed.fingerprint ?? '',
      Buffer.from(copy.body, 'base64'),
      undefined,
      handed.events,
    );
    request.wasSent = handed.wasSent;
    request.attempts = handed.attempts;
    request.right =
      rightId === undefined ? undefined : new ExecutionRight(rightId);
    return request;
  }

  private outcomeOf(copy: BackupCopy): SendOutcome {
    const rules = findRules(this.context.configuration());
    const rule = rules.find(({name}) => name === copy.rule);
    return rule?.then.kind === 'send' ? rule.then : FALLBACK_OUTCOME;
  }

  private async storeCopyElsewhere(request: ServedRequest): Promise<void> {
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
      // The request goes on, held by this host alone.
    }
  }

  private async handOver(request: ServedRequest): Promise<void> {
    await request.rightDecided();
    const isInFlightOnce = !request.copy.isIdempotent && request.wasSent;
    const target = this.targets(request)[0];
    if (isInFlightOnce || target === undefined) {
      return;
    }
    const cache = await this.parts.mover.exportForHost(request);
    if (!request.isRunning()) {
      return;
    }
    const rightId = request.right?.destroy()
      ? request.right.rightId
      : undefined;
    const location = requestUrlAt(target, request.id);
    request.beginMove(location);
    request.cancelAttempt({kind: 'upstream-leaving'});
    const handed = this.describe(request, false);
    await this.send(request, target, {
      ...handed,
      ...(rightId === undefined ? {} : {rightId}),
      ...(cache === undefined ? {} : {cache}),
    });
    // Only now the other host knows the request, so that callers find it.
    request.tellMoved();
  }

  private async handOverAnswer(request: ServedRequest): Promise<void> {
    const [target] = this.targets(request);
    if (target !== undefined && request.state.kind === 'answered') {
      const {answer} = request.state;
      await this.send(request, target, {
        ...this.describe(request, true),
        ...(answer === undefined ? {} : {answer}),
      });
      request.move(requestUrlAt(target, request.id));
    }
  }

  private async send(
    request: ServedRequest,
    target: Member,
    handed: HandedOverRequest,
  ): Promise<void> {
    try {
      await this.context.peers.call(
        target.addresses.peers,
        'backup.take-over',
        handed,
        TAKE_OVER_TIMEOUT_MILLISECONDS,
      );
      const step = {kind: 'handed-over', to: target.hostId} as const;
      request.note(step, this.context.clock());
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

  private describe(
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

  /** Hosts that can take `request` over, the best first. */
  private targets(request: ServedRequest): readonly Member[] {
    const {membership} = this.context;
    const others = membership
      .serving()
      .filter(({hostId}) => hostId !== this.context.hostId);
    const backup = others.filter(({hostId}) => hostId === request.backup);
    const elsewhere = others.filter(
      ({failureDomain}) => failureDomain !== membership.own.failureDomain,
    );
    return [...backup, ...elsewhere, ...others];
  }
}
