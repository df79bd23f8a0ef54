/**
 * The catalogue of all numbered log events.
 */
import {CONFIGURATION_EVENTS} from './events/configuration_events.js';
import {DUTY_EVENTS} from './events/duty_events.js';
import type {EventRow} from './events/event_row.js';
import {FLEET_EVENTS} from './events/fleet_events.js';
import {PROCESS_EVENTS} from './events/process_events.js';
import {REQUEST_EVENTS} from './events/request_events.js';

export type {EventLevel, EventRow} from './events/event_row.js';

/** All events by number. */
export const EVENT_CATALOGUE = {
  ...PROCESS_EVENTS,
  ...CONFIGURATION_EVENTS,
  ...FLEET_EVENTS,
  ...REQUEST_EVENTS,
  ...DUTY_EVENTS,
} as const satisfies Readonly<Record<number, EventRow>>;

/** The number of an event in the catalogue. */
export type EventNumber = keyof typeof EVENT_CATALOGUE;

type FieldsIn<Message extends string> =
  Message extends `${string}{${infer Field}}${infer Rest}`
    ? Field | FieldsIn<Rest>
    : never;

/** The values for the placeholders in the message of event `N`. */
export type EventFields<N extends EventNumber> = Readonly<
  Record<FieldsIn<(typeof EVENT_CATALOGUE)[N]['message']>, number | string>
>;

/** Returns the catalogue entry of event `number`. */
export function eventRow(number: EventNumber): EventRow {
  return EVENT_CATALOGUE[number];
}

/** Returns the message of event `number` with `fields` filled in. */
export function renderEvent<N extends EventNumber>(
  number: N,
  fields: EventFields<N>,
): string {
  const values: Readonly<Record<string, number | string>> = fields;
  return eventRow(number).message.replaceAll(/\{(\w+)\}/g, (_, field: string) =>
    String(values[field]),
  );
}
