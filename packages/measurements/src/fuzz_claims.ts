/**
 * Claims and execution rights in the fuzzing: the production claim fold and
 * rights, and the oracle that counts executions.
 */
import {
  type Claim,
  ClaimFold,
  decideRetry,
  ExecutionRight,
  type LogRecord,
  type Release,
} from '@lacewingwinch/decisions';

import {BrokenPromiseError} from './broken_promise_error.js';
import {FUZZ_HOST_COUNT, type FuzzHosts} from './fuzz_hosts.js';
import type {FuzzLog} from './fuzz_log.js';

/** Number of idempotency keys that clients use. */
export const FUZZ_KEY_COUNT = 2;

/** State of a submission. */
type SubmissionState =
  /** Its host has not decided its claim. */
  | 'claiming'
  /** Its host received the answer of an upstream. */
  | 'done'
  /** Its host holds the execution right and may send it to an upstream. */
  | 'held'
  /** Its host reported that it was not executed. */
  | 'not-executed'
  /**
   * Its host does not know whether the request was executed, for example
   * because another claim of the key won.
   */
  | 'unknown';

/** A request that a client submitted to a host. */
interface Submission {
  readonly id: string;
  readonly key: string;
  /** Index of the host that handles the submission. */
  host: number;
  right: ExecutionRight;
  state: SubmissionState;
}

/** A message that moves the execution right of a submission to a host. */
interface HandoverMessage {
  readonly submission: Submission;
  readonly to: number;
}

/** Submissions of clients and their executions. */
export class FuzzClaims {
  private readonly records: LogRecord[] = [];
  private readonly folds = Array.from(
    {length: FUZZ_HOST_COUNT},
    createClaimFold,
  );
  private readonly handoverMessages: HandoverMessage[] = [];
  private readonly submissions: Submission[] = [];
  /** Oracle: number of executions by key. */
  private readonly executionCounts = new Map<string, number>();
  /** Oracle: ids of the executed submissions. */
  private readonly executedSubmissions = new Set<string>();

  constructor(
    private readonly hosts: FuzzHosts,
    private readonly log: FuzzLog,
  ) {}

  /** Submits a request with `key` to a host, which appends its claim. */
  submit(host: number, key: number): void {
    if (this.hosts.isUnavailable(host)) {
      return;
    }
    const id = `s${this.submissions.length}`;
    this.submissions.push({
      id,
      key: `k${key}`,
      host,
      right: new ExecutionRight(id),
      state: 'claiming',
    });
    this.append({
      type: 'claim',
      key: `k${key}`,
      fingerprint: 'f',
      holder: `h${host}`,
      requestId: id,
      rightId: id,
    });
  }

  /** Appends the claim of a submission once more. */
  duplicateClaim(index: number): void {
    const submission = this.submissionAt(index);
    if (submission !== undefined) {
      this.append({
        type: 'claim',
        key: submission.key,
        fingerprint: 'f',
        holder: 'h',
        requestId: submission.id,
        rightId: submission.id,
      });
    }
  }

  /** Lets a host read all claims and decide its submissions. */
  readClaims(host: number): void {
    const fold = this.folds[host];
    if (
      fold === undefined ||
      this.hosts.isUnavailable(host) ||
      this.log.isDown
    ) {
      return;
    }
    this.records.forEach(record => fold.fold(record));
    for (const submission of this.submissions) {
      if (submission.host === host && submission.state === 'claiming') {
        this.decide(submission, fold);
      }
    }
  }

  /** Lets the host of a submission send it to an upstream. */
  send(index: number, isAnswerLost: boolean): void {
    const submission = this.submissionAt(index);
    if (submission === undefined || this.hosts.isUnavailable(submission.host)) {
      return;
    }
    // The state is not checked further: the execution right alone has to
    // prevent a second execution.
    const isDecided = submission.state !== 'claiming';
    if (!isDecided || !submission.right.consume()) {
      return;
    }
    this.execute(submission);
    if (!isAnswerLost) {
      submission.state = 'done';
      return;
    }
    const decision = decideRetry(
      {
        failure: {kind: 'connection-lost'},
        isIdempotent: false,
        attempts: 1,
        maximumAttempts: 3,
        wasSent: true,
        deadline: Infinity,
      },
      0,
    );
    if (decision.kind !== 'give-up' || decision.ran === 'no') {
      throw new BrokenPromiseError(
        'a request whose answer was lost is not reported as unknown',
      );
    }
    submission.state = 'unknown';
  }

  /** Lets the host of a submission abandon it and report it as not executed. */
  giveUp(index: number): void {
    const submission = this.submissionAt(index);
    const isOpen =
      submission?.state === 'held' || submission?.state === 'claiming';
    if (!isOpen || this.hosts.isUnavailable(submission.host)) {
      return;
    }
    if (submission.right.destroy()) {
      submission.state = 'not-executed';
      this.assertNotExecuted(submission);
      this.append({
        type: 'release',
        key: submission.key,
        rightId: submission.id,
      });
    }
  }

  /** Sends the execution right of a submission to another host. */
  handOver(index: number, to: number, isLost: boolean): void {
    const submission = this.submissionAt(index);
    if (
      submission?.state !== 'held' ||
      this.hosts.isUnavailable(submission.host)
    ) {
      return;
    }
    if (!submission.right.destroy()) {
      return;
    }
    submission.state = 'unknown';
    if (!isLost) {
      this.handoverMessages.push({submission, to});
    }
  }

  /** Delivers the oldest handover message. */
  deliverHandover(): void {
    const message = this.handoverMessages.shift();
    if (message === undefined || this.hosts.isUnavailable(message.to)) {
      return;
    }
    const {submission, to} = message;
    submission.host = to;
    submission.right = new ExecutionRight(submission.id);
    submission.state = 'held';
  }

  /** Resets the state of a host, as a crash and a restart do. */
  crash(host: number): void {
    this.folds[host] = createClaimFold();
    for (const submission of this.submissions) {
      if (submission.host === host && submission.state !== 'done') {
        submission.right.destroy();
        submission.state =
          submission.state === 'not-executed' ? 'not-executed' : 'unknown';
      }
    }
  }

  private decide(submission: Submission, claims: ClaimFold): void {
    const winner = claims.winnerOf(submission.key)?.claim;
    if (winner === undefined) {
      return;
    }
    if (winner.rightId === submission.id) {
      submission.state = 'held';
      return;
    }
    submission.right.destroy();
    submission.state = 'unknown';
  }

  private execute(submission: Submission): void {
    const count = (this.executionCounts.get(submission.key) ?? 0) + 1;
    this.executionCounts.set(submission.key, count);
    this.executedSubmissions.add(submission.id);
    if (count > 1) {
      throw new BrokenPromiseError(
        `${submission.key} was executed ${count} times`,
      );
    }
    if (submission.state === 'not-executed') {
      throw new BrokenPromiseError(
        `${submission.id} was executed after it was reported as not executed`,
      );
    }
  }

  private assertNotExecuted(submission: Submission): void {
    if (this.executedSubmissions.has(submission.id)) {
      throw new BrokenPromiseError(
        `${submission.id} was reported as not executed after its execution`,
      );
    }
  }

  private append(entry: Claim | Release): void {
    this.log.applyOrDelay(false, () => {
      const offset = this.records.length;
      this.records.push({
        offset,
        time: offset,
        data: {type: 'batch', entries: [entry]},
      });
    });
  }

  private submissionAt(index: number): Submission | undefined {
    const count = this.submissions.length;
    return count === 0 ? undefined : this.submissions[index % count];
  }
}

function createClaimFold(): ClaimFold {
  return new ClaimFold();
}
