/**
 * The age of an idempotency key, compared with the claim window.
 */
import {validate, version} from 'uuid';

/** Tolerated difference between the clocks of the key's creator and a host. */
export const CLOCK_SKEW_TOLERANCE_MILLISECONDS = 30_000;

/**
 * The age of a key in relation to the claim window: `fresh` if it was created
 * within the window, so that its claim is still kept; `unstated` if neither the
 * key nor the request gives a creation time.
 */
export type KeyAge =
  | {readonly kind: 'expired'}
  | {readonly kind: 'fresh'}
  | {readonly kind: 'unstated'};

/**
 * Returns the creation time of `key` in milliseconds since the epoch, or
 * undefined if it is not a UUIDv7.
 */
export function keyCreationTime(key: string): number | undefined {
  if (!validate(key) || version(key) !== 7) {
    return undefined;
  }
  return Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16);
}

/**
 * Compares the age of `key` with a window of `windowMilliseconds`. A UUIDv7
 * takes precedence over `statedTime`. A creation time in the future counts as
 * expired, because such a key would outlive the window.
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
    age >= -CLOCK_SKEW_TOLERANCE_MILLISECONDS &&
    age < windowMilliseconds - CLOCK_SKEW_TOLERANCE_MILLISECONDS;
  return {kind: isInside ? 'fresh' : 'expired'};
}
