/**
 * Rendering of what would become of a request as text.
 */
import type {
  ConsideredUpstream,
  DecidingHost,
  ExcludedUpstream,
  ExplainedOutcome,
  ExplainedQuota,
  ExplainedResult,
  ExplainedTerms,
  ExplainedVersion,
  RequestExplanation,
  ShardExplanation,
} from '@lacewingwinch/decisions';

import type {FleetExplanation} from './where_command.js';

/** Returns the text of what all hosts say, their differences first. */
export function renderFleetExplanation({
  differences,
  hosts,
}: FleetExplanation): string {
  const differing = differences.flatMap(({point, values}) => [
    `hosts differ in the ${point}:`,
    ...values.map(({value, hostIds}) => `  ${value}: at ${hostIds.join(', ')}`),
  ]);
  const texts = hosts.map(host => {
    switch (host.kind) {
      case 'explained':
        return renderExplanation(host.explanation);
      case 'silent':
        return `${host.hostId}: ${host.fault}`;
    }
  });
  const first =
    differing.length === 0 ? ['all hosts that answered agree'] : differing;
  return [first.join('\n'), ...texts].join('\n\n');
}

/** Returns the text of what would become of a request. */
export function renderExplanation(explanation: RequestExplanation): string {
  const {hostId, rules, terms, quota, version, placement} = explanation;
  const {configurationVersion, configurationAgeMilliseconds} = explanation;
  const triedRules = rules.map(
    ({name, pathPrefix, isMatch}) =>
      `${name} (${pathPrefix}) ${isMatch ? 'matches' : 'does not match'}`,
  );
  const shards = placement?.shards ?? [];
  const isDecidedElsewhere = shards.some(
    ({decidedBy}) => decidedBy.kind === 'other-host' && decidedBy.isCalled,
  );
  return [
    `${hostId}${isDecidedElsewhere ? ', by what it knows itself' : ''}: ${renderOutcome(explanation.outcome)}`,
    `  configuration ${configurationVersion}, confirmed ${whole(configurationAgeMilliseconds)} ms ago`,
    `  rules: ${triedRules.length === 0 ? 'none for this host' : triedRules.join(', ')}`,
    ...(terms === undefined ? [] : [`  ${renderTerms(terms)}`]),
    ...(quota === undefined ? [] : [`  ${renderQuota(quota)}`]),
    ...(version === undefined ? [] : [`  ${renderVersion(version)}`]),
    ...shards.flatMap(renderShard),
  ].join('\n');
}

function renderOutcome(outcome: ExplainedOutcome): string {
  switch (outcome.kind) {
    case 'sent':
      return `would be sent to ${outcome.upstreamId}`;
    case 'waits':
      return `would wait ${whole(outcome.milliseconds)} ms, until an upstream accepts requests again`;
    case 'refused': {
      const {error, status, detail, retryAfter} = outcome;
      const text = `would be refused with ${error} (${status}): ${detail}`;
      return retryAfter === undefined
        ? text
        : `${text}; Retry-After ${renderRange(retryAfter.leastSeconds, retryAfter.mostSeconds)} s`;
    }
  }
}

function renderTerms(terms: ExplainedTerms): string {
  const {service, workspace, rank} = terms;
  const {budgetMilliseconds, objectiveMilliseconds} = terms;
  const whose = workspace ?? 'none';
  return `service ${service}, workspace ${whose}, rank ${rank}, ${whole(budgetMilliseconds)} ms for the answer, objective ${whole(objectiveMilliseconds)} ms`;
}

function renderQuota(quota: ExplainedQuota): string {
  const {unit, amount, otherHolders, wait} = quota;
  const others =
    otherHolders.length === 0 ? 'no other host' : otherHolders.join(', ');
  const waiting = wait > 0 ? `, used up for ${whole(wait)} ms` : '';
  switch (quota.kind) {
    case 'held':
      return `quota: takes ${amount} ${unit} of ${whole(quota.level)} here (at most ${whole(quota.capacity)})${waiting}; also held by ${others}`;
    case 'held-elsewhere':
      return `quota: takes ${amount} ${unit} from ${others}${waiting}`;
  }
}

function renderVersion({
  use,
  isAssigned,
  constraint,
}: ExplainedVersion): string {
  switch (use.kind) {
    case 'free':
      return constraint === undefined
        ? 'version: any'
        : `version: ${JSON.stringify(constraint)}`;
    case 'ordered':
      return `version: ${use.softwareVersion} is ordered and gets nothing yet`;
    case 'withheld':
      return `version: ${use.softwareVersion} gets nothing`;
    case 'replaced':
      return `version: ${use.softwareVersion} has replaced ${use.replacedVersions.join(', ')}`;
    case 'shared': {
      const whether = isAssigned ? 'this request is' : 'this request is not';
      return `version: ${use.softwareVersion} gets ${percent(use.share)}, ${whether} among them`;
    }
  }
}

function renderShard(shard: ShardExplanation): readonly string[] {
  const {shardId, decidedBy, considered, excluded, result} = shard;
  return [
    `  shard ${shardId}, ${renderDecidingHost(decidedBy)}: ${renderResult(result)}`,
    ...considered.map(upstream => `    ${renderConsidered(upstream)}`),
    ...excluded.map(upstream => `    ${renderExcluded(upstream)}`),
  ];
}

function renderDecidingHost(decidedBy: DecidingHost): string {
  switch (decidedBy.kind) {
    case 'dispatcher':
      return 'dispatched by this host';
    case 'other-host':
      return decidedBy.isCalled
        ? `dispatched by ${decidedBy.hostId}; without it, this host says`
        : `dispatched by ${decidedBy.hostId}, which does not answer; this host says`;
    case 'none':
      return 'dispatched by no host; this host says';
  }
}

function renderResult(result: ExplainedResult): string {
  switch (result.kind) {
    case 'placed': {
      const {upstreamId, estimateMilliseconds, errorMilliseconds} = result;
      const {promotedRank, returned} = result;
      const error =
        errorMilliseconds === undefined ? '' : ` ± ${whole(errorMilliseconds)}`;
      const rank =
        promotedRank === undefined ? '' : `, as one of rank ${promotedRank}`;
      const back = returned === undefined ? '' : `, returned ${returned}`;
      return `${upstreamId}, first output after ${whole(estimateMilliseconds)}${error} ms${rank}${back}`;
    }
    case 'refused':
      return `refused (${result.reason}), back after ${whole(result.retryAfterMilliseconds)} ms at the soonest`;
    case 'limited':
      return `no upstream has a grant for ${whole(result.milliseconds)} ms`;
    case 'none':
      return 'no upstream may run it';
  }
}

function renderConsidered(upstream: ConsideredUpstream): string {
  const {upstreamId, failureDomain, softwareVersion, running} = upstream;
  const {loadAgeMilliseconds: age, cachedTokens, carriedBy} = upstream;
  return [
    `${upstreamId} (${failureDomain}, ${softwareVersion}): ${percent(upstream.share)}`,
    `cost ${whole(upstream.costMilliseconds)} ms`,
    `start ${whole(upstream.estimateMilliseconds)} ms`,
    `wait ${whole(upstream.waitMilliseconds)} ms`,
    `read ${whole(upstream.readMilliseconds)} ms at ${upstream.tokensPerMillisecond.toFixed(1)} tokens/ms`,
    `${cachedTokens} tokens cached`,
    `${whole(running)} running`,
    age === undefined
      ? 'load as this host counts it'
      : `load ${whole(age)} ms old`,
    ...(carriedBy === undefined ? [] : [`by way of ${carriedBy}`]),
  ].join(', ');
}

function renderExcluded({
  upstreamId,
  reason,
  milliseconds,
}: ExcludedUpstream): string {
  const time = milliseconds === undefined ? '' : `, ${whole(milliseconds)} ms`;
  return `${upstreamId} left out: ${reason}${time}`;
}

function renderRange(least: number, most: number): string {
  const [from, to] = [least.toFixed(2), most.toFixed(2)];
  return from === to ? from : `${from} to ${to}`;
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function whole(value: number): string {
  return String(Math.round(value));
}
