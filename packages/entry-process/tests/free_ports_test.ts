import {findFreePorts} from '@lacewingwinch/stand-ins';
import {expect, it} from 'vitest';

/** So many that two independent draws of the range have some in common. */
const PORTS = 500;

// Guards against a host that ends because another process got one of its ports.
it('ports that were given out are not given out again', async () => {
  const before = new Set(await findFreePorts(PORTS));
  const after = await findFreePorts(PORTS);
  expect(before.size).toBe(PORTS);
  expect(after.filter(port => before.has(port))).toEqual([]);
});
