/**
 * Reading and validation of files with configuration objects.
 */
import {readFile} from 'node:fs/promises';

import {
  checkRules,
  CONFIGURATION_OBJECT_SCHEMA,
  type ConfigurationObject,
  describeWarning,
} from '@lacewingwinch/decisions';

import {UsageError} from './command_settings.js';

/** The objects of a file, and warnings about its rules. */
export interface ObjectFile {
  readonly objects: readonly ConfigurationObject[];
  readonly warnings: readonly string[];
}

/** Reads a file that contains one object or an array of objects. */
export async function readObjectFile(path: string): Promise<ObjectFile> {
  const values = parseFile(path, await readText(path));
  const faults: string[] = [];
  const objects: ConfigurationObject[] = [];
  for (const [index, value] of values.entries()) {
    const parsed = CONFIGURATION_OBJECT_SCHEMA.safeParse(value);
    if (parsed.success) {
      objects.push(parsed.data);
      continue;
    }
    for (const issue of parsed.error.issues) {
      const fieldPath = [index, ...issue.path].join('.');
      faults.push(`${path}: ${fieldPath}: ${issue.message}`);
    }
  }
  if (faults.length > 0) {
    throw new UsageError(faults);
  }
  const warnings = objects.flatMap(object =>
    object.kind === 'rules'
      ? checkRules(object.rules).map(describeWarning)
      : [],
  );
  return {objects, warnings};
}

async function readText(path: string): Promise<string> {
  try {
    return await readFile(path, 'utf8');
  } catch {
    throw new UsageError([`${path}: cannot be read`]);
  }
}

function parseFile(path: string, text: string): readonly unknown[] {
  try {
    const value: unknown = JSON.parse(text);
    return Array.isArray(value) ? (value as readonly unknown[]) : [value];
  } catch {
    throw new UsageError([`${path}: is not valid JSON`]);
  }
}
