/** Tests of the headers of carried attempts, also beside builds that lack some. */
import {describe, expect, it} from 'vitest';

import {
  decodeRelayOrder,
  decodeReportedStart,
  encodeRelayOrder,
  encodeReportedStart,
  type RelayOrder,
  withoutRelayHeaders,
} from '../src/index.js';

const ORDER: RelayOrder = {
  upstreamId: 'i-1',
  front: 'host-1',
  requestId: 'attempt 1',
  maximumMilliseconds: 1000,
  maximumIdleMilliseconds: 500,
  maximumConnections: 4,
};

function headersOf(raw: readonly string[]): Record<string, string> {
  const headers: Record<string, string> = {};
  for (let index = 0; index < raw.length; index += 2) {
    headers[raw[index] ?? ''] = raw[index + 1] ?? '';
  }
  return headers;
}

describe('an order to carry an attempt', () => {
  it.each<{readonly name: string; readonly order: RelayOrder}>([
    {name: 'without a required process', order: ORDER},
    {
      name: 'as the build before sends it',
      order: {...ORDER, requiredStart: 17},
    },
    {
      name: 'to a process that need not report its start',
      order: {...ORDER, requiredStart: 17, isReportOptional: true},
    },
  ])('is decoded as it was encoded: $name', ({order}) => {
    const raw = encodeRelayOrder(['x-kept', '1'], order);
    expect(decodeRelayOrder(headersOf(raw))).toEqual(order);
    expect(withoutRelayHeaders(raw)).toEqual(['x-kept', '1']);
  });
});

describe('the start that a carrier states', () => {
  it.each([
    {
      name: 'is that of its connection',
      headers: encodeReportedStart(17),
      start: 17,
    },
    {
      name: 'is unknown if none was reported',
      headers: encodeReportedStart(undefined),
      start: undefined,
    },
    {name: 'is unknown from the build before', headers: [], start: undefined},
    {
      name: 'is unknown if it is malformed',
      headers: ['lacewingwinch-relay-reported-start', 'x'],
      start: undefined,
    },
  ])('$name', ({headers, start}) => {
    expect(decodeReportedStart(headersOf(headers))).toBe(start);
  });
});
