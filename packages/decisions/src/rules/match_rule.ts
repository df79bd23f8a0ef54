/**
 * The choice of the rule that applies to a request.
 */
import type {
  CallKind,
  Rule,
  RuleMatch,
} from '../configuration/configuration_objects.js';

/** The properties of a request that rules can match. */
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
  /** Calls in progress divided by slots; 0 when idle. */
  readonly load: number;
  /** Whether many upstreams were recently marked as leaving. */
  readonly reclaimWave: boolean;
}

/** Returns the first rule that matches `facts`. */
export function matchRule(
  rules: readonly Rule[],
  facts: RuleFacts,
): Rule | undefined {
  return rules.find(rule => matches(rule.when, facts));
}

function matches(match: RuleMatch, facts: RuleFacts): boolean {
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
