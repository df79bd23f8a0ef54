/**
 * Rendering of command results as text.
 */
import type {PublishSummary} from './publish_command.js';
import type {ShownObject, ShownStatus} from './read_commands.js';

/** Returns the text of the results of a publish. */
export function renderPublish(summary: PublishSummary): string {
  const warnings = summary.warnings.map(warning => `warning: ${warning}`);
  const lines = summary.reports.map(({key, outcome, inForceAt, behind}) => {
    switch (outcome.kind) {
      case 'accepted':
        return [
          `${key}: accepted as version ${outcome.version}`,
          ...(inForceAt.length === 0
            ? []
            : [`, in force at ${inForceAt.join(', ')}`]),
          ...(behind.length === 0 ? [] : [`, NOT YET at ${behind.join(', ')}`]),
        ].join('');
      case 'conflict':
        return `${key}: conflict, its current version is ${outcome.current}; review it with "show" and publish again based on that version`;
      case 'invalid':
        return `${key}: invalid: ${outcome.faults.join('; ')}`;
      case 'unknown':
        return `${key}: the change was not found in the log; it may still be accepted, check with "show" before you publish again`;
    }
  });
  return [...warnings, ...lines].join('\n');
}

/** Returns the text of published objects. */
export function renderObjects(objects: readonly ShownObject[]): string {
  return objects
    .map(
      ({key, version, object}) =>
        `${key} version ${version}\n${JSON.stringify(object, undefined, 2)}`,
    )
    .join('\n');
}

/** Returns the text of host statuses. */
export function renderStatuses(statuses: readonly ShownStatus[]): string {
  return statuses
    .map(shown => {
      switch (shown.kind) {
        case 'silent':
          return `${shown.hostId}: does not answer`;
        case 'answered': {
          const {status} = shown;
          return [
            `${status.hostId}: ${status.status}`,
            `configuration ${status.configurationVersion}`,
            `log ${status.isLogReadable ? 'readable' : 'NOT READABLE'}`,
            `${status.requestsInProgress} requests in progress`,
            `${status.backupsHeld} backups held`,
            `sees ${status.members.length} entry hosts`,
          ].join(', ');
        }
      }
    })
    .join('\n');
}
