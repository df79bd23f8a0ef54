import {readdirSync, readFileSync} from 'node:fs';
import {dirname, join, relative, sep} from 'node:path';
import {fileURLToPath} from 'node:url';

import {describe, expect, it} from 'vitest';

const SOURCES = fileURLToPath(new URL('../src', import.meta.url));
const ROUTED_INTERFACE = join(SOURCES, 'routed_interface');

/** The rooms of the routed interface, and the rooms that each may import. */
const ALLOWED_IMPORTS: Readonly<Record<string, readonly string[]>> = {
  state: [],
  evidence: [],
  placement: [],
  admission: ['placement', 'evidence'],
  requests: ['admission', 'placement', 'evidence', 'state'],
  duties: ['state'],
  rollouts: ['duties', 'state'],
  lifecycle: [
    'requests',
    'admission',
    'placement',
    'evidence',
    'state',
    'duties',
    'rollouts',
  ],
};

const RELATIVE_IMPORT = /(?:from|import\()\s*'(\.[^']+)\.js'/gu;

function sourcesIn(folder: string): readonly string[] {
  return readdirSync(folder, {recursive: true, withFileTypes: true})
    .filter(entry => entry.isFile() && entry.name.endsWith('.ts'))
    .map(entry => join(entry.parentPath, entry.name));
}

function importsOf(file: string): readonly string[] {
  const text = readFileSync(file, 'utf8');
  return [...text.matchAll(RELATIVE_IMPORT)].map(([, path]) =>
    join(dirname(file), `${path}.ts`),
  );
}

function roomOf(file: string): string | undefined {
  const path = relative(ROUTED_INTERFACE, file);
  return path.startsWith('..') ? undefined : path.split(sep)[0];
}

/** Returns the files of a circle of imports that begins at `file`, if any. */
function circleFrom(
  file: string,
  path: readonly string[],
  finished: Set<string>,
): readonly string[] | undefined {
  if (path.includes(file)) {
    return [...path.slice(path.indexOf(file)), file];
  }
  if (finished.has(file)) {
    return undefined;
  }
  for (const imported of importsOf(file)) {
    const circle = circleFrom(imported, [...path, file], finished);
    if (circle !== undefined) {
      return circle;
    }
  }
  finished.add(file);
  return undefined;
}

describe('the rooms of the routed interface', () => {
  it.each(Object.entries(ALLOWED_IMPORTS))(
    '%s imports only the rooms that it may import',
    (room, allowed) => {
      const foreign = sourcesIn(join(ROUTED_INTERFACE, room)).flatMap(file =>
        importsOf(file)
          .map(roomOf)
          .filter(
            imported =>
              imported !== undefined &&
              imported !== room &&
              !allowed.includes(imported),
          )
          .map(imported => `${relative(SOURCES, file)} imports ${imported}`),
      );
      expect(foreign).toEqual([]);
    },
  );

  it('are all in the table', () => {
    expect(readdirSync(ROUTED_INTERFACE).sort()).toEqual(
      Object.keys(ALLOWED_IMPORTS).sort(),
    );
  });
});

describe('the sources of the entry process', () => {
  it('import each other without a circle', () => {
    const finished = new Set<string>();
    const circles = sourcesIn(SOURCES).map(file =>
      circleFrom(file, [], finished)?.map(name => relative(SOURCES, name)),
    );
    expect(circles.filter(circle => circle !== undefined)).toEqual([]);
  });
});
