/**
 * The decision to accept a call.
 */
import type {CallerCall} from '@lacewingwinch/callers';
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

/** Load and state that rules can look at. */
export interface ServingFacts {
  readonly load: number;
  readonly isReclaimWave: boolean;
}

/** A call that a rule lets through. */
export interface AdmittedCall {
  readonly service: Service;
  readonly rule: Rule;
  readonly outcome: SendOutcome;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
}

/** Lets a call through, or throws the `ServingError` that refuses it. */
export function admitCall(
  call: CallerCall,
  workspace: Workspace,
  configuration: Configuration,
  factsOf: (service: Service) => ServingFacts,
  now: number,
): AdmittedCall {
  const service = requireService(call, configuration);
  requireSize(call, service);
  const deadline = decideDeadline(call, service, now);
  const facts = factsOf(service);
  const rule = matchRule(findRules(configuration), {
    workspace: workspace.name,
    service: service.name,
    callKind: call.callKind,
    bytes: call.body.length,
    priority: call.priority,
    timeLeft: deadline - now,
    load: facts.load,
    reclaimWave: facts.isReclaimWave,
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
      requireKeyAge(call, service, now);
      return {service, rule, outcome: rule.then, deadline};
  }
}

function requireService(
  call: CallerCall,
  configuration: Configuration,
): Service {
  const service =
    call.service === undefined
      ? undefined
      : findService(configuration, call.service);
  const wanted = call.callKind === 'plain' ? 'plain' : 'model';
  if (service?.upstreamKind !== wanted) {
    throw new ServingError('service-unknown');
  }
  return service;
}

function requireSize(call: CallerCall, service: Service): void {
  if (call.body.length > service.maximumBodyBytes) {
    throw new ServingError('request-too-large', {
      detail: `service ${service.name} takes ${service.maximumBodyBytes} bytes at most`,
    });
  }
}

function decideDeadline(
  call: CallerCall,
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

function requireKeyAge(call: CallerCall, service: Service, now: number): void {
  const {idempotencyKey: key, keyCreated} = call;
  if (key === undefined || service.repetition !== 'non-idempotent') {
    return;
  }
  const window = service.claimWindowSeconds * 1000;
  const age = keyAge(key, keyCreated, window, now);
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
