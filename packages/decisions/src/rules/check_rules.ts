/**
 * The checks of a rule list before its publication.
 */
import type {Rule, RuleMatch} from '../configuration/configuration_objects.js';

/** A probable mistake in a rule list. */
export type RuleWarning =
  | {
      readonly kind: 'covered';
      readonly rule: string;
      /** The earlier rule that matches whenever this one does. */
      readonly by: string;
    }
  | {readonly kind: 'contradictory'; readonly rule: string}
  | {readonly kind: 'doubled-name'; readonly rule: string};

interface Range {
  readonly minimum: number;
  readonly maximum: number;
}

/** Returns the warnings for `rules`, in the order of the list. */
export function checkRules(rules: readonly Rule[]): readonly RuleWarning[] {
  return rules.flatMap((rule, index) => checkRule(rule, rules.slice(0, index)));
}

/** Returns the text of a warning for the operator. */
export function describeWarning(warning: RuleWarning): string {
  switch (warning.kind) {
    case 'covered':
      return `rule ${warning.rule} can never match: the earlier rule ${warning.by} matches all of its requests`;
    case 'contradictory':
      return `rule ${warning.rule} can never match: a minimum is greater than its maximum`;
    case 'doubled-name':
      return `rule ${warning.rule} has the same name as an earlier rule`;
  }
}

function checkRule(
  rule: Rule,
  earlier: readonly Rule[],
): readonly RuleWarning[] {
  const warnings: RuleWarning[] = [];
  if (earlier.some(other => other.name === rule.name)) {
    warnings.push({kind: 'doubled-name', rule: rule.name});
  }
  if (rangesOf(rule.when).some(range => range.minimum > range.maximum)) {
    warnings.push({kind: 'contradictory', rule: rule.name});
    return warnings;
  }
  const covering = earlier.find(other => covers(other.when, rule.when));
  if (covering !== undefined) {
    warnings.push({kind: 'covered', rule: rule.name, by: covering.name});
  }
  return warnings;
}

function covers(wide: RuleMatch, narrow: RuleMatch): boolean {
  const narrowRanges = rangesOf(narrow);
  return (
    coversList(wide.workspaces, narrow.workspaces) &&
    coversList(wide.services, narrow.services) &&
    coversList(wide.callKinds, narrow.callKinds) &&
    (wide.reclaimWave === undefined ||
      wide.reclaimWave === narrow.reclaimWave) &&
    rangesOf(wide).every((range, index) =>
      coversRange(range, narrowRanges[index]),
    )
  );
}

function coversList(
  wide: readonly string[] | undefined,
  narrow: readonly string[] | undefined,
): boolean {
  if (wide === undefined) {
    return true;
  }
  return narrow?.every(value => wide.includes(value)) ?? false;
}

function coversRange(wide: Range, narrow: Range | undefined): boolean {
  return (
    narrow !== undefined &&
    wide.minimum <= narrow.minimum &&
    wide.maximum >= narrow.maximum
  );
}

function rangesOf(match: RuleMatch): readonly Range[] {
  return [
    toRange(match.minimumBytes, match.maximumBytes),
    toRange(match.minimumPriority, match.maximumPriority),
    toRange(match.minimumTimeLeft, match.maximumTimeLeft),
    toRange(match.minimumLoad, match.maximumLoad),
  ];
}

function toRange(
  minimum: number | undefined,
  maximum: number | undefined,
): Range {
  return {minimum: minimum ?? -Infinity, maximum: maximum ?? Infinity};
}
