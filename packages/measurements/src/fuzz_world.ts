/**
 * The world of the stateful fuzzing: the real claim fold, rights, answer
 * buffer and configuration fold, joined by an in-memory log and transport that
 * lose, double and delay, and the oracle that judges them.
 */
import {AnswerBuffer} from '@lacewingwinch/decisions';

import {BrokenPromiseError} from './broken_promise_error.js';
import {FuzzClaims} from './fuzz_claims.js';
import {FuzzConfigurations} from './fuzz_configurations.js';
import {FuzzHosts} from './fuzz_hosts.js';
import {FuzzLog} from './fuzz_log.js';

/** The world, and the oracle. */
export class FuzzWorld {
  readonly hosts = new FuzzHosts();
  readonly log = new FuzzLog();
  readonly claims = new FuzzClaims(this.hosts, this.log);
  readonly configurations = new FuzzConfigurations(this.hosts, this.log);

  /** A process ends at once and starts again with nothing. */
  crash(host: number): void {
    this.hosts.pause(host, false);
    this.claims.crash(host);
    this.configurations.crash(host);
  }
}

/** Events of two attempts arrive in any order, doubled and late. */
export function checkAnswer(
  arrivals: readonly (readonly [number, number])[],
): void {
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
