/**
 * Stand-in for the platform's store and for its calls that require a fencing
 * number, in their published formats, with faults that tests switch on.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {delay, ListeningStandIn, urlOf, writeJson} from './http_stand_in.js';

/** A copy of the records of all topics. */
export type StoreCopy = ReadonlyMap<string, readonly Buffer[]>;

/** Records of one topic. */
interface Partition {
  readonly records: Buffer[];
  /** Offset of the oldest record that retention has not dropped. */
  first: number;
}

/** An accepted call with a fencing number. */
export interface FencedCall {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/**
 * Returns the window and the counts of a usage report; undefined for other
 * calls.
 */
export function usageReportOf({path, body}: FencedCall):
  | {
      readonly window: unknown;
      readonly counts: string;
    }
  | undefined {
  return path === '/usage'
    ? {window: body['windowNumber'], counts: JSON.stringify(body['counts'])}
    : undefined;
}

/** Faults of the store that a test can switch on. */
export interface StoreFaults {
  /** Every call is answered with status 503. */
  isDown: boolean;
  /** No call is answered. */
  isUnresponsive: boolean;
  /** Number of further appends that take effect without an answer. */
  appendAnswersToLose: number;
  /** Number of further appends that wait for `releaseAppends`. */
  appendsToDelay: number;
}

/** Bytes of the length that precedes each record. */
const LENGTH_BYTES = 4;

/** Milliseconds between two checks of a read that waits for a record. */
const POLL_MILLISECONDS = 10;

/** An in-memory store. */
export class StoreStandIn extends ListeningStandIn {
  readonly faults: StoreFaults = {
    isDown: false,
    isUnresponsive: false,
    appendAnswersToLose: 0,
    appendsToDelay: 0,
  };
  /** Number of received calls by path. */
  readonly calls = new Map<string, number>();
  /** Accepted calls with a fencing number, in order of arrival. */
  readonly duties: FencedCall[] = [];
  private readonly partitions = new Map<string, Partition>();
  private highestFencingNumber = -1;
  private era = 0;
  private delayedAppends: (() => void)[] = [];

  /** Publishes `configuration` as an operator does. */
  publish(configuration: unknown): void {
    this.put('keyed.op', 'config', configuration);
  }

  /**
   * Appends a record for `key`; an undefined `value` deletes the key, and bytes are
   * written as they are.
   */
  put(topic: string, key: string, value: unknown): void {
    const keyBytes = Buffer.from(key);
    const content = Buffer.isBuffer(value)
      ? value
      : Buffer.from(value === undefined ? '' : JSON.stringify(value));
    this.partitionOf(topic).records.push(
      Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, content]),
    );
  }

  /** Returns the values that were written for `key`, oldest first. */
  recordsOf(topic: string, key: string): readonly Buffer[] {
    return this.partitionOf(topic).records.flatMap(record => {
      const keyEnd = 1 + (record[0] ?? 0);
      return record.toString('utf8', 1, keyEnd) === key
        ? [record.subarray(keyEnd)]
        : [];
    });
  }

  /** Writes the entry of an upstream, as the upstream itself does. */
  putUpstreamEntry(upstreamId: string, entry: unknown): void {
    this.put('keyed.servers', upstreamId, entry);
  }

  /** Copies the records of all topics. */
  copy(): StoreCopy {
    return new Map(
      [...this.partitions].map(([topic, {records}]) => [topic, [...records]]),
    );
  }

  /** Restores an older copy and starts a new era. */
  restore(copy: StoreCopy): void {
    this.era += 1;
    this.partitions.clear();
    for (const [topic, records] of copy) {
      this.partitions.set(topic, {records: [...records], first: 0});
    }
    this.dropConnections();
  }

  /** Executes the appends that were delayed. */
  releaseAppends(): void {
    const delayed = this.delayedAppends;
    this.delayedAppends = [];
    delayed.forEach(append => append());
  }

  /** Drops all records of the list of upstreams, as retention does. */
  dropUpstreamRecords(): void {
    this.dropRecords('keyed.servers');
  }

  /** Drops all records of `topic`, as retention does. */
  dropRecords(topic: string): void {
    const partition = this.partitionOf(topic);
    partition.first = partition.records.length;
  }

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = urlOf(message);
    const body = await readBytes(message);
    response.setHeader('store-era', String(this.era));
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    if (this.faults.isUnresponsive) {
      return;
    }
    if (this.faults.isDown) {
      writeJson(response, 503, {});
      return;
    }
    const topic = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/api/log-append':
        this.appendOrDelay(topic, url.searchParams.get('at'), body, response);
        return;
      case '/api/log-read':
        await this.read(topic, url.searchParams, response);
        return;
      case '/api/log-newest':
        this.newest(topic, response);
        return;
      case '/usage':
      case '/scaling':
        this.handleFencedCall(url.pathname, message, body, response);
        return;
      default:
        writeJson(response, 404, {});
    }
  }

  private appendOrDelay(...append: Parameters<StoreStandIn['append']>): void {
    if (this.faults.appendsToDelay > 0) {
      this.faults.appendsToDelay -= 1;
      this.delayedAppends.push(() => this.append(...append));
      return;
    }
    this.append(...append);
  }

  private append(
    topic: string,
    expectedOffset: string | null,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const {records} = this.partitionOf(topic);
    if (expectedOffset !== null && Number(expectedOffset) !== records.length) {
      writeJson(response, 412, {endOffset: records.length});
      return;
    }
    const offset = records.length;
    for (let start = 0; start < body.length;) {
      const length = body.readUInt32BE(start);
      const recordStart = start + LENGTH_BYTES;
      records.push(body.subarray(recordStart, recordStart + length));
      start = recordStart + length;
    }
    if (this.faults.appendAnswersToLose > 0) {
      this.faults.appendAnswersToLose -= 1;
      response.destroy();
      return;
    }
    writeJson(response, 200, {offset, endOffset: records.length});
  }

  private async read(
    topic: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const partition = this.partitionOf(topic);
    const from = Number(query.get('from'));
    const until = Date.now() + Number(query.get('waitMs') ?? 0);
    while (partition.records.length <= from && Date.now() < until) {
      await delay(POLL_MILLISECONDS);
    }
    if (from < partition.first) {
      writeJson(response, 410, {firstOffset: partition.first});
      return;
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(partition.records.length), 0);
    header.writeBigUInt64BE(BigInt(partition.first), 8);
    const records = partition.records.slice(from).flatMap(record => {
      const length = Buffer.alloc(LENGTH_BYTES);
      length.writeUInt32BE(record.length);
      return [length, record];
    });
    response.end(Buffer.concat([header, ...records]));
  }

  private newest(topic: string, response: ServerResponse): void {
    const {records} = this.partitionOf(topic);
    const newest = new Map<string, {value: Buffer; offset: number}>();
    records.forEach((record, offset) => {
      const keyEnd = 1 + (record[0] ?? 0);
      const key = record.toString('utf8', 1, keyEnd);
      newest.set(key, {value: record.subarray(keyEnd), offset});
    });
    const items = [...newest]
      .filter(([, {value}]) => value.length > 0)
      .map(([key, {value, offset}]) => ({
        key,
        value: value.toString('base64'),
        offset,
      }));
    writeJson(response, 200, {
      items,
      hasMore: false,
      endOffset: records.length,
    });
  }

  private handleFencedCall(
    path: string,
    message: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const fence = Number(message.headers['x-fencing-token']);
    if (fence < this.highestFencingNumber) {
      writeJson(response, 409, {reason: 'fence'});
      return;
    }
    this.highestFencingNumber = fence;
    this.duties.push({
      path,
      holder: String(message.headers['x-duty-holder']),
      fence,
      body: JSON.parse(body.toString()) as FencedCall['body'],
    });
    writeJson(response, 200, {});
  }

  private partitionOf(topic: string): Partition {
    const existing = this.partitions.get(topic);
    if (existing !== undefined) {
      return existing;
    }
    const created: Partition = {records: [], first: 0};
    this.partitions.set(topic, created);
    return created;
  }
}

async function readBytes(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
