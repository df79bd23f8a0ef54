/**
 * The log to which the numbered events are written.
 */
import winston from 'winston';

import {openStandardOutput} from './bounded_output.js';
import {
  type EventFields,
  type EventNumber,
  eventRow,
  renderEvent,
} from './event_catalogue.js';

/** A log of numbered events. */
export interface EventLog {
  /** Writes event `number` with the values of its fields. */
  write<N extends EventNumber>(number: N, fields: EventFields<N>): void;
}

/** The levels that a log can be set to, most severe first. */
export const LOG_LEVELS = ['error', 'warn', 'info'] as const;

/** The lowest severity that a log writes. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Creates a log that writes JSON lines to standard output and never blocks.
 */
export function createEventLog(hostId: string, level: LogLevel): EventLog {
  const output = openStandardOutput();
  const logger = winston.createLogger({
    level,
    defaultMeta: {hostId},
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    // The type declarations of winston declare the transport as an interface
    // instead of a class.
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

/** A log that discards all events. */
export const SILENT_LOG: EventLog = {write: () => undefined};
