/**
 * The log of numbered events.
 */
import winston from 'winston';

import {openStandardOutput} from './bounded_output.js';
import {
  type EventFields,
  type EventNumber,
  eventRow,
  renderEvent,
} from './event_catalogue.js';

/** Writes numbered events. */
export interface EventLog {
  /** Writes event `number`. */
  write<N extends EventNumber>(number: N, fields: EventFields<N>): void;
}

/** Levels a log can be set to. */
export const LOG_LEVELS = ['error', 'warn', 'info'] as const;

/** Least severity that is written. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** A log that writes JSON lines to standard output and never blocks. */
export function createEventLog(hostId: string, level: LogLevel): EventLog {
  const output = openStandardOutput();
  const logger = winston.createLogger({
    level,
    defaultMeta: {hostId},
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    // The typings of winston declare the transport as a plain interface.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    transports: new winston.transports.Stream({stream: output, eol: '\n'}),
  });
  return {
    write: (number, fields) => {
      logger.log({
        level: eventRow(number).level,
        message: renderEvent(number, fields),
        event: number,
        ...fields,
      });
    },
  };
}

/** A log that writes nothing. */
export const SILENT_LOG: EventLog = {write: () => undefined};
