import {readdirSync} from 'node:fs';

import {defineConfig} from 'vitest/config';

const packageNames = readdirSync(new URL('./packages', import.meta.url));

const CROWD_TESTS = 'packages/*/tests/crowds/**/*_test.ts';

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
    // Crowds are played one at a time after the other tests, because memory and
    // descriptors of a process depend on the load beside it.
    projects: [
      {
        extends: true,
        test: {
          name: 'suite',
          include: ['{packages/*,platform}/tests/**/*_test.ts'],
          exclude: [CROWD_TESTS],
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWD_TESTS],
          fileParallelism: false,
          sequence: {groupOrder: 1},
        },
      },
    ],
    setupFiles: ['packages/observability/tests/captured_output.ts'],
    // Output of tests is shown only if they fail.
    silent: 'passed-only',
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});
