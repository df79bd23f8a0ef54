/**
 * The age of an idempotency key.
 */
import {validate, version} from 'uuid';

/** Tolerated difference of clocks, in milliseconds. */
export const CLOCK_TOLERANCE_MILLISECONDS = 30_000;

/** What the age of a key says about the claim window. */
export type KeyAge =
  | {readonly kind: 'expired'}
  | {readonly kind: 'fresh'}
  | {readonly kind: 'unstated'};

/** When `key` was made, in milliseconds since the epoch, if it is a UUIDv7. */
export function keyCreationTime(key: string): number | undefined {
  if (!validate(key) || version(key) !== 7) {
    return undefined;
  }
  return Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16);
}

/**
 * The age of `key` against a window of `windowMilliseconds`. A creation time
 * in the future counts as expired: it would outlive the window.
 */
export function keyAge(
  key: string,
  statedTime: number | undefined,
  windowMilliseconds: number,
  now: number,
): KeyAge {
  const created = keyCreationTime(key) ?? statedTime;
  if (created === undefined) {
    return {kind: 'unstated'};
  }
  const age = now - created;
  const isInside =
    age >= -CLOCK_TOLERANCE_MILLISECONDS &&
    age < windowMilliseconds - CLOCK_TOLERANCE_MILLISECONDS;
  return {kind: isInside ? 'fresh' : 'expired'};
}
