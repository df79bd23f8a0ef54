/**
 * The log events of the configuration and the state read from the store.
 */
import type {EventRow} from './event_row.js';

/** Events 2001 to 2999. */
export const CONFIGURATION_EVENTS = {
  2001: {
    level: 'info',
    message: 'configuration {version} is in force',
    advice: 'No action needed.',
  },
  2002: {
    level: 'warn',
    message: 'log stream {stream} cannot be read or written: {error}',
    advice:
      'See "When the platform is down" in OPERATIONS.md; requests are still served with the configuration in force.',
  },
  2003: {
    level: 'info',
    message: 'log stream {stream} can be read again',
    advice: 'No action needed.',
  },
  2004: {
    level: 'info',
    message: 'configuration {version} was recovered from {peers} serving hosts',
    advice: 'No action needed; the log is read as soon as it answers.',
  },
  2005: {
    level: 'info',
    message: 'configuration snapshot up to offset {upTo} was appended',
    advice: 'No action needed.',
  },
  2006: {
    level: 'error',
    message:
      'log stream {stream} no longer has the records before offset {earliest}',
    advice:
      'Log retention removed records that no snapshot covers. Publish the configuration again.',
  },
  2007: {
    level: 'error',
    message: 'a published configuration of {bytes} bytes cannot be parsed',
    advice: 'Publish it again; the current version stays in force.',
  },
} as const satisfies Readonly<Record<number, EventRow>>;
