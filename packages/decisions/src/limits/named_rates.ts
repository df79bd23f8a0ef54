/**
 * The rates that upstreams in need name in their answers. Hosts exchange what they
 * know; the newest statement about an incarnation holds.
 */
import type {UpstreamIncarnation} from '../upstreams/upstream_announcements.js';

/** What a rate limits. */
export type RateKind =
  /** Requests a second that the upstream takes from all hosts together. */
  | 'requests'
  /**
   * Requests a second that it may turn away for want of room; it falls over if it
   * has to turn away more.
   */
  | 'refusals';

const RATE_KINDS: readonly RateKind[] = ['requests', 'refusals'];

/** What an incarnation of an upstream said of a rate. */
export interface RateStatement extends UpstreamIncarnation {
  readonly kind: RateKind;
  /** Per second from all hosts; null if it names no such rate any more. */
  readonly perSecond: number | null;
  /** Milliseconds since the epoch, the same on all hosts. */
  readonly at: number;
}

/** The rates that an answer names; undefined where it names none. */
export interface AnsweredRates {
  readonly requestsPerSecond: number | undefined;
  readonly refusalsPerSecond: number | undefined;
}

/** An answer of an upstream, as far as its rates are concerned. */
export interface RatedAnswer extends AnsweredRates {
  /** Times of the request and of the answer, in milliseconds since the epoch. */
  readonly sentAt: number;
  readonly answeredAt: number;
}

/**
 * Least rate that is kept to: an upstream that gets nothing cannot say that its
 * need has ended.
 */
const MINIMUM_PER_SECOND = 0.1;

/** Rate above which no host is bound. */
const MAXIMUM_PER_SECOND = 100_000;

/** Largest number of statements that are remembered. */
const MAXIMUM_REMEMBERED_STATEMENTS = 4096;

/** The rates of upstreams that one host knows. */
export class NamedRates {
  /** By kind and upstream, the longest unchanged one first. */
  private readonly statements = new Map<string, RateStatement>();

  /** Whether no upstream has ever named a rate. */
  get isEmpty(): boolean {
    return this.statements.size === 0;
  }

  /** Records an answer; returns the statements that change what is known. */
  recordAnswer(
    upstream: UpstreamIncarnation,
    answer: RatedAnswer,
  ): readonly RateStatement[] {
    return RATE_KINDS.flatMap(kind => {
      const known = this.find(kind, upstream);
      const statement = statementOf(kind, upstream, answer, known);
      return statement !== undefined && this.merge(statement)
        ? [statement]
        : [];
    });
  }

  /** Merges a statement; returns whether it changes the rate. */
  merge(statement: RateStatement): boolean {
    const known = this.statements.get(keyOf(statement.kind, statement));
    if (known !== undefined && !supersedes(statement, known)) {
      return false;
    }
    const before = this.rateOf(statement.kind, statement);
    this.remember(statement);
    return before !== rateIn(statement);
  }

  /** Returns a rate of an incarnation; undefined if none applies to it. */
  rateOf(kind: RateKind, upstream: UpstreamIncarnation): number | undefined {
    const statement = this.find(kind, upstream);
    return statement === undefined ? undefined : rateIn(statement);
  }

  /** Returns the statements that apply to `upstreams`. */
  known(upstreams: readonly UpstreamIncarnation[]): readonly RateStatement[] {
    return this.isEmpty
      ? []
      : upstreams.flatMap(upstream =>
          RATE_KINDS.flatMap(kind => this.find(kind, upstream) ?? []),
        );
  }

  private find(
    kind: RateKind,
    upstream: UpstreamIncarnation,
  ): RateStatement | undefined {
    const statement = this.statements.get(keyOf(kind, upstream));
    return statement !== undefined && appliesTo(statement, upstream)
      ? statement
      : undefined;
  }

  private remember(statement: RateStatement): void {
    const key = keyOf(statement.kind, statement);
    this.statements.delete(key);
    this.statements.set(key, statement);
    const [oldest] = this.statements.keys();
    if (
      this.statements.size > MAXIMUM_REMEMBERED_STATEMENTS &&
      oldest !== undefined
    ) {
      this.statements.delete(oldest);
    }
  }
}

function keyOf(kind: RateKind, {upstreamId}: UpstreamIncarnation): string {
  return `${kind} ${upstreamId}`;
}

/**
 * Returns what an answer says. Answers overtake each other, so that one without a
 * rate counts only if its request was sent after the last statement.
 */
function statementOf(
  kind: RateKind,
  {upstreamId, bornAt}: UpstreamIncarnation,
  answer: RatedAnswer,
  known: RateStatement | undefined,
): RateStatement | undefined {
  const {sentAt, answeredAt} = answer;
  const perSecond = namedIn(kind, answer);
  if (perSecond !== undefined) {
    return {kind, upstreamId, bornAt, perSecond, at: answeredAt};
  }
  const ends =
    known !== undefined &&
    known.perSecond !== null &&
    (known.bornAt < bornAt || sentAt > known.at);
  return ends
    ? {kind, upstreamId, bornAt, perSecond: null, at: sentAt}
    : undefined;
}

/**
 * Returns whether a statement applies to an incarnation. An upstream that fell over
 * because it had to turn requests away does so again; the next process under its id
 * is therefore assumed to tolerate no more until it answers.
 */
function appliesTo(
  {kind, bornAt}: RateStatement,
  upstream: UpstreamIncarnation,
): boolean {
  switch (kind) {
    case 'requests':
      return bornAt === upstream.bornAt;
    case 'refusals':
      return bornAt <= upstream.bornAt;
  }
}

function namedIn(kind: RateKind, answer: AnsweredRates): number | undefined {
  switch (kind) {
    case 'requests':
      return answer.requestsPerSecond;
    case 'refusals':
      return answer.refusalsPerSecond;
  }
}

function supersedes(statement: RateStatement, known: RateStatement): boolean {
  return statement.bornAt === known.bornAt
    ? statement.at > known.at
    : statement.bornAt > known.bornAt;
}

function rateIn({perSecond}: RateStatement): number | undefined {
  return perSecond === null || perSecond > MAXIMUM_PER_SECOND
    ? undefined
    : Math.max(MINIMUM_PER_SECOND, perSecond);
}
