/**
 * Parsing of addresses such as `10.0.0.1:8000`.
 */

/** Splits an address into host and port at its last colon. */
export function parseAddress(address: string): {
  readonly host: string;
  readonly port: number;
} {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
