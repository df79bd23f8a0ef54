/**
 * Configurations in the fuzzing: the production fold of the log, and the oracle
 * that knows the correct configuration at each offset.
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
import {FUZZ_HOST_COUNT, type FuzzHosts} from './fuzz_hosts.js';
import type {FuzzLog} from './fuzz_log.js';

/** Number of configuration objects that operators change. */
export const FUZZ_OBJECT_COUNT = 2;

/** Configuration state of a simulated host. */
interface HostState {
  configuration: Configuration;
  /** Highest version in force since the last restart of the host. */
  highestVersion: number;
}

/** The configuration log and the configuration in force at each host. */
export class FuzzConfigurations {
  private records: LogRecord[] = [];
  private tail = 0;
  private readonly states = Array.from(
    {length: FUZZ_HOST_COUNT},
    createHostState,
  );
  /** Oracle: the configuration after the last record of the log. */
  private expectedConfiguration = EMPTY_CONFIGURATION;
  /** Oracle: offset of the last accepted change of each object. */
  private readonly accepted = new Map<string, number>();
  /** Oracle: digest of the configuration at each offset. */
  private readonly expectedDigests = new Map<number, string>();

  constructor(
    private readonly hosts: FuzzHosts,
    private readonly log: FuzzLog,
  ) {}

  /** Publishes a change based on the configuration in force at `host`. */
  publish(host: number, object: number, isDelayed: boolean): void {
    const name = `o${object}`;
    const key = `service/${name}`;
    const knownVersion =
      this.states[host]?.configuration.objects.get(key)?.version;
    const data = {
      type: 'publish',
      publishId: `p${this.tail}-${this.log.delayedCount}`,
      operator: 'o',
      key,
      object: {kind: 'service', name, upstreamKind: 'plain'},
      basedOn: knownVersion ?? -1,
    };
    this.log.applyOrDelay(isDelayed, () => {
      const offset = this.tail;
      if (data.basedOn === (this.accepted.get(key) ?? -1)) {
        this.accepted.set(key, offset);
      }
      this.append(data);
      if (
        this.expectedConfiguration.objects.get(key)?.version !==
        this.accepted.get(key)
      ) {
        throw new BrokenPromiseError(
          `${key} is not at the last accepted change`,
        );
      }
    });
  }

  /** Appends the snapshot of a host to the log, possibly delayed. */
  snapshot(host: number, isDelayed: boolean): void {
    const state = this.states[host];
    if (state !== undefined && !this.hosts.isUnavailable(host)) {
      const data = snapshotOf(state.configuration);
      this.log.applyOrDelay(isDelayed, () => this.append(data));
    }
  }

  /** Drops the oldest record, as retention does, if a snapshot covers it. */
  dropOldestRecord(): void {
    const earliest = (this.records[0]?.offset ?? 0) + 1;
    const remaining = this.records.slice(1);
    if (foldAfterLoss(remaining, earliest) !== undefined) {
      this.records = remaining;
    }
  }

  /** Lets a host read the new records of the log. */
  read(host: number): void {
    const state = this.states[host];
    if (
      state === undefined ||
      this.hosts.isUnavailable(host) ||
      this.log.isDown
    ) {
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

  /** Lets host `to` fetch the configuration of host `from`. */
  fetchFromHost(from: number, to: number): void {
    const source = this.states[from];
    const target = this.states[to];
    if (
      source === undefined ||
      target === undefined ||
      this.hosts.isUnavailable(to)
    ) {
      return;
    }
    const received = configurationOf(snapshotOf(source.configuration));
    if (received !== undefined) {
      this.adopt(to, laterConfiguration(target.configuration, received));
    }
  }

  /** Resets the state of a host, as a crash and a restart do. */
  crash(host: number): void {
    this.states[host] = createHostState();
  }

  private adopt(host: number, next: Configuration): void {
    const state = this.states[host];
    if (state === undefined) {
      return;
    }
    if (next.readTo < state.highestVersion) {
      throw new BrokenPromiseError(
        'a host went back to an earlier configuration',
      );
    }
    state.highestVersion = next.readTo;
    state.configuration = next;
    const expectedDigest = this.expectedDigests.get(next.readTo);
    if (expectedDigest !== undefined && expectedDigest !== digestOf(next)) {
      throw new BrokenPromiseError('two hosts hold different configurations');
    }
  }

  private append(data: unknown): void {
    const offset = this.tail;
    this.tail += 1;
    const record: LogRecord = {offset, time: offset, data};
    this.records.push(record);
    this.expectedConfiguration = foldRecords(this.expectedConfiguration, [
      record,
    ]);
    this.expectedDigests.set(offset, digestOf(this.expectedConfiguration));
  }
}

function createHostState(): HostState {
  return {configuration: EMPTY_CONFIGURATION, highestVersion: -1};
}

function digestOf(configuration: Configuration): string {
  return JSON.stringify(snapshotOf(configuration).entries);
}
