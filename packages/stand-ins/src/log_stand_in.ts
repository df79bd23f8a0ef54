/**
 * Stand-in for the log service that keeps its streams in memory.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {delay, readJson, urlOf, writeJson} from './http_stand_in.js';

/** Faults of the log that a test can switch on. */
export interface LogFaults {
  /** `down`: calls get status 503. `hang`: no call is answered. */
  outage: 'down' | 'hang' | 'none';
  /** Number of further appends that take effect without an answer. */
  loseAppendAnswers: number;
  /** Milliseconds added to each call. */
  latency: number;
  /** Appends accepted per second; further ones get status 429. */
  appendsPerSecond: number;
}

interface StoredRecord {
  readonly offset: number;
  readonly time: number;
  readonly data: unknown;
}

/** An in-memory log service. */
export class LogStandIn {
  readonly faults: LogFaults = {
    outage: 'none',
    loseAppendAnswers: 0,
    latency: 0,
    appendsPerSecond: 500,
  };
  private readonly streams = new Map<string, StoredRecord[]>();
  private readonly tails = new Map<string, number>();
  private readonly waitingReads = new Set<() => void>();
  private currentSecond = 0;
  private appendsInSecond = 0;

  /** Returns the records of `stream` that retention has not dropped. */
  records(stream: string): readonly StoredRecord[] {
    return this.streams.get(stream) ?? [];
  }

  /**
   * Appends a record without an HTTP request or a fault and returns its offset.
   */
  append(stream: string, data: unknown): number {
    const records = this.streams.get(stream) ?? [];
    const offset = this.tailOf(stream);
    records.push({offset, time: Date.now(), data});
    this.streams.set(stream, records);
    this.tails.set(stream, offset + 1);
    for (const wake of this.waitingReads) {
      wake();
    }
    return offset;
  }

  /** Drops the records of `stream` before `offset`, as retention does. */
  dropRecordsBefore(stream: string, offset: number): void {
    const kept = this.records(stream).filter(record => record.offset >= offset);
    this.streams.set(stream, kept);
  }

  /** Serves `/streams/{stream}/records`. */
  async handle(
    stream: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.faults.latency > 0) {
      await delay(this.faults.latency);
    }
    switch (this.faults.outage) {
      case 'down':
        writeJson(response, 503, {});
        return;
      case 'hang':
        return;
      case 'none':
        break;
    }
    if (message.method === 'POST') {
      await this.handleAppend(stream, message, response);
      return;
    }
    await this.handleRead(stream, message, response);
  }

  private async handleAppend(
    stream: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {data} = await readJson(message);
    if (!this.admitAppend()) {
      writeJson(response, 429, {});
      return;
    }
    const offset = this.append(stream, data);
    if (this.faults.loseAppendAnswers > 0) {
      this.faults.loseAppendAnswers -= 1;
      response.destroy();
      return;
    }
    writeJson(response, 200, {offset});
  }

  private async handleRead(
    stream: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const query = urlOf(message).searchParams;
    const from = Number(query.get('from'));
    const limit = Number(query.get('limit') ?? 1000);
    const wait = Number(query.get('wait') ?? 0);
    if (from >= this.tailOf(stream) && wait > 0) {
      await this.waitForRecord(stream, from, wait);
    }
    if (this.faults.outage !== 'none') {
      writeJson(response, 503, {});
      return;
    }
    const kept = this.records(stream);
    const tail = this.tailOf(stream);
    writeJson(response, 200, {
      records: kept.filter(({offset}) => offset >= from).slice(0, limit),
      earliest: kept[0]?.offset ?? tail,
      tail,
    });
  }

  private waitForRecord(
    stream: string,
    from: number,
    milliseconds: number,
  ): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        clearTimeout(timer);
        this.waitingReads.delete(check);
        resolve();
      };
      const check = (): void => {
        if (this.tailOf(stream) > from) {
          finish();
        }
      };
      const timer = setTimeout(finish, milliseconds);
      this.waitingReads.add(check);
    });
  }

  private tailOf(stream: string): number {
    return this.tails.get(stream) ?? 0;
  }

  private admitAppend(): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.currentSecond) {
      this.currentSecond = second;
      this.appendsInSecond = 0;
    }
    this.appendsInSecond += 1;
    return this.appendsInSecond <= this.faults.appendsPerSecond;
  }
}
