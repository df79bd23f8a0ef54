/**
 * The statuses of final answers (RFC 9110, section 15).
 */

const LOWEST_FINAL_STATUS = 200;
const HIGHEST_STATUS = 599;

/**
 * Returns whether `status` is that of a final answer. Bytes with another one are no
 * answer, whatever follows them.
 */
export function isFinalStatus(status: number): boolean {
  return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
}
