/**
 * Plans the engines of the services that are ordered by load, as the holder of
 * the duties.
 */
import {
  type EngineCounts,
  type EngineLoad,
  engineLoadOf,
  type EnginePlan,
  featuresOf,
  isDomainBeingLost,
  type ListedUpstream,
  nextEnginePlan,
  type OfferedLoads,
  type RoutedService,
  type RoutingConfiguration,
  type ScalingBounds,
} from '@lacewingwinch/decisions';

/**
 * Time from the start of an engine until callers send to it, and from a change
 * of the load until it is reported.
 */
const LISTING_AND_REPORT_MILLISECONDS = 2000;

/** Dependencies of `EnginePlanner`. */
export interface EnginePlannerDependencies {
  /** Returns suspension-aware clock readings in milliseconds. */
  readonly clock: () => number;
  readonly trueTime: () => number;
  readonly failureDomains: readonly string[];
  readonly servingHosts: () => readonly string[];
  readonly configuration: () => RoutingConfiguration | undefined;
  readonly upstreams: () => readonly ListedUpstream[];
  readonly offeredLoads: OfferedLoads;
}

/** A service whose engines are ordered by load. */
export interface PlannedService {
  readonly service: RoutedService;
  readonly scaling: ScalingBounds;
}

/** Makes plans from the load that was reported. */
export class EnginePlanner {
  private readonly loads = new Map<string, EngineLoad>();

  constructor(private readonly dependencies: EnginePlannerDependencies) {}

  /** Returns the plans that follow `previous`, by service. */
  nextPlans(
    previous: Readonly<Record<string, EnginePlan>>,
    usualEngines: EngineCounts,
  ): Readonly<Record<string, EnginePlan>> {
    const plans: Record<string, EnginePlan> = {...previous};
    for (const {service, scaling} of this.plannedServices()) {
      const usual = usualEngines[service.name];
      if (usual !== undefined) {
        const before = previous[service.name];
        plans[service.name] = this.nextPlan(service, scaling, before, usual);
      }
    }
    return plans;
  }

  /** Returns the load on which the last plan of a service rests. */
  loadOf(service: string): EngineLoad | undefined {
    return this.loads.get(service);
  }

  /** Returns the services whose engines are ordered by load. */
  private plannedServices(): readonly PlannedService[] {
    const {configuration, failureDomains} = this.dependencies;
    return plannedServicesOf(configuration(), failureDomains.length);
  }

  private nextPlan(
    service: RoutedService,
    scaling: ScalingBounds,
    before: EnginePlan | undefined,
    usualEngines: number,
  ): EnginePlan {
    const {failureDomains, upstreams, trueTime} = this.dependencies;
    const load = this.observe(service, scaling, before);
    if (load === undefined) {
      this.loads.delete(service.name);
    } else {
      this.loads.set(service.name, load);
    }
    return nextEnginePlan(
      before,
      {
        load,
        usualEngines,
        domainCount: failureDomains.length,
        minimumInDomain: scaling.minimumInDomain,
        maximumInDomain: scaling.maximumInDomain,
        isLosingDomain: isDomainBeingLost(service.name, upstreams()),
      },
      trueTime(),
    );
  }

  private observe(
    service: RoutedService,
    scaling: ScalingBounds,
    before: EnginePlan | undefined,
  ): EngineLoad | undefined {
    const {offeredLoads, clock, servingHosts, configuration, upstreams} =
      this.dependencies;
    const objective = tightestObjective(configuration(), service.name);
    if (service.engine === undefined || objective === undefined) {
      return undefined;
    }
    return engineLoadOf(offeredLoads.observe(service.name, clock()), {
      objectiveMilliseconds: objective,
      slots: service.engine.slots,
      leadMilliseconds:
        scaling.bootSeconds * 1000 + LISTING_AND_REPORT_MILLISECONDS,
      presentEngines: upstreams().filter(
        upstream => upstream.service === service.name,
      ).length,
      servingProcesses: servingHosts().length,
      knownMillisecondsPerToken: before?.load?.millisecondsPerToken,
    });
  }
}

/** Returns the services of a configuration that are ordered by load. */
export function plannedServicesOf(
  configuration: RoutingConfiguration | undefined,
  domainCount: number,
): readonly PlannedService[] {
  return [...(configuration?.services.values() ?? [])].flatMap(service =>
    service.scaling !== undefined &&
    featuresOf(service, domainCount).hasLoadDrivenOrders
      ? [{service, scaling: service.scaling}]
      : [],
  );
}

/** Returns the tightest objective of the rules that route to a service. */
function tightestObjective(
  configuration: RoutingConfiguration | undefined,
  service: string,
): number | undefined {
  const objectives = [...(configuration?.rulesByHost.values() ?? [])]
    .flat()
    .filter(({targets}) => targets.some(target => target.service === service))
    .map(({objectiveMilliseconds}) => objectiveMilliseconds);
  return objectives.length === 0 ? undefined : Math.min(...objectives);
}
