/**
 * How much work an entry host can carry, as a single figure that hosts report to
 * each other.
 */

/** What the operator's settings allow an entry host to use. */
export interface HostLimits {
  /** Processor cores at reference speed; a fraction for a part of a core. */
  readonly cores: number;
  /** Undefined if the settings state no limit. */
  readonly linkMegabitsPerSecond: number | undefined;
  readonly fileDescriptors: number;
}

/**
 * Traffic of one core under full load: some 120 requests a second, of which each
 * passes the link twice in either direction with about 5 KB.
 */
const MEGABITS_PER_SECOND_OF_CORE = 20;

/**
 * Descriptors that one core uses under full load: two connections for each
 * request in progress, and those that clients and upstreams keep idle.
 */
const DESCRIPTORS_OF_CORE = 1500;

/**
 * Returns the capacity of a host in cores. A link or a number of descriptors
 * that is too small for the cores reduces it.
 */
export function capacityOf({
  cores,
  linkMegabitsPerSecond = Infinity,
  fileDescriptors,
}: HostLimits): number {
  return Math.min(
    cores,
    linkMegabitsPerSecond / MEGABITS_PER_SECOND_OF_CORE,
    fileDescriptors / DESCRIPTORS_OF_CORE,
  );
}
