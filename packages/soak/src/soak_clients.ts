/**
 * Clients of the soak. Each sends one call after the other over a connection
 * that it keeps until its host is gone.
 */
import {Agent} from 'node:http';

import {
  callRouted,
  delay,
  type RoutedStandInAnswer,
} from '@lacewingwinch/stand-ins';

import type {ObservedCall, SoakCallKind} from './check_guarantees.js';
import {elementAt} from './element_at.js';

/** The kinds of calls, which each client sends in turn. */
export const SOAK_CALL_KINDS: readonly SoakCallKind[] = [
  'again',
  'once',
  'stream',
  'resumed',
];

/** Time within which a call must be answered. */
const DEADLINE_MILLISECONDS = 1500;

/** Pause between two calls of a client. */
const PAUSE_MILLISECONDS = 10;

/** Pause after a call without an answer. */
const FAILURE_PAUSE_MILLISECONDS = 100;

/** The address at which a host accepts calls. */
export interface HostAddress {
  readonly clientAddress: string;
}

/** A client that sends calls and records their answers. */
export class SoakClient {
  readonly observedCalls: ObservedCall[] = [];
  private readonly agent = new Agent({keepAlive: true, maxSockets: 1});
  private sentCalls = 0;

  constructor(
    private readonly name: string,
    private readonly key: string,
    private readonly hosts: readonly HostAddress[],
    private hostIndex: number,
    private readonly clock: () => number,
  ) {}

  /**
   * Sends calls until `signal` aborts. After a call without an answer the
   * client switches to the next host.
   */
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

  /** Sends a call of the next kind and records the answer. */
  async callOnce(): Promise<ObservedCall> {
    const {name, key, sentCalls, clock} = this;
    this.sentCalls += 1;
    const host = elementAt(this.hosts, this.hostIndex);
    const kind = elementAt(SOAK_CALL_KINDS, sentCalls);
    const attemptId = `${name}-${sentCalls}`;
    const sentAt = clock();
    const answer = await this.send(host, kind, attemptId);
    const call: ObservedCall = {
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
    this.observedCalls.push(call);
    return call;
  }

  /** Returns the answer; undefined if a fault prevented it. */
  private async send(
    {clientAddress}: HostAddress,
    kind: SoakCallKind,
    attemptId: string,
  ): Promise<RoutedStandInAnswer | undefined> {
    try {
      return await callRouted({
        address: clientAddress,
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

  /** Closes the connection. */
  close(): void {
    this.agent.destroy();
  }
}
