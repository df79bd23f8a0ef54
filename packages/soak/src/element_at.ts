/**
 * Access to list elements by an index that wraps around, so that a fault plan
 * fits an installation of any size.
 */

/**
 * Returns the element at `index` modulo the length of the list, which must not
 * be empty.
 */
export function elementAt<T>(list: readonly T[], index: number): T {
  return list[index % list.length] as T;
}
