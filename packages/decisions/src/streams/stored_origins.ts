/**
 * The origins of the streams of one host, as the store keeps them while several
 * software versions of a service can have begun a stream.
 */
import {z} from 'zod';

import type {StreamOrigin} from './stream_origins.js';

const STORED_ORIGINS_SCHEMA = z
  .array(
    z.object({
      service: z.string(),
      softwareVersion: z.string(),
      /** See `StreamOrigin`. */
      lifetimeMilliseconds: z.number(),
      /**
       * Id of the attempt that brought the first event, and the time until which
       * the stream may be taken up, in milliseconds since the epoch.
       */
      streams: z.array(z.tuple([z.string(), z.number()]).readonly()),
    }),
  )
  .readonly();

/** An origin and the time until which its stream may be taken up. */
export interface DatedOrigin {
  readonly origin: StreamOrigin;
  /** Milliseconds since the epoch. */
  readonly until: number;
}

/** Encodes the origins of one host, grouped by what streams have in common. */
export function encodeOrigins(dated: readonly DatedOrigin[]): Buffer {
  const groups = new Map<
    string,
    Omit<StreamOrigin, 'attemptId'> & {
      streams: [string, number][];
    }
  >();
  for (const {origin, until} of dated) {
    const {attemptId, ...common} = origin;
    const {service, softwareVersion, lifetimeMilliseconds} = common;
    const key = JSON.stringify([
      service,
      softwareVersion,
      lifetimeMilliseconds,
    ]);
    const group = groups.get(key) ?? {...common, streams: []};
    group.streams.push([attemptId, Math.round(until)]);
    groups.set(key, group);
  }
  return Buffer.from(JSON.stringify([...groups.values()]));
}

/** Decodes the origins of one host; none if the value is malformed. */
export function decodeOrigins(value: Buffer): readonly DatedOrigin[] {
  try {
    const parsed = STORED_ORIGINS_SCHEMA.safeParse(
      JSON.parse(value.toString()),
    );
    return parsed.success
      ? parsed.data.flatMap(({streams, ...common}) =>
          streams.map(([attemptId, until]) => ({
            origin: {...common, attemptId},
            until,
          })),
        )
      : [];
  } catch {
    return [];
  }
}
