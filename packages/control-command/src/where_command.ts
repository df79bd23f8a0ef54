/**
 * The command `lacewingctl where`.
 */
import type {
  ExplainedRequest,
  RequestExplanation,
} from '@lacewingwinch/decisions';
import type {ExplanationAnswer, PeerClient} from '@lacewingwinch/entry-hosts';

import {UsageError} from './command_settings.js';

const TIMEOUT_MILLISECONDS = 3000;

/** What one host says, or why it says nothing. */
export type HostExplanation =
  | {readonly kind: 'explained'; readonly explanation: RequestExplanation}
  | {
      readonly kind: 'silent';
      readonly hostId: string;
      readonly fault: string;
    };

/** A point at which hosts differ. */
export interface ExplanationDifference {
  readonly point: 'configuration' | 'dispatcher' | 'outcome' | 'rule';
  readonly values: readonly {
    readonly value: string;
    readonly hostIds: readonly string[];
  }[];
}

/** What all hosts say, and where they differ. */
export interface FleetExplanation {
  readonly differences: readonly ExplanationDifference[];
  readonly hosts: readonly HostExplanation[];
}

type Caller = Pick<PeerClient, 'call'>;

/** Queries the host at `address`; throws if it gives no explanation. */
export async function explainAt(
  peers: Caller,
  address: string,
  request: ExplainedRequest,
): Promise<Extract<ExplanationAnswer, {readonly kind: 'explained'}>> {
  const answer = await peers
    .call(address, 'request.explain', request, TIMEOUT_MILLISECONDS)
    .catch((error: unknown) => {
      throw new Error(`${address} gives no explanation: ${faultOf(error)}`);
    });
  switch (answer.kind) {
    case 'explained':
      return answer;
    case 'invalid':
      throw new UsageError([answer.fault]);
  }
}

/** Queries the host at `address` and all other hosts that it knows. */
export async function explainAtAll(
  peers: Caller,
  address: string,
  request: ExplainedRequest,
): Promise<FleetExplanation> {
  const first = await explainAt(peers, address, request);
  const others = await Promise.all(
    first.otherHosts.map(async (host): Promise<HostExplanation> => {
      try {
        const answer = await explainAt(peers, host.address, request);
        return {kind: 'explained', explanation: answer.explanation};
      } catch (error) {
        const {hostId} = host;
        return {kind: 'silent', hostId, fault: faultOf(error)};
      }
    }),
  );
  const hosts: readonly HostExplanation[] = [
    {kind: 'explained', explanation: first.explanation},
    ...others,
  ];
  return {differences: differencesOf(hosts), hosts};
}

/** Returns whether a request would be sent, at once or after a pause. */
export function wouldBeServed({outcome}: RequestExplanation): boolean {
  switch (outcome.kind) {
    case 'sent':
    case 'waits':
      return true;
    case 'refused':
      return false;
  }
}

/** Returns the points at which hosts differ. */
export function differencesOf(
  hosts: readonly HostExplanation[],
): readonly ExplanationDifference[] {
  const explanations = hosts.flatMap(host =>
    host.kind === 'explained' ? [host.explanation] : [],
  );
  const valuesOf: Readonly<
    Record<
      ExplanationDifference['point'],
      (explanation: RequestExplanation) => string
    >
  > = {
    outcome: outcomeOf,
    rule: ({rules}) => rules.find(({isMatch}) => isMatch)?.name ?? 'none',
    configuration: ({configurationVersion}) => String(configurationVersion),
    dispatcher: dispatcherOf,
  };
  const points = Object.keys(valuesOf) as ExplanationDifference['point'][];
  return points
    .map(point => {
      const byValue = new Map<string, string[]>();
      for (const explanation of explanations) {
        const value = valuesOf[point](explanation);
        const hostIds = byValue.get(value) ?? [];
        byValue.set(value, [...hostIds, explanation.hostId]);
      }
      const values = [...byValue].map(([value, hostIds]) => {
        return {value, hostIds};
      });
      return {point, values};
    })
    .filter(({values}) => values.length > 1);
}

function outcomeOf({outcome}: RequestExplanation): string {
  switch (outcome.kind) {
    case 'sent':
      return `sent to ${outcome.upstreamId}`;
    case 'waits':
      return 'waits';
    case 'refused':
      return `refused with ${outcome.error}`;
  }
}

/** A request without a shard shows no dispatcher. */
function dispatcherOf({hostId, placement}: RequestExplanation): string {
  const decidedBy = placement?.shards[0]?.decidedBy;
  switch (decidedBy?.kind) {
    case undefined:
    case 'none':
      return 'none';
    case 'dispatcher':
      return hostId;
    case 'other-host':
      return decidedBy.hostId;
  }
}

function faultOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
