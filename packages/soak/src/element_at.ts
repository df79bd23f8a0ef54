/**
 * Indexes that wrap around, so that a plan fits an installation of any size.
 */

/** The element of a list that is not empty, at an index that wraps around. */
export function elementAt<T>(list: readonly T[], index: number): T {
  return list[index % list.length] as T;
}
