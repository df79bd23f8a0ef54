/**
 * The headers of attempts that one entry host carries to an upstream for another
 * one. The method, path, body and other headers are those of the attempt.
 */
import type {BodyFraming} from '@lacewingwinch/decisions';

/** An attempt that a host requests another one to relay. */
export interface RelayOrder {
  readonly upstreamId: string;
  /** The host that sends this order. */
  readonly front: string;
  readonly requestId: string;
  /**
   * Start of the only process of the upstream to which the attempt may be sent, in
   * milliseconds since the epoch; undefined if any may run it.
   */
  readonly requiredStart?: number | undefined;
  /**
   * Whether a process that does not report its start gets the attempt as well;
   * carriers of builds before send it to none.
   */
  readonly isReportOptional?: boolean;
  /** Milliseconds after which an incomplete answer is ended. */
  readonly maximumMilliseconds: number;
  /** Connections that were idle for this long or longer are not used. */
  readonly maximumIdleMilliseconds: number;
  /** Maximum number of open connections to the upstream. */
  readonly maximumConnections: number;
}

/** Why a host did not carry an attempt; no byte reached the upstream. */
export interface RelayRefusal {
  readonly reason: string;
  /** Whether the host could not connect to the upstream. */
  readonly isUnreachable: boolean;
  /** Whether the host reaches no upstream at all. */
  readonly isCutOff: boolean;
}

type RawHeaders = readonly string[];
type HeaderValues = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

const PREFIX = 'lacewingwinch-relay-';

const UPSTREAM = `${PREFIX}upstream`;
const FRONT = `${PREFIX}front`;
const REQUEST = `${PREFIX}request`;
const MAXIMUM = `${PREFIX}milliseconds`;
const MAXIMUM_IDLE = `${PREFIX}idle-milliseconds`;
const CONNECTIONS = `${PREFIX}connections`;
const REQUIRED_START = `${PREFIX}required-start`;
const REPORT_OPTIONAL = `${PREFIX}report-optional`;
const REPORTED_START = `${PREFIX}reported-start`;
const REFUSAL = `${PREFIX}refusal`;
const UNREACHABLE = `${PREFIX}unreachable`;
const CUT_OFF = `${PREFIX}cut-off`;
const FRAMING = `${PREFIX}framing`;
const FIRST_ANSWER = `${PREFIX}first-answer`;

const FRAMINGS: readonly BodyFraming[] = ['chunks', 'connection', 'length'];

/** Headers that each connection sets for itself. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'transfer-encoding',
]);

/** Returns the headers of an attempt with those of its order. */
export function encodeRelayOrder(
  rawHeaders: RawHeaders,
  order: RelayOrder,
): string[] {
  return [
    ...withoutRelayHeaders(rawHeaders),
    UPSTREAM,
    order.upstreamId,
    FRONT,
    order.front,
    REQUEST,
    encodeURIComponent(order.requestId),
    MAXIMUM,
    String(Math.round(order.maximumMilliseconds)),
    MAXIMUM_IDLE,
    String(Math.round(order.maximumIdleMilliseconds)),
    CONNECTIONS,
    String(order.maximumConnections),
    ...(order.requiredStart === undefined
      ? []
      : [REQUIRED_START, String(order.requiredStart)]),
    ...(order.isReportOptional === true ? [REPORT_OPTIONAL, '1'] : []),
  ];
}

/** Decodes an order; undefined if it is malformed. */
export function decodeRelayOrder(
  headers: HeaderValues,
): RelayOrder | undefined {
  const upstreamId = valueOf(headers, UPSTREAM);
  const front = valueOf(headers, FRONT);
  const requestId = valueOf(headers, REQUEST);
  const maximumMilliseconds = Number(valueOf(headers, MAXIMUM));
  const maximumIdleMilliseconds = Number(valueOf(headers, MAXIMUM_IDLE));
  const maximumConnections = Number(valueOf(headers, CONNECTIONS));
  const requiredStart = valueOf(headers, REQUIRED_START);
  return upstreamId === undefined ||
    front === undefined ||
    requestId === undefined ||
    !(maximumMilliseconds > 0) ||
    !(maximumIdleMilliseconds > 0) ||
    !(maximumConnections > 0) ||
    Number.isNaN(Number(requiredStart ?? 0))
    ? undefined
    : {
        upstreamId,
        front,
        requestId: decodeURIComponent(requestId),
        maximumMilliseconds,
        maximumIdleMilliseconds,
        maximumConnections,
        ...(requiredStart !== undefined && {
          requiredStart: Number(requiredStart),
        }),
        ...(valueOf(headers, REPORT_OPTIONAL) === '1' && {
          isReportOptional: true,
        }),
      };
}

/** Returns the headers of an attempt as the upstream gets them. */
export function carriedHeaders(rawHeaders: RawHeaders): string[] {
  return withoutRelayHeaders(rawHeaders, name => CONNECTION_HEADERS.has(name));
}

/** Returns the headers of a refusal. */
export function encodeRelayRefusal(refusal: RelayRefusal): string[] {
  return [
    REFUSAL,
    encodeURIComponent(refusal.reason),
    ...(refusal.isUnreachable ? [UNREACHABLE, '1'] : []),
    ...(refusal.isCutOff ? [CUT_OFF, '1'] : []),
  ];
}

/** Decodes a refusal; undefined if the headers are those of an answer. */
export function decodeRelayRefusal(
  headers: HeaderValues,
): RelayRefusal | undefined {
  const reason = valueOf(headers, REFUSAL);
  return reason === undefined
    ? undefined
    : {
        reason: decodeURIComponent(reason),
        isUnreachable: valueOf(headers, UNREACHABLE) === '1',
        isCutOff: valueOf(headers, CUT_OFF) === '1',
      };
}

/** Returns the header that states the framing of the upstream's answer. */
export function encodeAnswerFraming(framing: BodyFraming): string[] {
  return [FRAMING, framing];
}

/** Returns the framing of the upstream's answer. */
export function decodeAnswerFraming(
  headers: HeaderValues,
): BodyFraming | undefined {
  const framing = valueOf(headers, FRAMING);
  return FRAMINGS.find(known => known === framing);
}

/**
 * Returns the header that states whether an answer is the first one on its connection
 * to the upstream.
 */
export function encodeIsFirstAnswer(isFirst: boolean): string[] {
  return isFirst ? [FIRST_ANSWER, '1'] : [];
}

/**
 * Returns whether an answer is the first one on its connection to the upstream; false
 * if the carrier is of a build that does not state it.
 */
export function decodeIsFirstAnswer(headers: HeaderValues): boolean {
  return valueOf(headers, FIRST_ANSWER) === '1';
}

/** Returns the header that states the start which the upstream has reported. */
export function encodeReportedStart(start: number | undefined): string[] {
  return start === undefined ? [] : [REPORTED_START, String(start)];
}

/**
 * Returns the start that the upstream has reported to the carrier; undefined if it has
 * not, or if the carrier is of a build that does not state it.
 */
export function decodeReportedStart(headers: HeaderValues): number | undefined {
  const start = Number(valueOf(headers, REPORTED_START));
  return Number.isInteger(start) ? start : undefined;
}

/** Returns headers without those of this module and those that `drops` names. */
export function withoutRelayHeaders(
  rawHeaders: RawHeaders,
  drops: (name: string) => boolean = () => false,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const lowerCaseName = name.toLowerCase();
    if (!lowerCaseName.startsWith(PREFIX) && !drops(lowerCaseName)) {
      kept.push(name, rawHeaders[index + 1] ?? '');
    }
  }
  return kept;
}

function valueOf(headers: HeaderValues, name: string): string | undefined {
  const value = headers[name];
  return typeof value === 'string' ? value : value?.[0];
}
