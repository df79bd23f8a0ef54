/**
 * Claims and rights of the fuzzing: the real claim fold and rights, and the
 * oracle that counts executions.
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
import {FUZZ_HOSTS, type FuzzHosts} from './fuzz_hosts.js';
import type {FuzzLog} from './fuzz_log.js';

/** Keys that callers use. */
export const FUZZ_KEYS = 2;

/** What became of one submission. */
type SubmissionState = 'claiming' | 'done' | 'held' | 'no' | 'unknown';

interface Submission {
  readonly id: string;
  readonly key: string;
  /** Index of the host that has it now. */
  host: number;
  right: ExecutionRight;
  state: SubmissionState;
}

interface InFlightRight {
  readonly submission: Submission;
  readonly to: number;
}

/** Submissions of callers, and what became of them. */
export class FuzzClaims {
  private readonly records: LogRecord[] = [];
  private readonly folds = Array.from({length: FUZZ_HOSTS}, newFold);
  private readonly handovers: InFlightRight[] = [];
  private readonly submissions: Submission[] = [];
  /** The oracle: executions by key and by submission. */
  private readonly executions = new Map<string, number>();
  private readonly executed = new Set<string>();

  constructor(
    private readonly hosts: FuzzHosts,
    private readonly log: FuzzLog,
  ) {}

  /** A caller sends `key` to a host. */
  submit(host: number, key: number): void {
    if (this.hosts.isDown(host)) {
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

  /** The log takes the append of a submission twice. */
  doubleClaim(index: number): void {
    const submission = this.pick(index);
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

  /** A host reads the claims up to the tail and decides its submissions. */
  readClaims(host: number): void {
    const fold = this.folds[host];
    if (fold === undefined || this.hosts.isDown(host) || this.log.isDown) {
      return;
    }
    this.records.forEach(record => fold.fold(record));
    for (const submission of this.submissions) {
      if (submission.host === host && submission.state === 'claiming') {
        this.decide(submission, fold);
      }
    }
  }

  /** The host of a submission sends it to an upstream. */
  send(index: number, isAnswerLost: boolean): void {
    const submission = this.pick(index);
    if (submission === undefined || this.hosts.isDown(submission.host)) {
      return;
    }
    // Nothing but the right itself keeps a call from being sent again.
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
      throw new BrokenPromiseError('a call that was sent is not unknown');
    }
    submission.state = 'unknown';
  }

  /** The host of a submission gives it up as not run. */
  giveUp(index: number): void {
    const submission = this.pick(index);
    const isOpen =
      submission?.state === 'held' || submission?.state === 'claiming';
    if (!isOpen || this.hosts.isDown(submission.host)) {
      return;
    }
    if (submission.right.destroy()) {
      submission.state = 'no';
      this.requireNotRun(submission);
      this.append({
        type: 'release',
        key: submission.key,
        rightId: submission.id,
      });
    }
  }

  /** The host of a submission leaves; its right moves. */
  handOver(index: number, to: number, isLost: boolean): void {
    const submission = this.pick(index);
    if (submission?.state !== 'held' || this.hosts.isDown(submission.host)) {
      return;
    }
    if (!submission.right.destroy()) {
      return;
    }
    submission.state = 'unknown';
    if (!isLost) {
      this.handovers.push({submission, to});
    }
  }

  /** A message with a right arrives. */
  deliverHandover(): void {
    const message = this.handovers.shift();
    if (message === undefined || this.hosts.isDown(message.to)) {
      return;
    }
    const {submission, to} = message;
    submission.host = to;
    submission.right = new ExecutionRight(submission.id);
    submission.state = 'held';
  }

  /** A process ends at once and starts again with nothing. */
  crash(host: number): void {
    this.folds[host] = newFold();
    for (const submission of this.submissions) {
      if (submission.host === host && submission.state !== 'done') {
        submission.right.destroy();
        submission.state = submission.state === 'no' ? 'no' : 'unknown';
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
    const count = (this.executions.get(submission.key) ?? 0) + 1;
    this.executions.set(submission.key, count);
    this.executed.add(submission.id);
    if (count > 1) {
      throw new BrokenPromiseError(`${submission.key} ran ${count} times`);
    }
    if (submission.state === 'no') {
      throw new BrokenPromiseError(`${submission.id} ran after "no"`);
    }
  }

  private requireNotRun(submission: Submission): void {
    if (this.executed.has(submission.id)) {
      throw new BrokenPromiseError(`${submission.id} ran before "no"`);
    }
  }

  private append(entry: Claim | Release): void {
    this.log.take(false, () => {
      const offset = this.records.length;
      this.records.push({
        offset,
        time: offset,
        data: {type: 'batch', entries: [entry]},
      });
    });
  }

  private pick(index: number): Submission | undefined {
    const count = this.submissions.length;
    return count === 0 ? undefined : this.submissions[index % count];
  }
}

function newFold(): ClaimFold {
  return new ClaimFold();
}
