/**
 * The lifecycle of an entry process: start, serve, leave, stop.
 */
import {setMaxListeners} from 'node:events';

import {
  type ClientFacingServer,
  listenForClients,
  listenForRoutedCalls,
  type RoutedServer,
} from '@lacewingwinch/callers';
import {listenForPeers, type PeerServer} from '@lacewingwinch/entry-hosts';
import {
  listenForOperators,
  type OperatorServer,
} from '@lacewingwinch/operators';

import {buildTasks, type Tasks} from './build_tasks.js';
import {createOperatorHandlers} from './operator_handlers.js';
import {createPeerHandlers} from './peer_handlers.js';
import type {Settings} from './settings.js';
import {ChangeNotifier} from './util/change_notifier.js';
import {peerBoundsOf} from './util/client_bounds.js';
import {listenWhenFree} from './util/listen_when_free.js';
import {messageOf} from './util/message_of.js';
import {pause} from './util/pause.js';

/** Milliseconds before its reclaim by which a host must have stopped. */
const RECLAIM_MARGIN_MILLISECONDS = 200;

/** Milliseconds within which a forced stop ends. */
export const FORCED_STOP_MILLISECONDS = 3000;

/** Milliseconds between two checks of a condition. */
const POLL_PERIOD_MILLISECONDS = 20;

/** Milliseconds between two removals of expired state. */
const EXPIRY_PERIOD_MILLISECONDS = 10_000;

/** Reason for which a host leaves. */
export type LeaveReason = 'drain' | 'failure' | 'reclaim' | 'signal';

interface Servers {
  readonly callers: ClientFacingServer;
  readonly peers: PeerServer;
  readonly operators: OperatorServer;
  /** Server for the attempts that this host carries for others. */
  readonly relay: RoutedServer;
}

/** An entry process, which serves as one entry host. */
export class EntryProcess {
  private readonly tasks: Tasks;
  private readonly stopping = new AbortController();
  private servers: Servers | undefined;
  private leaving: Promise<void> | undefined;
  private readonly stopped = new ChangeNotifier();
  /** Time by which the stop must end, in milliseconds since the epoch. */
  private stopDeadline = Infinity;

  constructor(private readonly settings: Settings) {
    this.tasks = buildTasks(settings, reclaimTime => {
      this.limitStopTime(reclaimTime - RECLAIM_MARGIN_MILLISECONDS);
      void this.leave('reclaim');
    });
  }

  /** Starts servers and tasks, and serves once a configuration is known. */
  async start(): Promise<void> {
    const {events, configuration, membership} = this.tasks;
    const {hostId, failureDomain} = this.settings;
    events.write(1001, {hostId, failureDomain});
    this.servers = await this.listen();
    this.runTasks();
    while (
      configuration.readySource === 'none' &&
      !this.stopping.signal.aborted
    ) {
      await pause(POLL_PERIOD_MILLISECONDS, this.stopping.signal);
    }
    if (this.leaving === undefined) {
      membership.declare('serving');
      const address = membership.own.addresses.callers;
      events.write(1002, {hostId, address});
    }
  }

  /**
   * Leaves without cutting off requests: stops once the running requests have
   * ended or have been handed over, or when `stopSeconds` or the stop deadline
   * has passed. Resolves when the process has stopped.
   */
  leave(reason: LeaveReason): Promise<void> {
    this.leaving ??= this.leaveOnce(reason);
    return this.leaving;
  }

  /** Logs why the process could not start; it ends because of that. */
  logFailedStart(error: unknown): void {
    const {hostId} = this.settings;
    this.tasks.events.write(1012, {hostId, error: messageOf(error)});
  }

  /** Logs an error that nothing caught; the process leaves because of it. */
  logUncaught(stack: string): void {
    const {hostId} = this.settings;
    this.tasks.events.write(1009, {hostId, stack});
  }

  /** Resolves when the process has stopped, for whatever reason. */
  whenStopped(): Promise<void> {
    return this.stopped.next();
  }

  /** Sets a deadline for the stop; an earlier one stays in force. */
  limitStopTime(
    deadline = this.tasks.clock() + FORCED_STOP_MILLISECONDS,
  ): void {
    this.stopDeadline = Math.min(this.stopDeadline, deadline);
  }

  private async listen(): Promise<Servers> {
    const {listenAddress, callerPort, peerPort, relayPort, operatorPort} =
      this.settings;
    const {events, front, carrier, clientBounds: bounds} = this.tasks;
    const onUnexpectedError = (error: unknown): void =>
      events.write(1006, {task: 'callers', error: messageOf(error)});
    const drain = (): void => void this.leave('drain');
    const waiting = {
      clock: this.tasks.clock,
      onInUse: (error: string) => events.write(1010, {error}),
      signal: this.stopping.signal,
    };
    const peers = await listenWhenFree(
      () =>
        listenForPeers({
          host: listenAddress,
          port: peerPort,
          bounds: peerBoundsOf(bounds),
          handlers: createPeerHandlers(this.tasks),
        }),
      waiting,
    );
    const callers = await listenWhenFree(
      () =>
        listenForClients({
          host: listenAddress,
          port: callerPort,
          bounds,
          handler: front,
          onUnexpectedError,
        }),
      waiting,
    );
    const operators = await listenWhenFree(
      () =>
        listenForOperators({
          host: listenAddress,
          port: operatorPort,
          bounds,
          handler: createOperatorHandlers(
            this.settings.hostId,
            this.tasks,
            drain,
          ),
        }),
      waiting,
    );
    const relay = await listenWhenFree(
      () =>
        listenForRoutedCalls({
          name: 'relay',
          address: `${listenAddress}:${relayPort}`,
          bounds,
          handler: carrier,
          onUnexpectedError,
        }),
      waiting,
    );
    return {callers, peers, operators, relay};
  }

  private runTasks(): void {
    const {signal} = this.stopping;
    setMaxListeners(0, signal);
    const {tasks} = this;
    this.monitor('configuration', tasks.configuration.run(signal));
    this.monitor('membership', tasks.membership.run(signal));
    this.monitor('directory', tasks.directory.run(signal));
    this.monitor('dispatcher', tasks.dispatcher.run(signal));
    this.monitor('permits', tasks.permits.run(signal));
    this.monitor('claims', tasks.claims.run(signal));
    this.monitor('limits', tasks.limitExchange.run(signal));
    this.monitor('quarantine', tasks.parts.run(signal));
    this.monitor('orders', tasks.orders.run(signal));
    this.monitor('forgetting', this.expireState(signal));
  }

  private monitor(task: string, running: Promise<void>): void {
    running.catch((error: unknown) => {
      this.tasks.events.write(1006, {task, error: messageOf(error)});
      void this.leave('drain');
    });
  }

  private async expireState(signal: AbortSignal): Promise<void> {
    const {backups, quarantine, registry, clock} = this.tasks;
    while (!signal.aborted) {
      await pause(EXPIRY_PERIOD_MILLISECONDS, signal);
      backups.dropExpired(clock());
      registry.removeExpired();
      quarantine.forget(clock());
    }
  }

  private async leaveOnce(reason: LeaveReason): Promise<void> {
    const {events, membership, registry, handover, clock} = this.tasks;
    const {hostId, lingerSeconds, stopSeconds} = this.settings;
    const lingerUntil = clock() + lingerSeconds * 1000;
    events.write(1003, {hostId, reason});
    membership.declare('leaving');
    if (reason !== 'reclaim') {
      await this.waitUntil(
        () => registry.runningCount === 0,
        clock() + stopSeconds * 1000,
      );
    }
    await handover.handOverRunning();
    await this.waitUntil(
      () => registry.runningCount === 0 && clock() >= lingerUntil,
      Math.max(lingerUntil, clock() + stopSeconds * 1000),
    );
    await handover.handOverAnswers();
    await this.stop();
  }

  private async stop(): Promise<void> {
    const {events, membership, registry, peers, connections, pool, tracing} =
      this.tasks;
    const {hostId} = this.settings;
    const cutCount = registry.runningCount;
    if (cutCount > 0) {
      const seconds = this.settings.stopSeconds;
      events.write(1005, {seconds, remaining: cutCount});
    }
    membership.declare('gone');
    await pause(POLL_PERIOD_MILLISECONDS, this.stopping.signal);
    this.stopping.abort();
    const clientServerClosed = this.servers?.callers.close();
    await Promise.race([clientServerClosed, this.waitUntilStopDeadline()]);
    this.servers?.callers.abort();
    await this.servers?.peers.close();
    await this.servers?.operators.close();
    this.servers?.relay.close();
    pool.close();
    peers.close();
    await connections.close();
    await tracing.shutdown();
    events.write(1004, {hostId, cut: cutCount});
    this.stopped.notify();
  }

  private async waitUntilStopDeadline(): Promise<void> {
    const deadline = Math.min(
      this.stopDeadline,
      this.tasks.clock() + FORCED_STOP_MILLISECONDS,
    );
    const remaining = Math.max(0, deadline - this.tasks.clock());
    await pause(remaining, new AbortController().signal);
  }

  /** Waits for `condition`, but not beyond `deadline` or the stop deadline. */
  private async waitUntil(
    condition: () => boolean,
    deadline: number,
  ): Promise<void> {
    const {clock} = this.tasks;
    while (!condition() && clock() < Math.min(deadline, this.stopDeadline)) {
      await pause(POLL_PERIOD_MILLISECONDS, this.stopping.signal);
    }
  }
}
