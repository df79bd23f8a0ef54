/**
 * Positions in the logs of the store. The store can come back from an older
 * copy; it then starts a new era, in which it gives out offsets again that
 * records of the previous era had. A position combines era and offset into one
 * whole number, so that positions are unique and never go back.
 */

/** Number of offsets in an era. */
const OFFSETS_PER_ERA = 2 ** 36;

/** The last era whose positions are safe integers. */
export const MAXIMUM_ERA = 2 ** 17 - 1;

/** Returns the position of `offset` in `era`. */
export function storePosition(era: number, offset: number): number {
  return era * OFFSETS_PER_ERA + offset;
}

/** Returns the era of a position. */
export function eraOf(position: number): number {
  return Math.floor(position / OFFSETS_PER_ERA);
}

/** Returns the offset of a position within its era. */
export function offsetOf(position: number): number {
  return position % OFFSETS_PER_ERA;
}
