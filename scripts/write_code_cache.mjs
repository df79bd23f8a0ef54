// Writes V8's code cache of the bundle, from a process that has served requests
// on stand-ins of the platform. V8 accepts the cache only under the flags of this
// process. Without a cache, processes compile the bundle as they start.
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {build} from 'esbuild';

const REQUESTS = 300;
const TIMEOUT_MILLISECONDS = 20_000;
const CACHE_FILE = 'target/program.cache';

const folder = mkdtempSync(join(tmpdir(), 'lacewingwinch-'));
setTimeout(() => end('timed out'), TIMEOUT_MILLISECONDS);
process.on('uncaughtException', error => end(error.message));
process.on('unhandledRejection', error => end(String(error)));
// The log lines of the served requests are of no interest here.
process.stdout.write = () => true;
rmSync(CACHE_FILE, {force: true});

await build({
  entryPoints: {
    warm_up: 'packages/stand-ins/src/warm_up.ts',
    cached_program: 'packages/entry-process/src/cached_program.ts',
  },
  outdir: folder,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  tsconfig: 'tsconfig.json',
  outExtension: {'.js': '.cjs'},
  logLevel: 'warning',
});
const require = createRequire(import.meta.url);
const {runCachedProgram} = require(join(folder, 'cached_program.cjs'));
const {warmUp} = require(join(folder, 'warm_up.cjs'));
let program;
await warmUp({
  start: () => {
    const bundle = new URL('../target/program.cjs', import.meta.url).pathname;
    program = runCachedProgram(bundle, CACHE_FILE);
  },
  requests: REQUESTS,
});
writeFileSync(CACHE_FILE, program.script.createCachedData());
end();

function end(fault) {
  if (fault !== undefined) {
    process.stderr.write(`no code cache was written: ${fault}\n`);
  }
  rmSync(folder, {recursive: true, force: true});
  process.exit();
}
