/**
 * Test of the demonstration of the README, which once did not start because a
 * constant was used before its definition.
 */
import {fileURLToPath} from 'node:url';

import {startProcess, waitFor} from '@lacewingwinch/stand-ins';
import {expect, it} from 'vitest';

const DEMO = fileURLToPath(
  new URL('../../stand-ins/dist/demo.js', import.meta.url),
);

const READY_TIMEOUT_MILLISECONDS = 50_000;

it('the demonstration answers its requests and stops gracefully', async () => {
  const demo = startProcess('demo', DEMO, []);
  let output = '';
  demo.child.stdout?.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  try {
    await waitFor(
      'the demonstration is ready',
      () => output.includes('press Ctrl-C'),
      READY_TIMEOUT_MILLISECONDS,
    );
    expect(output).toContain('data: [DONE]');
    expect(output).toContain('"minutes');
    demo.child.kill('SIGINT');
    expect(await demo.exited).toBe(0);
    expect(output).toContain('codes 0, 0, 0');
  } finally {
    demo.child.kill('SIGKILL');
  }
});
