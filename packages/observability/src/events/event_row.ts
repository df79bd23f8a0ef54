/**
 * An entry of the catalogue of log events.
 */

/** The severity of an event. */
export type EventLevel = 'error' | 'info' | 'warn';

/** An entry of the catalogue. */
export interface EventRow {
  readonly level: EventLevel;
  /** Message template, with a placeholder `{name}` for each field. */
  readonly message: string;
  /** What an operator should do about the event. */
  readonly advice: string;
}
