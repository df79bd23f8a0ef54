// Bundles the entry process. The bundle needs a third of the processor time of
// the separate modules to start. The own interface is a bundle of its own,
// because loading it takes time that the other one does not need.
import {rmSync} from 'node:fs';

import {build} from 'esbuild';

const OWN_INTERFACE = './entry_process.js';

/** Leaves the own interface to its own bundle. */
const splitOwnInterface = {
  name: 'split-own-interface',
  setup(bundle) {
    bundle.onResolve({filter: /\/entry_process\.js$/}, ({kind}) =>
      kind === 'dynamic-import'
        ? {path: './entry_process.cjs', external: true}
        : undefined,
    );
  },
};

/**
 * Leaves out the parts of undici that no package uses: fetch, cookies, web
 * sockets and mocks. Loading them takes a quarter of the time of a start.
 */
const clientsOfUndici = {
  name: 'clients-of-undici',
  setup(bundle) {
    bundle.onResolve(
      {filter: /^\.\/lib\/(web|mock|cache)\//},
      ({importer, path}) =>
        importer.endsWith('/undici/index.js')
          ? {path, namespace: 'left-out'}
          : undefined,
    );
    // Where HTTP/2 cannot be loaded, undici serves HTTP/1.1 alone.
    bundle.onResolve({filter: /^node:http2$/}, ({importer, path}) =>
      importer.includes('/undici/')
        ? {path, namespace: 'unavailable'}
        : undefined,
    );
    bundle.onLoad({filter: /.*/, namespace: 'unavailable'}, () => ({
      contents: "throw new Error('HTTP/2 is left out of the bundle');",
    }));
    bundle.onLoad({filter: /.*/, namespace: 'left-out'}, () => ({
      contents:
        'module.exports = new Proxy({}, {get: () => class LeftOut {}});',
    }));
  },
};

// V8 would accept the code cache of an earlier bundle of the same length, and run
// the functions of that bundle.
rmSync('target/program.cache', {force: true});
await build({
  entryPoints: {
    lacewingwinch: 'packages/entry-process/src/launcher.ts',
    program: 'packages/entry-process/src/main.ts',
    entry_process: `packages/entry-process/src/${OWN_INTERFACE.slice(2, -3)}.ts`,
  },
  outdir: 'target',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  tsconfig: 'tsconfig.json',
  outExtension: {'.js': '.cjs'},
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [splitOwnInterface, clientsOfUndici],
});
