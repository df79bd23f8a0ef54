/**
 * Clients of the soak. Each sends one call after the other over a connection
 * that it keeps until its host is gone.
 */
import {Agent} from 'node:http';

import {
  callRouted,
  delay,
  LARGE_STREAM_MARK,
  type ReadPause,
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

const SOAK_STREAM_KINDS: readonly SoakCallKind[] = ['stream', 'resumed'];

/** Part of the ids of calls whose prompts crash engines. */
export const CRASHING_MARK = '-crashing';

/** Time within which a call must be answered. */
const DEADLINE_MILLISECONDS = 1500;

/** Pause between two calls of a client. */
const PAUSE_MILLISECONDS = 10;

/** Pause after a call without an answer. */
const FAILURE_PAUSE_MILLISECONDS = 100;

/** Part of a prompt that crashes engines during a fault. */
export const CRASHING_PART = 'bad';

/** How a client reads its answers. */
export type ReadingHabit = 'steadily' | 'slowly' | 'not-after-first-piece';

/** A client that stops reading does so for longer than its calls may take. */
const READ_PAUSES: Readonly<Record<ReadingHabit, ReadPause | undefined>> = {
  steadily: undefined,
  slowly: {milliseconds: 40, pieces: Infinity},
  'not-after-first-piece': {milliseconds: 4000, pieces: 1},
};

/** What a client does besides sending calls. */
export interface ClientHabits {
  readonly reads: ReadingHabit;
  /** Returns whether its prompts have the part that crashes engines. */
  readonly sendsCrashingPart: () => boolean;
}

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
    private readonly habits: ClientHabits = {
      reads: 'steadily',
      sendsCrashingPart: () => false,
    },
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
    const isCrashing =
      this.habits.sendsCrashingPart() && SOAK_STREAM_KINDS.includes(kind);
    const attemptId = `${name}${isCrashing ? CRASHING_MARK : ''}-${sentCalls}`;
    const sentAt = clock();
    const answer = await this.send(host, kind, attemptId, isCrashing);
    const call: ObservedCall = {
      attemptId,
      kind,
      key,
      sentAt,
      status: answer?.status,
      body: answer?.body ?? '',
      isComplete: answer?.isComplete ?? false,
      isFramed: answer?.isFramed ?? false,
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
    isCrashing: boolean,
  ): Promise<RoutedStandInAnswer | undefined> {
    const readPause = READ_PAUSES[this.habits.reads];
    const isLarge = readPause !== undefined && SOAK_STREAM_KINDS.includes(kind);
    const parts = ['a1:10', ...(isCrashing ? [`${CRASHING_PART}:10`] : [])];
    try {
      return await callRouted({
        address: clientAddress,
        path: `/${kind}/${isLarge ? LARGE_STREAM_MARK : ''}${attemptId}`,
        attemptId,
        key: this.key,
        deadline: DEADLINE_MILLISECONDS,
        body: attemptId,
        agent: this.agent,
        promptParts: [...parts, '0:10'].join(','),
        ...(isLarge && {readPause}),
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
