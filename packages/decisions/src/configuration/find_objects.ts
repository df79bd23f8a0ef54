/**
 * Typed lookups in a configuration.
 */
import type {Rule, Service, Workspace} from './configuration_objects.js';
import type {Configuration} from './fold_configuration.js';

/** Returns the service called `name`, if there is one. */
export function findService(
  configuration: Configuration,
  name: string,
): Service | undefined {
  const object = configuration.objects.get(`service/${name}`)?.object;
  return object?.kind === 'service' ? object : undefined;
}

/** Returns the workspace called `name`, if there is one. */
export function findWorkspace(
  configuration: Configuration,
  name: string,
): Workspace | undefined {
  const object = configuration.objects.get(`workspace/${name}`)?.object;
  return object?.kind === 'workspace' ? object : undefined;
}

/** Returns the rules in order; empty until a rule list is published. */
export function findRules(configuration: Configuration): readonly Rule[] {
  const object = configuration.objects.get('rules/rules')?.object;
  return object?.kind === 'rules' ? object.rules : [];
}

/** Returns all services of the configuration. */
export function listServices(configuration: Configuration): readonly Service[] {
  const objects = [...configuration.objects.values()];
  return objects.flatMap(({object}) =>
    object?.kind === 'service' ? [object] : [],
  );
}

/** Returns all workspaces of the configuration. */
export function listWorkspaces(
  configuration: Configuration,
): readonly Workspace[] {
  const objects = [...configuration.objects.values()];
  return objects.flatMap(({object}) =>
    object?.kind === 'workspace' ? [object] : [],
  );
}
