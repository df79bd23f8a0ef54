/**
 * Callers that send one call after the other, on connections that they keep
 * until their host is gone.
 */
import {Agent} from 'node:http';

import {callRouted} from '@lacewingwinch/stand-ins';

import type {SeenCall, SoakKind} from './check_promises.js';
import {elementAt} from './element_at.js';

const KINDS: readonly SoakKind[] = ['again', 'once', 'stream', 'resumed'];

/** Milliseconds for which a caller waits. */
const DEADLINE_MILLISECONDS = 1500;

/** Milliseconds between two calls of one caller. */
const PAUSE_MILLISECONDS = 10;

/** Milliseconds after a call without an answer. */
const FAILURE_PAUSE_MILLISECONDS = 100;

/** A host as callers know it. */
export interface CalledHost {
  readonly hostId: string;
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
      await new Promise(resolve =>
        setTimeout(
          resolve,
          status === undefined
            ? FAILURE_PAUSE_MILLISECONDS
            : PAUSE_MILLISECONDS,
        ),
      );
    }
  }

  /** Sends a call of the next kind. */
  async callOnce(): Promise<SeenCall> {
    const {name, key, sent, clock} = this;
    this.sent += 1;
    const host = elementAt(this.hosts, this.hostIndex);
    const kind = elementAt(KINDS, sent);
    const attemptId = `${name}-${sent}`;
    const sentAt = clock();
    const answer = await callRouted({
      address: host.callersAddress,
      path: `/${kind}/${attemptId}`,
      attemptId,
      key,
      deadline: DEADLINE_MILLISECONDS,
      body: attemptId,
      agent: this.agent,
    });
    const seen: SeenCall = {
      attemptId,
      kind,
      key,
      host: host.hostId,
      sentAt,
      endedAt: clock(),
      status: answer.status,
      body: answer.body,
      isComplete: answer.isComplete,
      isSigned: answer.isSigned,
      answeredAttemptId: answer.attemptId,
    };
    this.seen.push(seen);
    return seen;
  }

  /** Closes the connections. */
  close(): void {
    this.agent.destroy();
  }
}
