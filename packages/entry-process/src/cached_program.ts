/**
 * Runs a bundled program with V8's code cache. All hosts that were lost together
 * start again at the same time, while their clients already call them again, and
 * small hosts need most of that time to compile the program.
 */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname} from 'node:path';
import {Script} from 'node:vm';

/** The scope of a CommonJS module. */
type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: {readonly exports: object},
  file: string,
  folder: string,
) => void;

const HASHBANG = /^#!.*/u;

/** A program that runs, and how it was compiled. */
export interface RunningProgram {
  readonly script: Script;
  /** Whether the functions of the cache were used. */
  readonly isCached: boolean;
}

/**
 * Runs the CommonJS bundle `file` in this process. V8 rejects a cache of another
 * version, set of flags or length of the source; the program is compiled then, as
 * without a cache. It accepts the cache of another source of the same length, so
 * whoever writes the bundle removes the cache of the earlier one.
 */
export function runCachedProgram(
  file: string,
  cacheFile: string,
): RunningProgram {
  const source = readFileSync(file, 'utf8').replace(HASHBANG, '');
  const cachedData = readCache(cacheFile);
  const script = new Script(
    `(function (exports, require, module, __filename, __dirname) {${source}\n})`,
    {filename: file, ...(cachedData !== undefined && {cachedData})},
  );
  const run = script.runInThisContext() as ModuleFunction;
  const module = {exports: {}};
  run(module.exports, createRequire(file), module, file, dirname(file));
  return {script, isCached: script.cachedDataRejected === false};
}

function readCache(cacheFile: string): Buffer | undefined {
  try {
    return readFileSync(cacheFile);
  } catch {
    // The cache is optional: an installation may lack it.
    return undefined;
  }
}
