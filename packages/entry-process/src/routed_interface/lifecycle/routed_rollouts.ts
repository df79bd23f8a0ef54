/**
 * The tasks of an entry process that take part in roll-outs.
 */
import {
  RolloutFront,
  type UpstreamChange,
  type UpstreamList,
  type VersionContext,
  type VersionResultReport,
} from '@lacewingwinch/decisions';

import {
  RolloutFollower,
  type RolloutFollowerDependencies,
} from '../rollouts/rollout_follower.js';
import {
  RolloutTask,
  type RolloutTaskDependencies,
} from '../rollouts/rollout_task.js';

/** Dependencies of `RoutedRollouts`; the functions are called after the start. */
export interface RoutedRolloutsDependencies
  extends
    RolloutFollowerDependencies,
    Omit<RolloutTaskDependencies, 'follower' | 'ownReports'> {
  readonly processId: string;
  readonly hostId: string;
  /** Returns the time at which the configuration was last confirmed. */
  readonly configurationReadAt: () => number;
}

/** What one host does for roll-outs. */
export class RoutedRollouts {
  readonly follower: RolloutFollower;
  readonly front: RolloutFront;
  readonly task: RolloutTask;

  constructor(private readonly dependencies: RoutedRolloutsDependencies) {
    const {processId, hostId, bounds, servingHosts} = dependencies;
    this.follower = new RolloutFollower(dependencies);
    this.front = new RolloutFront({
      processId,
      hostId,
      steps: this.follower.steps,
      bounds,
      hostCount: () => servingHosts().length,
    });
    this.task = new RolloutTask({
      ...dependencies,
      follower: this.follower,
      ownReports: () => this.reports(),
    });
  }

  /** Returns what this host reports on roll-outs that are in progress. */
  reports(): readonly VersionResultReport[] {
    return this.front.reports(this.dependencies.clocks.suspensionAware());
  }

  /** Returns the state of this host on which the versions of requests depend. */
  versionContext(service: string): VersionContext {
    const {clocks, upstreams} = this.dependencies;
    const now = clocks.suspensionAware();
    return this.contextAt(upstreams().usable(service, now), now);
  }

  /** Returns what `versionContext` would return; the list stays as it is. */
  peekVersionContext(service: string): VersionContext {
    const {clocks, upstreams} = this.dependencies;
    const now = clocks.suspensionAware();
    return this.contextAt(upstreams().peekUsable(service, now), now);
  }

  private contextAt(
    upstreams: VersionContext['upstreams'],
    now: number,
  ): VersionContext {
    const {configurationReadAt, trueTime} = this.dependencies;
    return {
      upstreams,
      ordersReadAt: configurationReadAt(),
      now,
      trueTime: trueTime(),
    };
  }

  /** Returns to orders of engines which engines belong to roll-outs. */
  engineCounts(
    list: UpstreamList,
  ): ReturnType<RolloutFollower['engineCounts']> {
    return this.follower.engineCounts(
      list,
      this.dependencies.configurationReadAt,
    );
  }

  /** Records which versions are listed after `changes`. */
  onUpstreamChanges(
    changes: readonly UpstreamChange[],
    list: UpstreamList,
  ): void {
    this.follower.onUpstreamChanges(changes, list);
  }
}
