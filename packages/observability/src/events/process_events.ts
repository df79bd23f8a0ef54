/**
 * The log events of the process: start, stop and settings.
 */
import type {EventRow} from './event_row.js';

/** Events 1001 to 1999. */
export const PROCESS_EVENTS = {
  1001: {
    level: 'info',
    message:
      'entry host {hostId} is starting in failure domain {failureDomain}',
    advice: 'No action needed.',
  },
  1002: {
    level: 'info',
    message: 'entry host {hostId} accepts requests at {address}',
    advice: 'No action needed.',
  },
  1003: {
    level: 'info',
    message: 'entry host {hostId} is leaving: {reason}',
    advice:
      'No action needed; it stops once its requests are finished or handed over.',
  },
  1004: {
    level: 'info',
    message: 'entry host {hostId} stopped; {cut} requests were cut off',
    advice: 'If requests were cut off, look for event 1005.',
  },
  1005: {
    level: 'error',
    message:
      'stop deadline of {seconds} s passed with {remaining} requests still in progress',
    advice:
      'Raise --stop-seconds above the duration of the longest request, or drain earlier.',
  },
  1006: {
    level: 'error',
    message: 'unexpected error in {task}: {error}',
    advice: 'Report it together with the surrounding log lines.',
  },
  1007: {
    level: 'info',
    message: 'entry host {hostId} reloaded its settings',
    advice:
      'No action needed; changed addresses take effect only after a restart.',
  },
  1008: {
    level: 'error',
    message: 'the changed settings are invalid: {faults}',
    advice:
      'Correct the settings file; until then the previous settings stay in force.',
  },
  1009: {
    level: 'error',
    message:
      'entry host {hostId} leaves and ends because of an uncaught error: {stack}',
    advice:
      'Report it with the surrounding log lines; see "A host that ends by itself" in OPERATIONS.md.',
  },
  1010: {
    level: 'warn',
    message: 'an address of this entry host is in use; trying again: {error}',
    advice:
      'No action needed if event 1002 follows; otherwise find the process that holds the address.',
  },
  1011: {
    level: 'error',
    message: 'metrics are not served: {error}',
    advice: 'Free the port or change --metrics-port, then restart the host.',
  },
  1012: {
    level: 'error',
    message: 'entry host {hostId} ends because it could not start: {error}',
    advice:
      'Free the address that the error names; see "A host that ends by itself" in OPERATIONS.md.',
  },
} as const satisfies Readonly<Record<number, EventRow>>;
