/** The configuration objects of a fleet, and the keys of its workspaces. */
import {createHash} from 'node:crypto';

/** The key of workspace `one`. */
export const KEY_ONE = 'key-of-workspace-one';

/** The key of workspace `two`. */
export const KEY_TWO = 'key-of-workspace-two';

/** A configuration object as operators publish it. */
export interface FleetObject {
  readonly kind: string;
  readonly name: string;
  readonly [field: string]: unknown;
}

/** Returns the hash of a workspace key that a configuration contains. */
export function keyHash(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** The objects of a fleet that states no others. */
export const DEFAULT_OBJECTS: readonly FleetObject[] = [
  {
    kind: 'service',
    name: 'writer',
    upstreamKind: 'model',
    upstreamConcurrency: 16,
  },
  {
    kind: 'service',
    name: 'lookup',
    upstreamKind: 'plain',
    upstreamConcurrency: 64,
  },
  {
    kind: 'service',
    name: 'booking',
    upstreamKind: 'plain',
    repetition: 'non-idempotent',
    upstreamConcurrency: 64,
  },
  {kind: 'workspace', name: 'one', keyHashes: [keyHash(KEY_ONE)]},
  {kind: 'workspace', name: 'two', keyHashes: [keyHash(KEY_TWO)]},
  {
    kind: 'rules',
    name: 'rules',
    rules: [{name: 'everything', then: {kind: 'send', holdAlone: true}}],
  },
];
