/**
 * The world of the stateful fuzzing: the real claim fold, rights, answer
 * buffer and configuration fold, joined by an in-memory log and transport that
 * lose, double and delay, and the oracle that judges them.
 */
import {
  AnswerBuffer,
  type Claim,
  ClaimFold,
  type Configuration,
  configurationOf,
  decideRetry,
  EMPTY_CONFIGURATION,
  ExecutionRight,
  foldAfterLoss,
  foldRecords,
  laterConfiguration,
  type LogRecord,
  type Release,
  snapshotOf,
} from '@lacewingwinch/decisions';

/** A promise was broken. */
export class BrokenPromiseError extends Error {
  override readonly name = 'BrokenPromiseError';
}

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

interface FuzzHost {
  isCrashed: boolean;
  isPaused: boolean;
  claims: ClaimFold;
  configuration: Configuration;
  /** Highest version that this life of the host had in force. */
  highest: number;
}

interface InFlightRight {
  readonly submission: Submission;
  readonly to: number;
}

/** Hosts of the world. */
export const FUZZ_HOSTS = 3;

/** Keys that callers use. */
export const FUZZ_KEYS = 2;

/** Objects that operators change. */
export const FUZZ_OBJECTS = 2;

/** The world, and the oracle. */
export class FuzzWorld {
  private readonly claimLog: LogRecord[] = [];
  private configurationLog: LogRecord[] = [];
  private configurationTail = 0;
  /** Appends that reach the log later, if ever. */
  private readonly lateAppends: (() => void)[] = [];
  private isLogDown = false;
  private readonly handovers: InFlightRight[] = [];
  private readonly hosts: FuzzHost[];
  private readonly submissions: Submission[] = [];
  /** The oracle: executions by key and by submission. */
  private readonly executions = new Map<string, number>();
  private readonly executed = new Set<string>();
  /** The oracle: the configuration by offset of the last record. */
  private ideal = EMPTY_CONFIGURATION;
  /** The oracle: the change that each object must be at. */
  private readonly accepted = new Map<string, number>();
  private readonly idealByOffset = new Map<number, string>();

  constructor() {
    this.hosts = Array.from({length: FUZZ_HOSTS}, newHost);
  }

  /** A caller sends `key` to a host. */
  submit(host: number, key: number): void {
    if (this.isDown(host)) {
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
    const state = this.hosts[host];
    if (state === undefined || this.isDown(host) || this.isLogDown) {
      return;
    }
    this.claimLog.forEach(record => state.claims.fold(record));
    for (const submission of this.submissions) {
      if (submission.host === host && submission.state === 'claiming') {
        this.decide(submission, state.claims);
      }
    }
  }

  /** The host of a submission sends it to an upstream. */
  send(index: number, isAnswerLost: boolean): void {
    const submission = this.pick(index);
    if (submission === undefined || this.isDown(submission.host)) {
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
    if (!isOpen || this.isDown(submission.host)) {
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
    if (submission?.state !== 'held' || this.isDown(submission.host)) {
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
    if (message === undefined || this.isDown(message.to)) {
      return;
    }
    const {submission, to} = message;
    submission.host = to;
    submission.right = new ExecutionRight(submission.id);
    submission.state = 'held';
  }

  /** An append that was late reaches the log. */
  deliverAppend(): void {
    this.lateAppends.shift()?.();
  }

  setLog(isDown: boolean): void {
    this.isLogDown = isDown;
  }

  pause(host: number, isPaused: boolean): void {
    const state = this.hosts[host];
    if (state !== undefined) {
      state.isPaused = isPaused;
    }
  }

  /** A process ends at once and starts again with nothing. */
  crash(host: number): void {
    this.hosts[host] = newHost();
    for (const submission of this.submissions) {
      if (submission.host === host && submission.state !== 'done') {
        submission.right.destroy();
        submission.state = submission.state === 'no' ? 'no' : 'unknown';
      }
    }
  }

  /** An operator publishes a change on what a host has in force. */
  publish(host: number, object: number, isLate: boolean): void {
    const name = `o${object}`;
    const key = `service/${name}`;
    const seen = this.hosts[host]?.configuration.objects.get(key)?.version;
    const data = {
      type: 'publish',
      publishId: `p${this.configurationTail}-${this.lateAppends.length}`,
      operator: 'o',
      key,
      object: {kind: 'service', name, upstreamKind: 'plain'},
      basedOn: seen ?? -1,
    };
    this.whenLogTakes(isLate, () => {
      const offset = this.configurationTail;
      if (data.basedOn === (this.accepted.get(key) ?? -1)) {
        this.accepted.set(key, offset);
      }
      this.appendConfiguration(data);
      if (this.ideal.objects.get(key)?.version !== this.accepted.get(key)) {
        throw new BrokenPromiseError(`${key} is at another change`);
      }
    });
  }

  /** A host appends a snapshot, perhaps late. */
  snapshot(host: number, isLate: boolean): void {
    const state = this.hosts[host];
    if (state !== undefined && !this.isDown(host)) {
      const data = snapshotOf(state.configuration);
      this.whenLogTakes(isLate, () => this.appendConfiguration(data));
    }
  }

  /** Retention drops the oldest records that a snapshot covers. */
  retain(): void {
    const earliest = (this.configurationLog[0]?.offset ?? 0) + 1;
    const rest = this.configurationLog.slice(1);
    if (foldAfterLoss(rest, earliest) !== undefined) {
      this.configurationLog = rest;
    }
  }

  /** A host reads the configuration. */
  readConfiguration(host: number): void {
    const state = this.hosts[host];
    if (state === undefined || this.isDown(host) || this.isLogDown) {
      return;
    }
    const earliest = this.configurationLog[0]?.offset ?? 0;
    const next =
      earliest > state.configuration.readTo + 1
        ? foldAfterLoss(this.configurationLog, earliest)
        : foldRecords(
            state.configuration,
            this.configurationLog.filter(
              ({offset}) => offset > state.configuration.readTo,
            ),
          );
    if (next !== undefined) {
      this.adopt(host, laterConfiguration(state.configuration, next));
    }
  }

  /** A host takes the configuration of another. */
  fetchConfiguration(from: number, to: number): void {
    const source = this.hosts[from];
    const target = this.hosts[to];
    if (source === undefined || target === undefined || this.isDown(to)) {
      return;
    }
    const received = configurationOf(snapshotOf(source.configuration));
    if (received !== undefined) {
      this.adopt(to, laterConfiguration(target.configuration, received));
    }
  }

  /** Events of two attempts arrive in any order, doubled and late. */
  checkAnswer(arrivals: readonly (readonly [number, number])[]): void {
    const buffer = new AnswerBuffer();
    buffer.begin('a0');
    let current = 0;
    for (const [attempt, offset] of arrivals) {
      if (attempt > current) {
        current = attempt;
        buffer.begin(`a${attempt}`);
      }
      buffer.accept(`a${attempt}`, offset, `token ${offset}`);
    }
    buffer.from(0).forEach((event, offset) => {
      if (event !== `token ${offset}`) {
        throw new BrokenPromiseError('the answer is out of order');
      }
    });
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

  private adopt(host: number, next: Configuration): void {
    const state = this.hosts[host];
    if (state === undefined) {
      return;
    }
    if (next.readTo < state.highest) {
      throw new BrokenPromiseError('a configuration reverted');
    }
    state.highest = next.readTo;
    state.configuration = next;
    const ideal = this.idealByOffset.get(next.readTo);
    if (ideal !== undefined && ideal !== digestOf(next)) {
      throw new BrokenPromiseError('two hosts hold different configurations');
    }
  }

  private append(entry: Claim | Release): void {
    this.whenLogTakes(false, () => {
      const offset = this.claimLog.length;
      this.claimLog.push({
        offset,
        time: offset,
        data: {type: 'batch', entries: [entry]},
      });
    });
  }

  private appendConfiguration(data: unknown): void {
    const offset = this.configurationTail;
    this.configurationTail += 1;
    const record: LogRecord = {offset, time: offset, data};
    this.configurationLog.push(record);
    this.ideal = foldRecords(this.ideal, [record]);
    this.idealByOffset.set(offset, digestOf(this.ideal));
  }

  private whenLogTakes(isLate: boolean, take: () => void): void {
    if (this.isLogDown || isLate) {
      this.lateAppends.push(take);
      return;
    }
    take();
  }

  private isDown(host: number): boolean {
    const state = this.hosts[host];
    return state === undefined || state.isCrashed || state.isPaused;
  }

  private pick(index: number): Submission | undefined {
    const count = this.submissions.length;
    return count === 0 ? undefined : this.submissions[index % count];
  }
}

function newHost(): FuzzHost {
  return {
    isCrashed: false,
    isPaused: false,
    claims: new ClaimFold(),
    configuration: EMPTY_CONFIGURATION,
    highest: -1,
  };
}

function digestOf(configuration: Configuration): string {
  return JSON.stringify(snapshotOf(configuration).entries);
}
