/**
 * The system under stateful fuzzing: the production claim fold, execution
 * rights, answer buffer and configuration fold, connected by an in-memory log
 * and transport that lose, duplicate and delay messages, and the oracle that
 * checks the results.
 */
import {AnswerBuffer} from '@lacewingwinch/decisions';

import {BrokenPromiseError} from './broken_promise_error.js';
import {FuzzClaims} from './fuzz_claims.js';
import {FuzzConfigurations} from './fuzz_configurations.js';
import {FuzzHosts} from './fuzz_hosts.js';
import {FuzzLog} from './fuzz_log.js';

/** The simulated hosts and log, with the oracle that checks them. */
export class FuzzSystem {
  readonly hosts = new FuzzHosts();
  readonly log = new FuzzLog();
  readonly claims = new FuzzClaims(this.hosts, this.log);
  readonly configurations = new FuzzConfigurations(this.hosts, this.log);

  /** Simulates a host whose process crashes and restarts without its state. */
  crash(host: number): void {
    this.hosts.setSuspended(host, false);
    this.claims.crash(host);
    this.configurations.crash(host);
  }
}

/**
 * Checks that an answer buffer keeps its events in order while events of
 * several attempts arrive out of order, duplicated and late. Each arrival is
 * the number of an attempt and the offset of an event.
 */
export function checkAnswerBuffer(
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
      throw new BrokenPromiseError('the answer has its events out of order');
    }
  });
}
