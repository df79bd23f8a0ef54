/**
 * The task that serves client requests.
 */
import {createHash} from 'node:crypto';

import type {
  CallHandler,
  ClientAnswer,
  ClientCall,
  Discovery,
  FetchCall,
} from '@lacewingwinch/callers';
import {
  discoverHosts,
  DISCOVERY_MAXIMUM_AGE_SECONDS,
  findWorkspace,
  type Service,
  ServingError,
  type Workspace,
} from '@lacewingwinch/decisions';
import type {BackupCopy} from '@lacewingwinch/entry-hosts';
import type {Explanation} from '@lacewingwinch/operators';

import {BackupPlacement} from '../recovery/backup_placement.js';
import type {BackupStore} from '../recovery/backup_store.js';
import {ClaimStep, requireSameContent} from '../recovery/claim_step.js';
import {admitCall, type AdmittedCall} from './admission.js';
import type {AttemptLoop} from './attempt_loop.js';
import {awaitAnswer, refusalOf} from './client_answer.js';
import {claimKeyOf} from './engine_request.js';
import {clientUrlOf, type FrontContext, requestUrlAt} from './front_context.js';
import type {RequestRegistry} from './request_registry.js';
import {outcomeOf, ServedRequest} from './served_request.js';
import {WorkspaceKeys} from './workspace_keys.js';

/** Dependencies of `FrontTask` besides its context. */
export interface FrontTaskDependencies {
  readonly registry: RequestRegistry;
  readonly backups: BackupStore;
  readonly loop: AttemptLoop;
  /** Returns whether this process can accept new requests. */
  readonly isReady: () => boolean;
  /** Takes over a request of which this host holds the backup copy. */
  readonly takeOverFromBackup: (
    copy: BackupCopy,
  ) => Promise<ServedRequest | undefined>;
}

/** Serves client requests from admission to response. */
export class FrontTask implements CallHandler {
  private readonly workspaceKeys = new WorkspaceKeys();
  private readonly backupPlacement: BackupPlacement;
  private readonly claimStep: ClaimStep;

  constructor(
    private readonly context: FrontContext,
    private readonly dependencies: FrontTaskDependencies,
  ) {
    this.backupPlacement = new BackupPlacement(context);
    this.claimStep = new ClaimStep(context, dependencies.registry);
  }

  async serve(call: ClientCall): Promise<ClientAnswer> {
    const {membership} = this.context;
    if (membership.own.status === 'leaving') {
      return this.redirectToOtherHost(call);
    }
    const requestId = this.context.newId();
    const span = this.context.tracing.startHop(
      'request',
      'server',
      call.traceparent,
      {'request.id': requestId, service: call.service ?? ''},
    );
    const started = this.context.clock();
    const answer = await this.tryServe(call, requestId, span.traceparent);
    const service = call.service ?? '';
    this.context.metrics.firstByteSeconds.observe(
      {service},
      (this.context.clock() - started) / 1000,
    );
    span.end(answer.kind === 'refused' ? answer.error.kind : undefined);
    return answer;
  }

  async fetch(call: FetchCall): Promise<ClientAnswer> {
    const workspace = this.workspaceKeys.find(
      this.context.configuration(),
      call.workspaceKey,
    );
    if (workspace === undefined) {
      return refusalOf(new ServingError('workspace-key-rejected'), undefined);
    }
    const request =
      this.dependencies.registry.find(call.requestId) ??
      (await this.resolveFromBackup(call.requestId, workspace));
    if (request instanceof ServedRequest) {
      return request.copy.workspace === workspace.name
        ? awaitAnswer(request, call.isStreamed, call.fromOffset, {})
        : refusalOf(new ServingError('request-unknown'), undefined);
    }
    return request ?? refusalOf(new ServingError('request-unknown'), undefined);
  }

  discover(client: string): Discovery {
    const {membership, paths, hostId} = this.context;
    const hosts = paths.hostsForClients(membership.serving(), hostId);
    return {
      hosts: discoverHosts(hosts, client),
      maximumAgeSeconds: DISCOVERY_MAXIMUM_AGE_SECONDS,
    };
  }

  /** Returns the explanation of a request for operators. */
  explain(requestId: string): Explanation | undefined {
    return this.dependencies.registry.explain(requestId);
  }

  private async tryServe(
    call: ClientCall,
    requestId: string,
    traceparent: string | undefined,
  ): Promise<ClientAnswer> {
    let workspace: Workspace | undefined;
    try {
      if (!this.dependencies.isReady()) {
        throw new ServingError('not-ready');
      }
      const configuration = this.context.configuration();
      workspace = this.workspaceKeys.find(configuration, call.workspaceKey);
      if (workspace === undefined) {
        throw new ServingError('workspace-key-rejected');
      }
      return await this.serveInWorkspace(
        workspace,
        call,
        requestId,
        traceparent,
      );
    } catch (error) {
      const servingError =
        error instanceof ServingError
          ? error
          : new ServingError('internal', {cause: error});
      this.recordRefusal(call, workspace?.name ?? '', requestId, servingError);
      return refusalOf(servingError, requestId);
    }
  }

  private async serveInWorkspace(
    workspace: Workspace,
    call: ClientCall,
    requestId: string,
    traceparent: string | undefined,
  ): Promise<ClientAnswer> {
    const now = this.context.clock();
    const admitted = admitCall(
      call,
      workspace,
      this.context.configuration(),
      service => ({
        load: this.context.loadOf(service.name),
        isReclaimWave: this.context.directory.isReclaimWave(),
      }),
      now,
    );
    const {service} = admitted;
    const key = claimKeyOf(
      workspace.name,
      service.name,
      call.idempotencyKey ?? requestId,
    );
    const fingerprint = fingerprintOf(workspace, call);
    const headers = idempotencyHeaders(service, key);
    const earlier = this.dependencies.registry.findByKey(key);
    if (earlier !== undefined) {
      requireSameContent(earlier.fingerprint, fingerprint);
      return awaitAnswer(earlier, call.isStreamed, 0, headers);
    }
    this.requireNotQuarantined(fingerprint, service, now);
    this.consumeLimits(workspace, now);
    const request = new ServedRequest(
      this.createBackupCopy(call, admitted, workspace, requestId, key),
      fingerprint,
      call.body,
      traceparent,
    );
    this.dependencies.registry.add(request);
    void this.runRequest(request, admitted);
    const answer = await awaitAnswer(request, call.isStreamed, 0, headers);
    this.context.metrics.requests.inc({
      workspace: workspace.name,
      service: service.name,
      outcome: request.isRunning() ? 'answered' : outcomeOf(request.state),
    });
    return answer;
  }

  private async runRequest(
    request: ServedRequest,
    admitted: AdmittedCall,
  ): Promise<void> {
    await this.dependencies.loop.run(
      request,
      admitted.outcome,
      this.accept(request, admitted),
    );
    this.dependencies.registry.end(request);
  }

  /**
   * Resolves once `request` is accepted: its backup copy is stored, or its rule
   * accepts it without one, and its claim is decided if it needs one. If the
   * claim is lost, the request has ended with a redirect.
   */
  private async accept(
    request: ServedRequest,
    {outcome, rule}: AdmittedCall,
  ): Promise<void> {
    await this.backupPlacement.storeBackup(request, outcome);
    request.recordStep(
      {
        kind: 'accepted',
        rule: rule.name,
        configurationVersion: request.copy.configurationVersion,
        ...(request.backup === undefined ? {} : {backup: request.backup}),
      },
      this.context.clock(),
    );
    if (request.copy.needsClaim) {
      await this.claimStep.claim(request);
    }
  }

  /**
   * Looks up a request of which this host may hold the backup copy. Returns a
   * redirect while its front serves, and the request taken over from the copy
   * otherwise.
   */
  private async resolveFromBackup(
    requestId: string,
    workspace: Workspace,
  ): Promise<ClientAnswer | ServedRequest | undefined> {
    const copy = this.dependencies.backups.find(requestId);
    if (copy?.workspace !== workspace.name) {
      return undefined;
    }
    const front = this.context.membership.find(copy.front);
    if (front?.status === 'serving') {
      const location = requestUrlAt(front, requestId);
      return {kind: 'moved', status: 303, location, requestId};
    }
    return this.dependencies.takeOverFromBackup(copy);
  }

  private requireNotQuarantined(
    fingerprint: string,
    service: Service,
    now: number,
  ): void {
    const verdict = this.context.quarantine.verdict(
      fingerprint,
      service.quarantineSeconds * 1000,
      now,
    );
    if (verdict.kind === 'quarantined') {
      throw new ServingError('quarantined', {
        retryAfterSeconds: Math.ceil((verdict.until - now) / 1000),
      });
    }
  }

  /** Consumes a rate limit token; throws if a limit is exceeded. */
  private consumeLimits(workspace: Workspace, now: number): void {
    const {name, requestsPerSecond, requestsInFlight} = workspace;
    const hosts = this.context.membership.live().length + 1;
    const inFlight = this.dependencies.registry.runningCountOf(name);
    if (
      requestsInFlight !== undefined &&
      inFlight >= Math.ceil(requestsInFlight / hosts)
    ) {
      throw new ServingError('limit-exceeded', {
        detail: 'too many requests of the workspace are in progress',
      });
    }
    if (
      requestsPerSecond !== undefined &&
      !this.context.limits.take(name, requestsPerSecond, hosts, now)
    ) {
      throw new ServingError('limit-exceeded', {
        detail: `the workspace has a limit of ${requestsPerSecond} requests a second`,
      });
    }
  }

  private createBackupCopy(
    call: ClientCall,
    admitted: AdmittedCall,
    workspace: Workspace,
    requestId: string,
    key: string,
  ): BackupCopy {
    const {service, rule, deadline} = admitted;
    const isNonIdempotent = service.repetition === 'non-idempotent';
    return {
      requestId,
      front: this.context.hostId,
      workspace: workspace.name,
      service: service.name,
      callKind: call.callKind,
      method: call.method,
      path: call.path,
      contentType: call.contentType,
      body: call.body.toString('base64'),
      priority: call.priority,
      deadline,
      isStreamed: call.isStreamed,
      isIdempotent: !isNonIdempotent,
      needsClaim: isNonIdempotent,
      key,
      configurationVersion: this.context.configuration().version,
      rule: rule.name,
    };
  }

  private recordRefusal(
    call: ClientCall,
    workspace: string,
    requestId: string,
    error: ServingError,
  ): void {
    const service = call.service ?? '';
    this.context.metrics.requests.inc({
      workspace: findWorkspace(this.context.configuration(), workspace)
        ? workspace
        : '',
      service: error.kind === 'service-unknown' ? '' : service,
      outcome: error.kind,
    });
    this.dependencies.registry.recordRefusal(
      {requestId, workspace, service},
      error,
      this.context.clock(),
    );
  }

  private redirectToOtherHost(call: ClientCall): ClientAnswer {
    const [other] = this.context.membership
      .serving()
      .filter(({hostId}) => hostId !== this.context.hostId);
    if (other === undefined) {
      return refusalOf(new ServingError('not-ready'), this.context.newId());
    }
    const location = `${clientUrlOf(other)}${call.target}`;
    return {kind: 'moved', status: 307, location};
  }
}

function fingerprintOf(workspace: Workspace, call: ClientCall): string {
  return createHash('sha256')
    .update(`${workspace.name}\n${call.service ?? ''}\n${call.method}\n`)
    .update(`${call.path}\n`)
    .update(call.body)
    .digest('base64url');
}

function idempotencyHeaders(
  service: Service,
  key: string,
): Readonly<Record<string, string>> {
  if (service.repetition !== 'non-idempotent') {
    return {};
  }
  return {
    'idempotency-key': key.split('/').slice(2).join('/'),
    'x-claim-window-seconds': String(service.claimWindowSeconds),
  };
}
