/**
 * The fingerprint by which requests with the same content are recognized.
 */
import {crc32} from 'node:zlib';

import murmurhash from 'murmurhash';

/** The properties of a request that identify its content. */
export interface Content {
  /** Empty for a public rule. */
  readonly workspace: string;
  /** Path including the query. */
  readonly target: string;
  readonly body: Buffer;
}

/** Returns an identifier of the content that reveals nothing of its text. */
export function fingerprintOf({workspace, target, body}: Content): string {
  const targetHash = murmurhash.v3(`${workspace}\n${target}`);
  return `${targetHash.toString(16)}-${crc32(body).toString(16)}-${body.length}`;
}
