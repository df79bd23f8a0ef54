/**
 * Callers that send one call after the other, on connections that they keep
 * until their host is gone.
 */
import {Agent} from 'node:http';

import {
  callRouted,
  delay,
  type RoutedStandInAnswer,
} from '@lacewingwinch/stand-ins';

import type {SeenCall, SoakKind} from './check_promises.js';
import {elementAt} from './element_at.js';

/** The kinds of calls, which each caller sends by turns. */
export const SOAK_KINDS: readonly SoakKind[] = [
  'again',
  'once',
  'stream',
  'resumed',
];

/** Milliseconds for which a caller waits. */
const DEADLINE_MILLISECONDS = 1500;

/** Milliseconds between two calls of one caller. */
const PAUSE_MILLISECONDS = 10;

/** Milliseconds after a call without an answer. */
const FAILURE_PAUSE_MILLISECONDS = 100;

/** A host as callers know it. */
export interface CalledHost {
  readonly callersAddress: string;
}

/** One caller. */
export class SoakCaller {
  readonly seen: SeenCall[] = [];
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  private sent = 0;

  constructor(
    private readonly name: string,
    private readonly key: string,
    private readonly hosts: readonly CalledHost[],
    private hostIndex: number,
    private readonly clock: () => number,
  ) {}

  /** Calls until `signal` aborts; a caller moves on from a host that fails. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const {status} = await this.callOnce();
      if (status === undefined) {
        this.hostIndex += 1;
      }
      await delay(
        status === undefined ? FAILURE_PAUSE_MILLISECONDS : PAUSE_MILLISECONDS,
      );
    }
  }

  /** Sends a call of the next kind. */
  async callOnce(): Promise<SeenCall> {
    const {name, key, sent, clock} = this;
    this.sent += 1;
    const host = elementAt(this.hosts, this.hostIndex);
    const kind = elementAt(SOAK_KINDS, sent);
    const attemptId = `${name}-${sent}`;
    const sentAt = clock();
    const answer = await this.send(host, kind, attemptId);
    const seen: SeenCall = {
      attemptId,
      kind,
      key,
      sentAt,
      status: answer?.status,
      body: answer?.body ?? '',
      isComplete: answer?.isComplete ?? false,
      isSigned: answer?.isSigned ?? false,
      answeredAttemptId: answer?.attemptId,
    };
    this.seen.push(seen);
    return seen;
  }

  /** The answer; undefined if none came, which faults bring about. */
  private async send(
    {callersAddress}: CalledHost,
    kind: SoakKind,
    attemptId: string,
  ): Promise<RoutedStandInAnswer | undefined> {
    try {
      return await callRouted({
        address: callersAddress,
        path: `/${kind}/${attemptId}`,
        attemptId,
        key: this.key,
        deadline: DEADLINE_MILLISECONDS,
        body: attemptId,
        agent: this.agent,
      });
    } catch {
      return undefined;
    }
  }

  /** Closes the connections. */
  close(): void {
    this.agent.destroy();
  }
}
