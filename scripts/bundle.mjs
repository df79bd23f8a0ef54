// Bundles the entry process into one file. The bundle needs a third of the
// processor time of the separate modules to start.
import {build} from 'esbuild';

await build({
  entryPoints: {lacewingwinch: 'packages/entry-process/src/main.ts'},
  outdir: 'target',
  bundle: true,
  splitting: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  tsconfig: 'tsconfig.json',
  outExtension: {'.js': '.mjs'},
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  banner: {
    js: "import {createRequire as createRequireOfBundle} from 'node:module';const require=createRequireOfBundle(import.meta.url);",
  },
  logLevel: 'warning',
});
