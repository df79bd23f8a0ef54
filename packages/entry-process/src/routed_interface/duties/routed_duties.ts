/**
 * The duty task of an entry host on the platform.
 */
import {DutyClient, type PlatformSettings} from '@lacewingwinch/platform';

import {DutyTask, type DutyTaskDependencies} from './duty_task.js';

/** Dependencies that do not come from the settings. */
export type RoutedDutiesDependencies = Pick<
  DutyTaskDependencies,
  | 'clocks'
  | 'configuration'
  | 'events'
  | 'hasRollout'
  | 'metrics'
  | 'offeredLoads'
  | 'processId'
  | 'rolloutEngines'
  | 'servingHosts'
  | 'store'
  | 'trueTime'
  | 'upstreams'
  | 'usage'
  | 'versionsBesideOrders'
>;

/** Creates the duty task; undefined if the settings name no duty. */
export function createRoutedDuties(
  settings: PlatformSettings,
  dependencies: RoutedDutiesDependencies,
): DutyTask | undefined {
  const {hostId, cloudAddress, duties, bounds, failureDomains, isFirstStart} =
    settings;
  if (cloudAddress === undefined || duties.length === 0) {
    return undefined;
  }
  return new DutyTask({
    ...dependencies,
    hostId,
    cloud: new DutyClient(cloudAddress),
    duties,
    isFirstStart,
    leaseMilliseconds: bounds.leaseMilliseconds,
    failureDomains,
  });
}
