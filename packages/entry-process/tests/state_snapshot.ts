/** Copies of the state of objects, to compare it before and after a call. */

/**
 * Returns a copy of all that `value` holds, private fields included. Functions
 * are left out; an object that was copied already is named by its number.
 */
export function snapshotOf(value: unknown): unknown {
  return copyOf(value, new Map());
}

function copyOf(value: unknown, known: Map<object, number>): unknown {
  if (typeof value === 'function') {
    return undefined;
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  const number = known.get(value);
  if (number !== undefined) {
    return `object ${number}`;
  }
  known.set(value, known.size);
  if (value instanceof Map || value instanceof Set) {
    return [...value].map(item => copyOf(item, known));
  }
  if (Array.isArray(value)) {
    return value.map(item => copyOf(item, known));
  }
  return Object.entries(value).map(([name, field]) => [
    name,
    copyOf(field, known),
  ]);
}
