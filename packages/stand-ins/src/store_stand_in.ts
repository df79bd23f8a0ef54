/**
 * A stand-in for the platform's store and its calls under a fence, by their
 * published formats, with faults on demand.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {delay, ListeningStandIn, urlOf, writeJson} from './http_stand_in.js';

interface Partition {
  readonly records: Buffer[];
  /** Offset of the first record that is kept. */
  first: number;
}

/** A call under a fence that was accepted. */
export interface AcceptedDuty {
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** The window that a report of usage is about, and what it says. */
export function usageReportOf({path, body}: AcceptedDuty):
  | {
      readonly window: unknown;
      readonly counts: string;
    }
  | undefined {
  return path === '/usage'
    ? {window: body['windowNumber'], counts: JSON.stringify(body['counts'])}
    : undefined;
}

/** Faults of the store. */
export interface StoreFaults {
  /** Every call is answered 503. */
  isDown: boolean;
  /** No call is answered. */
  isSilent: boolean;
  /** Appends that are done and not answered. */
  lostAnswers: number;
}

const LENGTH_BYTES = 4;

/** Milliseconds between two looks of a read that waits. */
const LOOK_MILLISECONDS = 10;

/** The store stand-in. */
export class StoreStandIn extends ListeningStandIn {
  readonly faults: StoreFaults = {
    isDown: false,
    isSilent: false,
    lostAnswers: 0,
  };
  /** Calls by path. */
  readonly calls = new Map<string, number>();
  readonly duties: AcceptedDuty[] = [];
  private readonly partitions = new Map<string, Partition>();
  private highestFence = -1;

  /** Publishes a configuration, as operators do. */
  publish(configuration: unknown): void {
    this.put('keyed.op', 'config', configuration);
  }

  /** Writes the newest record of a key; without a value the key is dropped. */
  put(topic: string, key: string, value: unknown): void {
    const keyBytes = Buffer.from(key);
    const content =
      value === undefined
        ? Buffer.alloc(0)
        : Buffer.from(JSON.stringify(value));
    this.partition(topic).records.push(
      Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, content]),
    );
  }

  /** Writes the entry of an upstream, as it does itself. */
  listUpstream(upstreamId: string, entry: unknown): void {
    this.put('keyed.servers', upstreamId, entry);
  }

  /** Forgets the history of the list of upstreams. */
  expireUpstreams(): void {
    this.expire('keyed.servers');
  }

  /** Forgets every record before the end, as a retention that passed. */
  expire(topic: string): void {
    const partition = this.partition(topic);
    partition.first = partition.records.length;
  }

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = urlOf(message);
    const body = await readBytes(message);
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    if (this.faults.isSilent) {
      return;
    }
    if (this.faults.isDown) {
      writeJson(response, 503, {});
      return;
    }
    const topic = url.searchParams.get('topic') ?? '';
    switch (url.pathname) {
      case '/api/log-append':
        this.append(topic, url.searchParams.get('at'), body, response);
        return;
      case '/api/log-read':
        await this.read(topic, url.searchParams, response);
        return;
      case '/api/log-newest':
        this.newest(topic, response);
        return;
      case '/usage':
      case '/scaling':
        this.acceptDuty(url.pathname, message, body, response);
        return;
      default:
        writeJson(response, 404, {});
    }
  }

  private append(
    topic: string,
    at: string | null,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const {records} = this.partition(topic);
    if (at !== null && Number(at) !== records.length) {
      writeJson(response, 412, {endOffset: records.length});
      return;
    }
    const offset = records.length;
    for (let start = 0; start < body.length;) {
      const length = body.readUInt32BE(start);
      const from = start + LENGTH_BYTES;
      records.push(body.subarray(from, from + length));
      start = from + length;
    }
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1;
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
    const partition = this.partition(topic);
    const from = Number(query.get('from'));
    const until = Date.now() + Number(query.get('waitMs') ?? 0);
    while (partition.records.length <= from && Date.now() < until) {
      await delay(LOOK_MILLISECONDS);
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
    const {records} = this.partition(topic);
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

  private acceptDuty(
    path: string,
    message: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const fence = Number(message.headers['x-fencing-token']);
    if (fence < this.highestFence) {
      writeJson(response, 409, {reason: 'fence'});
      return;
    }
    this.highestFence = fence;
    this.duties.push({
      path,
      holder: String(message.headers['x-duty-holder']),
      fence,
      body: JSON.parse(body.toString()) as AcceptedDuty['body'],
    });
    writeJson(response, 200, {});
  }

  private partition(topic: string): Partition {
    const known = this.partitions.get(topic);
    if (known !== undefined) {
      return known;
    }
    const fresh: Partition = {records: [], first: 0};
    this.partitions.set(topic, fresh);
    return fresh;
  }
}

async function readBytes(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
