/**
 * Stand-in for an upstream on the platform: a plain service or an engine that
 * streams events, with faults that tests switch on.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {EngineBehavior} from './engine_behavior.js';
import {
  delay,
  ListeningStandIn,
  readText,
  sendWithoutEnd,
} from './http_stand_in.js';

/** A request as the upstream received it. */
export interface ExecutedRequest {
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly attemptId: string;
  /** Whether it continues a stream after one of its events. */
  readonly isContinuation: boolean;
  /** Time of the execution, in milliseconds since the epoch. */
  readonly at: number;
  /** Software version of the upstream at that time. */
  readonly softwareVersion: string;
}

/** An attempt that arrived at an upstream. */
export interface ArrivedAttempt {
  readonly attemptId: string;
  /** Milliseconds since the epoch. */
  readonly at: number;
}

/** Path at which the process reports on itself. */
const REPORT_PATH = '/api/report';

/** Number of events of a streamed answer. */
export const STREAM_EVENTS = 6;

/** A path that contains this requests large events. */
export const LARGE_STREAM_MARK = '-large-';

/** Milliseconds between the head of an answer and a crash under it. */
const CRASH_DELAY_MILLISECONDS = 60;

const SECOND_MILLISECONDS = 1000;

/** What a body without end consists of. */
const FLOOD_BLOCK = Buffer.alloc(65_536, 'x');
const FLOOD_BYTE = Buffer.from('x');

/** Milliseconds between two bytes of a slow body without end. */
const TRICKLE_MILLISECONDS = 50;

/** An upstream that refuses requests meant for another instance. */
export class RoutedEngineStandIn extends ListeningStandIn {
  behavior: EngineBehavior = 'answer';
  failureStatus = 500;
  /** Whether answers are event streams. */
  isStreamed = false;
  /** Whether streams break off that continue no other one. */
  breaksOffFirstAttempts = false;
  /** Milliseconds that an execution takes before its answer begins. */
  executionMilliseconds = 0;
  /** Bytes that are appended to an answer that is no stream. */
  paddingBytes = 0;
  /** Whether the text of an answer contains the id of its attempt. */
  hasAttemptIdInAnswer = false;
  /** Milliseconds between two events of a stream. */
  eventIntervalMilliseconds = 10;
  /** Version of the model weights; 0 for an upstream without a model. */
  weightVersion = 0;
  /** Version of its software, which its entries state. */
  softwareVersion = 'v1';
  /** Bytes that each event has besides its text if the path requests them. */
  readonly largeEventBytes = 400_000;
  /** Start time of the process; increased when it restarts under its id. */
  bornAt = Date.now();
  private isStopped = false;
  /** Whether the process has crashed and not started again. */
  private isDown = false;
  /** Number of entries that the process has written. */
  private heartbeat = 0;
  /** Whether every answer says that the upstream is leaving. */
  isLeaving = false;
  /** Value of `server-limit` of each answer; undefined to send none. */
  namedLimit: string | undefined;
  /**
   * Whether it sends each refusal a second time, at the next request of the same
   * connection.
   */
  repeatsRefusals = false;
  /** Whether refusals, and their copies, lack the id of their attempt. */
  omitsIdsInRefusals = false;
  /** Refusals that are to be sent once more, by their connection. */
  private readonly lateCopies = new Map<Socket, string>();
  /** Headers that every answer bears in place of its own. */
  readonly extraHeaders = new Map<string, string>();
  /** What it reports on itself; undefined for a sound report. */
  report: Buffer | undefined;
  /** Requests in progress beyond which it turns requests away. */
  room = Infinity;
  /**
   * Value of `server-brittle` of each answer; undefined to send none. The process
   * crashes if it turns more requests away in a second.
   */
  brittleness: string | undefined;
  /** Requests in progress. */
  private inProgress = 0;
  /** Milliseconds that ended requests were in progress, summed up. */
  occupiedMilliseconds = 0;
  /** Times at which requests were turned away for want of room. */
  private turnedAway: readonly number[] = [];
  /** Value of `retry-after` of each refusal; undefined to send none. */
  pauseAnnouncement: string | undefined;
  /** Times at which requests arrived, executed or not. */
  readonly arrivals: number[] = [];
  /** Attempts that arrived, executed or not. */
  readonly arrived: ArrivedAttempt[] = [];
  /** Executed requests. */
  readonly ran: ExecutedRequest[] = [];
  /** Prompt parts under which the process crashes when it begins to answer. */
  crashingParts: ReadonlySet<string> = new Set();
  /** Body of the requests under which the process crashes. */
  crashingBody: string | undefined;
  /** Events of a stream after which the process crashes under a body or a part. */
  crashAfterEvents = 0;
  /** Milliseconds from a crash until the process has started again. */
  restartMilliseconds = 300;
  /** Called when the process has started again after a crash. */
  onRestarted: () => void = () => undefined;
  /** Times at which the process crashed. */
  readonly crashes: number[] = [];
  /** Number of requests whose connection closed before the answer ended. */
  abandonedRequests = 0;

  constructor(readonly upstreamId: string) {
    super();
  }

  /** Returns the entry that the upstream writes into the store's list. */
  entry(service: string, overrides: object = {}): object {
    this.heartbeat += 1;
    return {
      service,
      address: this.address,
      zone: 'north',
      version: this.softwareVersion,
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.heartbeat,
      born: this.bornAt,
      ...overrides,
    };
  }

  /** Starts again under the same id, without any state of before. */
  restart(): void {
    this.bornAt = Math.max(Date.now(), this.bornAt + 1);
    this.heartbeat = 0;
    this.isLeaving = false;
    this.dropConnections();
  }

  /** Ends all connections, refuses new ones for a while and starts again. */
  async crash(): Promise<void> {
    const port = Number(this.address.split(':')[1]);
    if (this.isDown) {
      return;
    }
    this.isDown = true;
    this.crashes.push(Date.now());
    await super.close();
    await delay(this.restartMilliseconds);
    if (this.isStopped) {
      return;
    }
    await this.listen(port);
    this.isDown = false;
    this.restart();
    this.onRestarted();
  }

  override close(): Promise<void> {
    this.isStopped = true;
    return super.close();
  }

  /** Returns the attempt ids of the executed requests. */
  executedAttemptIds(): readonly string[] {
    return this.ran.map(({attemptId}) => attemptId);
  }

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readText(message);
    const {headers} = message;
    if (message.url === REPORT_PATH) {
      response.end(this.report ?? JSON.stringify({born: this.bornAt}));
      return;
    }
    this.arrivals.push(Date.now());
    if (this.isLeaving) {
      response.setHeader('server-leaving', '1');
    }
    if (this.namedLimit !== undefined) {
      response.setHeader('server-limit', this.namedLimit);
    }
    if (this.brittleness !== undefined) {
      response.setHeader('server-brittle', this.brittleness);
    }
    response.once('close', () => {
      this.abandonedRequests += response.writableFinished ? 0 : 1;
    });
    const attemptId = String(headers['x-attempt-id']);
    this.arrived.push({attemptId, at: Date.now()});
    message.socket.write(this.lateCopies.get(message.socket) ?? '');
    this.lateCopies.delete(message.socket);
    const signedHeaders = {
      'x-attempt-id': attemptId,
      'x-response-signature': `signed-by-${this.upstreamId}`,
      ...(this.weightVersion > 0 && {
        'x-weight-versions': String(this.weightVersion),
      }),
      ...Object.fromEntries(this.extraHeaders),
    };
    if (!this.omitsIdsInRefusals) {
      response.setHeader('x-attempt-id', attemptId);
    }
    if (headers['x-expected-instance'] !== this.upstreamId) {
      response.writeHead(421, {'x-instance-id': this.upstreamId}).end();
      return;
    }
    const expectedVersion = headers['x-expected-version'];
    if (
      expectedVersion !== undefined &&
      expectedVersion !== String(this.weightVersion)
    ) {
      response.writeHead(421, {'x-not-executed': '1'}).end();
      return;
    }
    if (this.behavior === 'shed') {
      if (this.pauseAnnouncement !== undefined) {
        response.setHeader('retry-after', this.pauseAnnouncement);
      }
      if (this.repeatsRefusals) {
        this.lateCopies.set(
          message.socket,
          refusalOf(this.omitsIdsInRefusals ? undefined : attemptId),
        );
      }
      response.writeHead(503, {'x-not-executed': '1'}).end();
      return;
    }
    if (this.inProgress >= this.room) {
      response.writeHead(503, {'x-not-executed': '1'}).end();
      this.turnAway(Date.now());
      return;
    }
    this.inProgress += 1;
    const acceptedAt = Date.now();
    response.once('close', () => {
      this.inProgress -= 1;
      this.occupiedMilliseconds += Date.now() - acceptedAt;
    });
    this.ran.push({
      path: message.url ?? '',
      headers,
      body,
      attemptId,
      isContinuation: headers['last-event-id'] !== undefined,
      at: Date.now(),
      softwareVersion: this.softwareVersion,
    });
    const isCrashing = body === this.crashingBody || this.crashesUnder(message);
    if (body === this.crashingBody && this.crashAfterEvents === 0) {
      await this.crash();
      return;
    }
    await delay(this.executionMilliseconds);
    switch (this.behavior) {
      case 'answer':
      case 'break-off':
      case 'answer-unframed':
      case 'break-off-unframed':
        await this.answer(message, response, signedHeaders, isCrashing);
        return;
      case 'fail':
        response.writeHead(this.failureStatus, signedHeaders).end('failed');
        return;
      case 'lose':
        message.socket.resetAndDestroy();
        return;
      case 'answer-another':
        response
          .writeHead(200, {...signedHeaders, 'x-attempt-id': 'other'})
          .end('x');
        return;
      case 'answer-unsigned':
        response.writeHead(200, {'x-attempt-id': attemptId}).end('x');
        return;
      case 'busy':
        response.writeHead(503, signedHeaders).end();
        return;
      case 'flood':
        response.writeHead(200, signedHeaders);
        await sendWithoutEnd(response, FLOOD_BLOCK, 0);
        return;
      case 'trickle':
        response.writeHead(200, signedHeaders);
        await sendWithoutEnd(response, FLOOD_BYTE, TRICKLE_MILLISECONDS);
        return;
      case 'hang':
    }
  }

  /** Falls over if it turned too many requests away. */
  private turnAway(now: number): void {
    this.turnedAway = [
      ...this.turnedAway.filter(time => time > now - SECOND_MILLISECONDS),
      now,
    ];
    if (this.turnedAway.length > Number(this.brittleness ?? Infinity)) {
      this.turnedAway = [];
      void this.crash();
    }
  }

  private async answer(
    message: IncomingMessage,
    response: ServerResponse,
    signedHeaders: Readonly<Record<string, string>>,
    isCrashing: boolean,
  ): Promise<void> {
    const isUnframed = this.behavior.endsWith('unframed');
    if (isUnframed) {
      response.shouldKeepAlive = false;
      response.removeHeader('transfer-encoding');
    }
    if (!this.isStreamed) {
      const text = `answer-of-${this.upstreamId}${this.attemptSuffixOf(message)}`;
      const padding = '.'.repeat(this.paddingBytes);
      response.writeHead(200, signedHeaders).end(`${text}${padding}`);
      return;
    }
    response.writeHead(200, {
      ...signedHeaders,
      'content-type': 'text/event-stream',
    });
    if (isCrashing && this.crashAfterEvents === 0) {
      response.flushHeaders();
      await delay(CRASH_DELAY_MILLISECONDS);
      await this.crash();
      return;
    }
    const lastEventId = Number(message.headers['last-event-id'] ?? 0);
    for (let id = lastEventId + 1; id <= STREAM_EVENTS; id += 1) {
      const breaksOff =
        this.behavior.startsWith('break-off') ||
        (this.breaksOffFirstAttempts && lastEventId === 0);
      if (breaksOff && id > STREAM_EVENTS / 2) {
        response.write(`id: ${id}\ndata: cut in the mid`);
        await delay(this.eventIntervalMilliseconds);
        if (isUnframed) {
          response.end();
          return;
        }
        message.socket.resetAndDestroy();
        return;
      }
      const event = `event-${id}${this.attemptSuffixOf(message)}${this.paddingOf(message)}`;
      response.write(`id: ${id}\ndata: ${event}\n\n`);
      await delay(this.eventIntervalMilliseconds);
      if (isCrashing && id === this.crashAfterEvents) {
        await this.crash();
        return;
      }
    }
    response.end();
  }

  /** Makes events large, so that a client that reads slowly holds them up. */
  private paddingOf({url = ''}: IncomingMessage): string {
    return url.includes(LARGE_STREAM_MARK)
      ? '.'.repeat(this.largeEventBytes)
      : '';
  }

  /** Returns whether a shared part of the prompt crashes the process. */
  private crashesUnder({headers}: IncomingMessage): boolean {
    const parts = String(headers['x-prompt-prefix'] ?? '').split(',');
    return parts
      .slice(0, -1)
      .some(part => this.crashingParts.has(part.split(':')[0] ?? ''));
  }

  private attemptSuffixOf({headers}: IncomingMessage): string {
    return this.hasAttemptIdInAnswer
      ? ` for ${String(headers['x-attempt-id'])}`
      : '';
  }
}

/** Returns the bytes of a refusal, with the id of its attempt if it has one. */
function refusalOf(attemptId: string | undefined): string {
  return [
    'HTTP/1.1 503 Service Unavailable',
    ...(attemptId === undefined ? [] : [`x-attempt-id: ${attemptId}`]),
    'x-not-executed: 1',
    'content-length: 0',
    '\r\n',
  ].join('\r\n');
}
