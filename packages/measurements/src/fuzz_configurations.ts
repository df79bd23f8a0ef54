/**
 * Configurations of the fuzzing: the real fold of the log, and the oracle that
 * knows what each offset must hold.
 */
import {
  type Configuration,
  configurationOf,
  EMPTY_CONFIGURATION,
  foldAfterLoss,
  foldRecords,
  laterConfiguration,
  type LogRecord,
  snapshotOf,
} from '@lacewingwinch/decisions';

import {BrokenPromiseError} from './broken_promise_error.js';
import {FUZZ_HOSTS, type FuzzHosts} from './fuzz_hosts.js';
import type {FuzzLog} from './fuzz_log.js';

/** Objects that operators change. */
export const FUZZ_OBJECTS = 2;

interface HostState {
  configuration: Configuration;
  /** Highest version that this life of the host had in force. */
  highest: number;
}

/** The log of configurations, and what each host has in force. */
export class FuzzConfigurations {
  private records: LogRecord[] = [];
  private tail = 0;
  private readonly states = Array.from({length: FUZZ_HOSTS}, newState);
  /** The oracle: the configuration by offset of the last record. */
  private ideal = EMPTY_CONFIGURATION;
  /** The oracle: the change that each object must be at. */
  private readonly accepted = new Map<string, number>();
  private readonly idealByOffset = new Map<number, string>();

  constructor(
    private readonly hosts: FuzzHosts,
    private readonly log: FuzzLog,
  ) {}

  /** An operator publishes a change on what a host has in force. */
  publish(host: number, object: number, isLate: boolean): void {
    const name = `o${object}`;
    const key = `service/${name}`;
    const seen = this.states[host]?.configuration.objects.get(key)?.version;
    const data = {
      type: 'publish',
      publishId: `p${this.tail}-${this.log.lateCount}`,
      operator: 'o',
      key,
      object: {kind: 'service', name, upstreamKind: 'plain'},
      basedOn: seen ?? -1,
    };
    this.log.take(isLate, () => {
      const offset = this.tail;
      if (data.basedOn === (this.accepted.get(key) ?? -1)) {
        this.accepted.set(key, offset);
      }
      this.append(data);
      if (this.ideal.objects.get(key)?.version !== this.accepted.get(key)) {
        throw new BrokenPromiseError(`${key} is at another change`);
      }
    });
  }

  /** A host appends a snapshot, perhaps late. */
  snapshot(host: number, isLate: boolean): void {
    const state = this.states[host];
    if (state !== undefined && !this.hosts.isDown(host)) {
      const data = snapshotOf(state.configuration);
      this.log.take(isLate, () => this.append(data));
    }
  }

  /** Retention drops the oldest records that a snapshot covers. */
  retain(): void {
    const earliest = (this.records[0]?.offset ?? 0) + 1;
    const rest = this.records.slice(1);
    if (foldAfterLoss(rest, earliest) !== undefined) {
      this.records = rest;
    }
  }

  /** A host reads the configuration. */
  read(host: number): void {
    const state = this.states[host];
    if (state === undefined || this.hosts.isDown(host) || this.log.isDown) {
      return;
    }
    const earliest = this.records[0]?.offset ?? 0;
    const next =
      earliest > state.configuration.readTo + 1
        ? foldAfterLoss(this.records, earliest)
        : foldRecords(
            state.configuration,
            this.records.filter(
              ({offset}) => offset > state.configuration.readTo,
            ),
          );
    if (next !== undefined) {
      this.adopt(host, laterConfiguration(state.configuration, next));
    }
  }

  /** A host takes the configuration of another. */
  fetch(from: number, to: number): void {
    const source = this.states[from];
    const target = this.states[to];
    if (source === undefined || target === undefined || this.hosts.isDown(to)) {
      return;
    }
    const received = configurationOf(snapshotOf(source.configuration));
    if (received !== undefined) {
      this.adopt(to, laterConfiguration(target.configuration, received));
    }
  }

  /** A process ends at once and starts again with nothing. */
  crash(host: number): void {
    this.states[host] = newState();
  }

  private adopt(host: number, next: Configuration): void {
    const state = this.states[host];
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

  private append(data: unknown): void {
    const offset = this.tail;
    this.tail += 1;
    const record: LogRecord = {offset, time: offset, data};
    this.records.push(record);
    this.ideal = foldRecords(this.ideal, [record]);
    this.idealByOffset.set(offset, digestOf(this.ideal));
  }
}

function newState(): HostState {
  return {configuration: EMPTY_CONFIGURATION, highest: -1};
}

function digestOf(configuration: Configuration): string {
  return JSON.stringify(snapshotOf(configuration).entries);
}
