import {readdirSync} from 'node:fs';

import {defineConfig} from 'vitest/config';

const packageNames = readdirSync(new URL('./packages', import.meta.url));

export default defineConfig({
  resolve: {
    // Tests run the sources of the workspace packages, not their builds.
    alias: {
      ...Object.fromEntries(
        packageNames.map(name => [
          `@lacewingwinch/${name}`,
          new URL(`./packages/${name}/src/index.ts`, import.meta.url).pathname,
        ]),
      ),
      '@lacewingwinch/platform': new URL(
        './platform/src/index.ts',
        import.meta.url,
      ).pathname,
    },
  },
  test: {
    include: ['{packages/*,platform}/tests/**/*_test.ts'],
    setupFiles: ['packages/observability/tests/captured_output.ts'],
    // Output of tests is shown only if they fail.
    silent: 'passed-only',
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});
