/**
 * Handlers for the requests of operators.
 */
import type {OperatorHandler} from '@lacewingwinch/operators';

import type {Tasks} from './build_tasks.js';

/** Creates the handlers of the operator interface on top of `tasks`. */
export function createOperatorHandlers(
  hostId: string,
  tasks: Tasks,
  drain: () => void,
): OperatorHandler {
  const {configuration, membership, metrics} = tasks;
  const isReady = (): boolean => membership.own.status === 'serving';
  return {
    metrics: () => metrics.registry.metrics(),
    isReady,
    status: () => ({
      hostId,
      status: membership.own.status,
      isReady: isReady(),
      configurationVersion: configuration.current.version,
      configurationReadTo: configuration.readTo,
      isLogReadable: configuration.isLogReadable,
      requestsInProgress: tasks.registry.runningCount,
      backupsHeld: tasks.backups.size,
      members: membership.all(),
      shards: tasks.dispatcher.status(),
      leavingUpstreams: tasks.directory.leavingIds(),
    }),
    configuration: () => configuration.snapshot(),
    outcome: publishId => configuration.current.outcomes.get(publishId),
    explain: requestId => tasks.front.explain(requestId),
    drain,
  };
}
