/**
 * The choice of the rule that decides on a request.
 */
import type {
  CallKind,
  Rule,
  RuleMatch,
} from '../configuration/configuration_objects.js';

/** What a rule can look at. */
export interface RuleFacts {
  readonly workspace: string;
  readonly service: string;
  readonly callKind: CallKind;
  /** Bytes of the request body. */
  readonly bytes: number;
  /** 0 (least urgent) to 9 (most urgent). */
  readonly priority: number;
  /** Milliseconds until the deadline. */
  readonly timeLeft: number;
  /** Calls in progress over places for calls, 0 when idle. */
  readonly load: number;
  readonly reclaimWave: boolean;
}

/** The first rule whose condition holds; nothing after it is looked at. */
export function matchRule(
  rules: readonly Rule[],
  facts: RuleFacts,
): Rule | undefined {
  return rules.find(rule => holds(rule.when, facts));
}

function holds(match: RuleMatch, facts: RuleFacts): boolean {
  return (
    includes(match.workspaces, facts.workspace) &&
    includes(match.services, facts.service) &&
    includes(match.callKinds, facts.callKind) &&
    isWithin(facts.bytes, match.minimumBytes, match.maximumBytes) &&
    isWithin(facts.priority, match.minimumPriority, match.maximumPriority) &&
    isWithin(facts.timeLeft, match.minimumTimeLeft, match.maximumTimeLeft) &&
    isWithin(facts.load, match.minimumLoad, match.maximumLoad) &&
    (match.reclaimWave === undefined || match.reclaimWave === facts.reclaimWave)
  );
}

function includes<T>(allowed: readonly T[] | undefined, value: T): boolean {
  return allowed === undefined || allowed.includes(value);
}

function isWithin(
  value: number,
  minimum: number | undefined,
  maximum: number | undefined,
): boolean {
  return value >= (minimum ?? -Infinity) && value <= (maximum ?? Infinity);
}
