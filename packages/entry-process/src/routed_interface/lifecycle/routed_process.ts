/**
 * The lifecycle of an entry process on the platform: start, serve, leave, stop.
 */
import {setMaxListeners} from 'node:events';

import type {DirectoryAnswer} from '@lacewingwinch/callers';
import type {RoutingConfiguration} from '@lacewingwinch/decisions';
import {
  decodeDirectoryCall,
  type PlatformSettings,
} from '@lacewingwinch/platform';

import {messageOf} from '../../util/message_of.js';
import {pause} from '../../util/pause.js';
import {answerDirectoryCall} from './directory_answers.js';
import {openListeners, type RoutedListeners} from './routed_listeners.js';
import {RoutedTasks} from './routed_tasks.js';
import {StartGate} from './start_gate.js';
import {
  lastRequestMilliseconds,
  waitUntilDrained,
} from './wait_until_drained.js';

/** Milliseconds between two checks of a condition. */
const POLL_PERIOD_MILLISECONDS = 50;

/** Milliseconds between two checks whether the state has been read. */
const START_POLL_PERIOD_MILLISECONDS = 10;

/** One entry process on the platform. */
export class RoutedProcess {
  private readonly tasks: RoutedTasks;
  private readonly gate: StartGate;
  private readonly stopping = new AbortController();
  private listeners: RoutedListeners | undefined;
  private leaving: Promise<void> | undefined;
  private leavingSince = Infinity;

  constructor(
    private settings: PlatformSettings,
    /**
     * Port for metrics, on the IP address for clients; undefined to serve no
     * metrics.
     */
    private readonly metricsPort?: number,
  ) {
    this.tasks = new RoutedTasks({
      settings: () => this.settings,
      isClosing: () =>
        this.tasks.clocks.steady() - this.leavingSince >
        lastRequestMilliseconds(this.settings.bounds.gracePeriodMilliseconds),
      onConfigurationChange: configuration =>
        this.onConfigurationChange(configuration),
    });
    this.gate = new StartGate(this.tasks.front);
  }

  /**
   * Starts the servers and the tasks, and declares this host serving once
   * configuration and upstreams are known.
   */
  async start(): Promise<void> {
    const {hostId, failureDomain, addresses} = this.settings;
    setMaxListeners(0, this.stopping.signal);
    this.tasks.events.write(1001, {hostId, failureDomain});
    this.listeners = await this.listen();
    this.monitor(
      'configuration',
      this.tasks.configuration.run(this.stopping.signal),
    );
    this.monitor('upstreams', this.tasks.upstreams.run(this.stopping.signal));
    this.monitor('versions', this.tasks.versions.run(this.stopping.signal));
    this.monitor('membership', this.tasks.membership.run(this.stopping.signal));
    this.monitor('relay', this.tasks.relay.run(this.stopping.signal));
    this.monitor('placement', this.tasks.placement.run(this.stopping.signal));
    this.monitor('quarantine', this.tasks.parts.run(this.stopping.signal));
    this.monitor(
      'quarantine of contents',
      this.tasks.crashes.run(this.stopping.signal),
    );
    this.monitor('usage', this.tasks.usagePush.run(this.stopping.signal));
    this.monitor(
      'rollouts',
      this.tasks.rollouts.follower.run(this.stopping.signal),
    );
    this.monitor(
      'rollout steps',
      this.tasks.rollouts.task.run(this.stopping.signal),
    );
    if (this.tasks.duties !== undefined) {
      this.monitor('duties', this.tasks.duties.run(this.stopping.signal));
    }
    while (!this.tasks.state.isRead && !this.stopping.signal.aborted) {
      await pause(START_POLL_PERIOD_MILLISECONDS, this.stopping.signal);
    }
    if (this.tasks.state.mustBeCompared) {
      await this.tasks.relay.compareAtStart(this.stopping.signal);
    }
    this.tasks.state.markCurrent();
    this.gate.open();
    if (this.leaving === undefined) {
      this.tasks.membership.declare('serving');
      this.tasks.events.write(1002, {hostId, address: addresses.callers});
    }
  }

  /**
   * Applies changed settings: seeds and bounds take effect at once, addresses
   * only at the next start.
   */
  reload(settings: PlatformSettings): void {
    this.settings = settings;
    this.tasks.events.write(1007, {hostId: settings.hostId});
  }

  /**
   * Logs that changed settings are invalid; the current ones stay in effect.
   */
  logFaultySettings(faults: readonly string[]): void {
    this.tasks.events.write(1008, {faults: faults.join('; ')});
  }

  /**
   * Leaves the fleet without cutting off requests if the grace period allows
   * it; resolves when the process has stopped.
   */
  leave(): Promise<void> {
    this.leaving ??= this.leaveOnce();
    return this.leaving;
  }

  /** Logs why the process could not start; it ends because of that. */
  logFailedStart(error: unknown): void {
    const {hostId} = this.settings;
    this.tasks.events.write(1012, {hostId, error: messageOf(error)});
  }

  /** Logs an error that nothing caught; the process leaves because of it. */
  logUncaught(stack: string): void {
    this.tasks.events.write(1009, {hostId: this.settings.hostId, stack});
  }

  private async leaveOnce(): Promise<void> {
    this.leavingSince = this.tasks.clocks.steady();
    const {hostId, bounds} = this.settings;
    this.tasks.events.write(1003, {hostId, reason: 'signal'});
    this.tasks.membership.declare('leaving');
    this.listeners?.callers.startLeaving();
    this.listeners?.relay.startLeaving();
    await waitUntilDrained({
      clock: this.tasks.clocks.steady,
      gracePeriodMilliseconds: bounds.gracePeriodMilliseconds,
      unfinishedCount: () => this.unfinishedCount(),
      signal: this.stopping.signal,
    });
    const cut = this.tasks.front.runningCount;
    this.tasks.front.endAll();
    await this.stopNow();
    this.tasks.events.write(1004, {hostId, cut});
  }

  /** Returns the number of requests whose clients have yet to get their answers. */
  private unfinishedCount(): number {
    const servers = [this.listeners?.callers, this.listeners?.relay];
    return servers.reduce(
      (sum, server) => sum + (server?.unfinishedCount ?? 0),
      0,
    );
  }

  /** Stops at once, without waiting for requests in progress. */
  async stopNow(): Promise<void> {
    this.tasks.membership.declare('gone');
    this.listeners?.callers.close();
    this.listeners?.relay.close();
    this.listeners?.directoryServers.forEach(server => server.close());
    await pause(POLL_PERIOD_MILLISECONDS, this.stopping.signal);
    this.stopping.abort();
    await this.listeners?.peers.close();
    this.tasks.peers.close();
    this.tasks.pool.close();
    await this.tasks.store.close();
    this.abortUnframed();
  }

  /**
   * Resets the connections of responses that would look complete if the process
   * ended now; to be called whenever it ends.
   */
  abortUnframed(): void {
    this.listeners?.callers.abortUnframed();
    this.listeners?.relay.abortUnframed();
  }

  private listen(): Promise<RoutedListeners> {
    const {tasks} = this;
    const {events} = tasks;
    return openListeners({
      addresses: this.settings.addresses,
      metricsPort: this.metricsPort,
      bounds: tasks.clientBounds,
      front: this.gate,
      carrier: tasks.carrier,
      directory: (method, target) => this.answerDirectory(method, target),
      metrics: tasks,
      peers: tasks,
      onUnexpectedError: error =>
        events.write(1006, {task: 'callers', error: messageOf(error)}),
      onMetricsFailure: error => events.write(1011, {error: messageOf(error)}),
      waiting: {
        clock: tasks.clocks.steady,
        onInUse: error => events.write(1010, {error}),
        signal: this.stopping.signal,
      },
    });
  }

  private answerDirectory(method: string, target: string): DirectoryAnswer {
    return answerDirectoryCall(decodeDirectoryCall(method, target), {
      isReady: this.isReady(),
      serving: this.tasks.paths.hostsForClients(
        this.tasks.membership.serving(),
        this.settings.hostId,
      ),
      maximumCacheSeconds: this.settings.bounds.discoverySeconds,
    });
  }

  private isReady(): boolean {
    return this.tasks.state.isComplete && this.leaving === undefined;
  }

  private onConfigurationChange({limits, version}: RoutingConfiguration): void {
    this.listeners?.callers.setIdleTimeout(limits.idleTimeoutMilliseconds);
    this.listeners?.callers.setHeaderTimeout(limits.headerTimeoutMilliseconds);
    this.tasks.clientBounds.memory.allowBody(limits.bodyBytes);
    this.tasks.metrics.configurationVersion.set(version);
  }

  private monitor(task: string, running: Promise<void>): void {
    running.catch((error: unknown) => {
      this.tasks.events.write(1006, {task, error: messageOf(error)});
      process.exitCode = 1;
      void this.leave();
    });
  }
}
