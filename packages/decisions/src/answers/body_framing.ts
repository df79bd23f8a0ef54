/**
 * How the end of an HTTP message body is recognized. A body without a length
 * and without chunks ends with its connection, and a crash of its sender can
 * end the connection in the same way.
 */

/** How the end of a body is recognized. */
export type BodyFraming = 'chunks' | 'connection' | 'length';

/** Headers that determine the framing of a response; names in lower case. */
export type FramingHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** Returns the framing of the body of a response with `headers`. */
export function bodyFramingOf(headers: FramingHeaders): BodyFraming {
  const codings = [headers['transfer-encoding'] ?? []].flat().join(',');
  if (codings !== '') {
    // A body whose last coding is another one ends with its connection.
    return /(^|,)\s*chunked\s*$/i.test(codings) ? 'chunks' : 'connection';
  }
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
