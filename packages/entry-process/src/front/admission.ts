/**
 * The decision whether a client request is admitted.
 */
import type {ClientCall} from '@lacewingwinch/callers';
import {
  type Configuration,
  findRules,
  findService,
  keyAge,
  matchRule,
  type Rule,
  type SendOutcome,
  type Service,
  ServingError,
  type Workspace,
} from '@lacewingwinch/decisions';

/** State of a service that the conditions of rules can refer to. */
export interface ServiceConditions {
  /** Load of the service, 0 when idle. */
  readonly load: number;
  /** Whether many upstreams were reclaimed recently. */
  readonly isReclaimWave: boolean;
}

/** A client request that a rule admits, and the terms of its execution. */
export interface AdmittedCall {
  readonly service: Service;
  readonly rule: Rule;
  readonly outcome: SendOutcome;
  /** Deadline of the request, in milliseconds since the epoch. */
  readonly deadline: number;
}

/**
 * Checks a client request against its service and the routing rules. Throws the
 * `ServingError` that refuses it if it is not admitted.
 */
export function admitCall(
  call: ClientCall,
  workspace: Workspace,
  configuration: Configuration,
  conditionsOf: (service: Service) => ServiceConditions,
  now: number,
): AdmittedCall {
  const service = requireService(call, configuration);
  requireAllowedSize(call, service);
  const deadline = decideDeadline(call, service, now);
  const conditions = conditionsOf(service);
  const rule = matchRule(findRules(configuration), {
    workspace: workspace.name,
    service: service.name,
    callKind: call.callKind,
    bytes: call.body.length,
    priority: call.priority,
    timeLeft: deadline - now,
    load: conditions.load,
    reclaimWave: conditions.isReclaimWave,
  });
  if (rule === undefined) {
    throw new ServingError('no-rule-matched');
  }
  switch (rule.then.kind) {
    case 'refuse':
      throw new ServingError('refused-by-rule', {
        detail: `rule ${rule.name}: ${rule.then.reason}`,
      });
    case 'send':
      requireFreshKey(call, service, now);
      return {service, rule, outcome: rule.then, deadline};
  }
}

function requireService(
  call: ClientCall,
  configuration: Configuration,
): Service {
  const service =
    call.service === undefined
      ? undefined
      : findService(configuration, call.service);
  const requiredKind = call.callKind === 'plain' ? 'plain' : 'model';
  if (service?.upstreamKind !== requiredKind) {
    throw new ServingError('service-unknown');
  }
  return service;
}

function requireAllowedSize(call: ClientCall, service: Service): void {
  if (call.body.length > service.maximumBodyBytes) {
    throw new ServingError('request-too-large', {
      detail: `service ${service.name} takes ${service.maximumBodyBytes} bytes at most`,
    });
  }
}

function decideDeadline(
  call: ClientCall,
  service: Service,
  now: number,
): number {
  const latest = now + service.maximumRequestSeconds * 1000;
  const deadline = Math.min(call.deadline ?? latest, latest);
  if (deadline <= now) {
    throw new ServingError('deadline-passed');
  }
  return deadline;
}

function requireFreshKey(
  call: ClientCall,
  service: Service,
  now: number,
): void {
  const {idempotencyKey: key, keyCreated} = call;
  if (key === undefined || service.repetition !== 'non-idempotent') {
    return;
  }
  const windowMilliseconds = service.claimWindowSeconds * 1000;
  const age = keyAge(key, keyCreated, windowMilliseconds, now);
  switch (age.kind) {
    case 'fresh':
      return;
    case 'expired':
      throw new ServingError('key-expired', {
        detail: `keys are remembered for ${service.claimWindowSeconds} s; whether an earlier try ran cannot be told`,
      });
    case 'unstated':
      if (service.keysWithoutAge === 'refuse') {
        throw new ServingError('key-without-age', {
          detail: 'use a UUIDv7, or state Idempotency-Key-Created',
        });
      }
  }
}
