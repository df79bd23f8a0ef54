/**
 * The life of an entry process: start, serve, leave, stop.
 */
import {setMaxListeners} from 'node:events';

import {type CallerServer, listenForCallers} from '@lacewingwinch/callers';
import {listenForPeers, type PeerServer} from '@lacewingwinch/entry-hosts';
import {
  listenForOperators,
  type OperatorServer,
} from '@lacewingwinch/operators';

import {buildTasks, type Tasks} from './build_tasks.js';
import {createOperatorHandlers} from './operator_handlers.js';
import {createPeerHandlers} from './peer_handlers.js';
import type {Settings} from './settings.js';
import {messageOf} from './util/message_of.js';
import {pause} from './util/pause.js';
import {Signal} from './util/signal.js';

/** Milliseconds before its reclaim at which a host has stopped. */
const RECLAIM_MARGIN_MILLISECONDS = 200;

/** Milliseconds in which a hurried stop ends. */
export const HURRIED_STOP_MILLISECONDS = 3000;

/** Milliseconds between two looks at a condition. */
const LOOK_PERIOD_MILLISECONDS = 20;

/** Milliseconds between two rounds of forgetting. */
const FORGET_PERIOD_MILLISECONDS = 10_000;

/** Why a host leaves. */
export type LeaveReason = 'drain' | 'reclaim' | 'signal';

interface Servers {
  readonly callers: CallerServer;
  readonly peers: PeerServer;
  readonly operators: OperatorServer;
}

/** One entry process. */
export class EntryProcess {
  private readonly tasks: Tasks;
  private readonly stopping = new AbortController();
  private servers: Servers | undefined;
  private leaving: Promise<void> | undefined;
  private readonly stopped = new Signal();
  /** When the stop must be complete, in milliseconds since the epoch. */
  private stopBound = Infinity;

  constructor(private readonly settings: Settings) {
    this.tasks = buildTasks(settings, reclaimTime => {
      this.hurry(reclaimTime - RECLAIM_MARGIN_MILLISECONDS);
      void this.leave('reclaim');
    });
  }

  /** Listens, runs the tasks, and serves once the configuration is known. */
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
      await pause(LOOK_PERIOD_MILLISECONDS, this.stopping.signal);
    }
    if (this.leaving === undefined) {
      membership.declare('serving');
      const address = membership.own.addresses.callers;
      events.write(1002, {hostId, address});
    }
  }

  /** Leaves without cutting off a request; resolves when it has stopped. */
  leave(reason: LeaveReason): Promise<void> {
    this.leaving ??= this.leaveOnce(reason);
    return this.leaving;
  }

  /** Resolves when the process has stopped, whatever made it leave. */
  whenStopped(): Promise<void> {
    return this.stopped.next();
  }

  /** Bounds a stop that is under way. */
  hurry(bound = this.tasks.clock() + HURRIED_STOP_MILLISECONDS): void {
    this.stopBound = Math.min(this.stopBound, bound);
  }

  private async listen(): Promise<Servers> {
    const {listenAddress, callerPort, peerPort, operatorPort} = this.settings;
    const {events, front} = this.tasks;
    const onUnexpected = (error: unknown): void =>
      events.write(1006, {task: 'callers', error: messageOf(error)});
    const drain = (): void => void this.leave('drain');
    const peers = await listenForPeers(
      listenAddress,
      peerPort,
      createPeerHandlers(this.tasks),
    );
    const callers = await listenForCallers(
      listenAddress,
      callerPort,
      front,
      onUnexpected,
    );
    const operators = await listenForOperators(
      listenAddress,
      operatorPort,
      createOperatorHandlers(this.settings.hostId, this.tasks, drain),
    );
    return {callers, peers, operators};
  }

  private runTasks(): void {
    const {signal} = this.stopping;
    setMaxListeners(0, signal);
    const {tasks} = this;
    this.watch('configuration', tasks.configuration.run(signal));
    this.watch('membership', tasks.membership.run(signal));
    this.watch('directory', tasks.directory.run(signal));
    this.watch('dispatcher', tasks.dispatcher.run(signal));
    this.watch('permits', tasks.permits.run(signal));
    this.watch('claims', tasks.claims.run(signal));
    this.watch('limits', tasks.limitExchange.run(signal));
    this.watch('orders', tasks.orders.run(signal));
    this.watch('forgetting', this.forget(signal));
  }

  private watch(task: string, running: Promise<void>): void {
    running.catch((error: unknown) => {
      this.tasks.events.write(1006, {task, error: messageOf(error)});
      void this.leave('drain');
    });
  }

  private async forget(signal: AbortSignal): Promise<void> {
    const {backups, quarantine, registry, clock} = this.tasks;
    while (!signal.aborted) {
      await pause(FORGET_PERIOD_MILLISECONDS, signal);
      backups.forget(clock());
      registry.forget();
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
    const {events, membership, registry, peers, connections, tracing} =
      this.tasks;
    const {hostId} = this.settings;
    const cut = registry.runningCount;
    if (cut > 0) {
      const seconds = this.settings.stopSeconds;
      events.write(1005, {seconds, remaining: cut});
    }
    membership.declare('gone');
    await pause(LOOK_PERIOD_MILLISECONDS, this.stopping.signal);
    this.stopping.abort();
    const closed = this.servers?.callers.close();
    await Promise.race([closed, this.untilBound()]);
    this.servers?.callers.abort();
    await this.servers?.peers.close();
    await this.servers?.operators.close();
    peers.close();
    await connections.close();
    await tracing.shutdown();
    events.write(1004, {hostId, cut});
    this.stopped.notify();
  }

  private async untilBound(): Promise<void> {
    const bound = Math.min(
      this.stopBound,
      this.tasks.clock() + HURRIED_STOP_MILLISECONDS,
    );
    const left = Math.max(0, bound - this.tasks.clock());
    await pause(left, new AbortController().signal);
  }

  /** Waits for `condition`, at most until `bound` and the bound of the stop. */
  private async waitUntil(
    condition: () => boolean,
    bound: number,
  ): Promise<void> {
    const {clock} = this.tasks;
    while (!condition() && clock() < Math.min(bound, this.stopBound)) {
      await pause(LOOK_PERIOD_MILLISECONDS, this.stopping.signal);
    }
  }
}
