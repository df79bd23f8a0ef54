/**
 * The limits that upstreams in need name in their answers: the requests a second
 * that they take from all entry hosts together. Hosts exchange what they know;
 * the newest statement about an incarnation holds.
 */
import type {UpstreamIncarnation} from '../upstreams/upstream_announcements.js';

/** What an incarnation of an upstream said of its limit. */
export interface LimitStatement extends UpstreamIncarnation {
  /** Requests per second from all hosts; null if it names no limit any more. */
  readonly requestsPerSecond: number | null;
  /** Milliseconds since the epoch, the same on all hosts. */
  readonly at: number;
}

/** An answer of an upstream, as far as its limit is concerned. */
export interface LimitedAnswer {
  /** Limit that the answer names; undefined if it names none. */
  readonly requestsPerSecond: number | undefined;
  /** Times of the request and of the answer, in milliseconds since the epoch. */
  readonly sentAt: number;
  readonly answeredAt: number;
}

/**
 * Least rate that is kept to: an upstream that gets nothing cannot say that its
 * need has ended.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.1;

/** Rate above which a limit binds nobody. */
const MAXIMUM_REQUESTS_PER_SECOND = 100_000;

/** Largest number of upstreams whose statements are remembered. */
const MAXIMUM_REMEMBERED_UPSTREAMS = 4096;

/** The limits of upstreams that one host knows. */
export class UpstreamLimits {
  /** By upstream, the longest unchanged one first. */
  private readonly statements = new Map<string, LimitStatement>();

  /** Whether no upstream has ever named a limit. */
  get isEmpty(): boolean {
    return this.statements.size === 0;
  }

  /**
   * Records an answer. Returns the statement that changes what is known;
   * undefined if there is none.
   */
  recordAnswer(
    upstream: UpstreamIncarnation,
    answer: LimitedAnswer,
  ): LimitStatement | undefined {
    const statement = statementOf(upstream, answer, this.find(upstream));
    return statement !== undefined && this.merge(statement)
      ? statement
      : undefined;
  }

  /** Merges a statement; returns whether it changes the limit. */
  merge(statement: LimitStatement): boolean {
    const known = this.statements.get(statement.upstreamId);
    if (known !== undefined && !supersedes(statement, known)) {
      return false;
    }
    this.remember(statement);
    const before =
      known?.bornAt === statement.bornAt ? limitIn(known) : undefined;
    return before !== limitIn(statement);
  }

  /**
   * Returns the requests per second that an incarnation takes; undefined without
   * a limit.
   */
  limitOf(upstream: UpstreamIncarnation): number | undefined {
    const statement = this.find(upstream);
    return statement === undefined ? undefined : limitIn(statement);
  }

  /** Returns the newest statement of each of `upstreams`. */
  known(upstreams: readonly UpstreamIncarnation[]): readonly LimitStatement[] {
    return this.isEmpty
      ? []
      : upstreams.flatMap(upstream => this.find(upstream) ?? []);
  }

  private find({
    upstreamId,
    bornAt,
  }: UpstreamIncarnation): LimitStatement | undefined {
    const statement = this.statements.get(upstreamId);
    return statement?.bornAt === bornAt ? statement : undefined;
  }

  private remember(statement: LimitStatement): void {
    this.statements.delete(statement.upstreamId);
    this.statements.set(statement.upstreamId, statement);
    const [oldest] = this.statements.keys();
    if (
      this.statements.size > MAXIMUM_REMEMBERED_UPSTREAMS &&
      oldest !== undefined
    ) {
      this.statements.delete(oldest);
    }
  }
}

/**
 * Returns what an answer says. Answers overtake each other, so that one without a
 * limit counts only if its request was sent after the last statement.
 */
function statementOf(
  {upstreamId, bornAt}: UpstreamIncarnation,
  {requestsPerSecond, sentAt, answeredAt}: LimitedAnswer,
  known: LimitStatement | undefined,
): LimitStatement | undefined {
  if (requestsPerSecond !== undefined) {
    return {upstreamId, bornAt, requestsPerSecond, at: answeredAt};
  }
  const ends =
    known !== undefined &&
    known.requestsPerSecond !== null &&
    sentAt > known.at;
  return ends
    ? {upstreamId, bornAt, requestsPerSecond: null, at: sentAt}
    : undefined;
}

function supersedes(statement: LimitStatement, known: LimitStatement): boolean {
  return statement.bornAt === known.bornAt
    ? statement.at > known.at
    : statement.bornAt > known.bornAt;
}

function limitIn({requestsPerSecond}: LimitStatement): number | undefined {
  return requestsPerSecond === null ||
    requestsPerSecond > MAXIMUM_REQUESTS_PER_SECOND
    ? undefined
    : Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
}
