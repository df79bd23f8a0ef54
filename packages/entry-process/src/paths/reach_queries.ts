/**
 * Queries other hosts which upstreams they reach. Any of them may be queried, also
 * one that has just failed to carry a request to an upstream: that is why it knows.
 */
import {
  chooseWitnesses,
  findReach,
  type Member,
  type ReachFinding,
  type ReachReport,
} from '@lacewingwinch/decisions';
import type {PeerClient} from '@lacewingwinch/entry-hosts';
import type {EventLog} from '@lacewingwinch/observability';

import {messageOf} from '../util/message_of.js';

/** Other hosts that are queried at the same time. */
const HOSTS_AT_ONCE = 2;

/**
 * Times at which hosts are queried until one with a sound link has answered; some
 * may be frozen or slow.
 */
const ROUNDS = 3;

/** Milliseconds for another host to connect to an upstream and answer. */
const TIMEOUT_MILLISECONDS = 500;

/** Dependencies of `ReachQueries`. */
export interface ReachQueriesDependencies {
  readonly failureDomain: string;
  readonly peers: Pick<PeerClient, 'call'>;
  readonly events: Pick<EventLog, 'write'>;
  readonly random: () => number;
  /** Returns the other serving hosts. */
  readonly otherHosts: () => readonly Member[];
  /** Returns whether a host has said lately that it reaches no upstream. */
  readonly isCutOff: (hostId: string) => boolean;
  /** Called with what a host says of itself. */
  readonly onAnswer: (hostId: string, isCutOff: boolean) => void;
}

/** The answers to a query. */
export interface ReachAnswers {
  /** Hosts that were queried, and those of them that answered. */
  readonly queried: number;
  readonly answered: number;
  /** Returns what the answers show of an upstream. */
  readonly find: (upstreamId: string) => ReachFinding;
}

/** Queries of one host. */
export class ReachQueries {
  constructor(private readonly dependencies: ReachQueriesDependencies) {}

  /** Queries other hosts until they know of each upstream, or too often. */
  async query(upstreamIds: readonly string[]): Promise<ReachAnswers> {
    const queriedIds = new Set<string>();
    const reports: ReachReport[] = [];
    const find = (upstreamId: string): ReachFinding =>
      findReach(upstreamId, reports);
    for (let round = 0; round < ROUNDS; round += 1) {
      const hosts = this.chooseHosts(queriedIds);
      hosts.forEach(({hostId}) => queriedIds.add(hostId));
      const answers = await Promise.all(
        hosts.map(host => this.queryHost(host, upstreamIds)),
      );
      reports.push(...answers.flatMap(answer => answer ?? []));
      const isKnown = upstreamIds.every(id => find(id) !== 'unknown');
      if (isKnown || hosts.length === 0) {
        break;
      }
    }
    return {queried: queriedIds.size, answered: reports.length, find};
  }

  /** Returns hosts to query; those that said to be cut off come last. */
  private chooseHosts(queriedIds: ReadonlySet<string>): readonly Member[] {
    const {failureDomain, otherHosts, isCutOff, random} = this.dependencies;
    const self = {failureDomain, excluded: queriedIds};
    const choose = (hosts: readonly Member[]): readonly Member[] =>
      chooseWitnesses(hosts, self, HOSTS_AT_ONCE, random);
    const others = otherHosts();
    return [
      ...choose(others.filter(({hostId}) => !isCutOff(hostId))),
      ...choose(others.filter(({hostId}) => isCutOff(hostId))),
    ].slice(0, HOSTS_AT_ONCE);
  }

  private async queryHost(
    {hostId, addresses}: Member,
    upstreamIds: readonly string[],
  ): Promise<ReachReport | undefined> {
    const {peers, events, onAnswer} = this.dependencies;
    try {
      const answer = await peers.call(
        addresses.peers,
        'reach.query',
        {upstreamIds},
        TIMEOUT_MILLISECONDS,
      );
      onAnswer(hostId, answer.isCutOff);
      return answer;
    } catch (error) {
      events.write(3004, {
        hostId,
        method: 'reach.query',
        error: messageOf(error),
      });
      return undefined;
    }
  }
}
