/**
 * The time until a started entry host serves while the log is down, with a
 * serving host to recover from and without one.
 */
import {Fleet, waitFor} from '@lacewingwinch/stand-ins';

import {figureOf, renderFigure} from './figures.js';

/** Runs of each kind. */
const RUNS = 5;

/** Milliseconds of the outage that is left when the host starts. */
const OUTAGE = 10_000;

/** Measures the time to serve in an outage. */
export async function measureRecovery(): Promise<unknown> {
  const withPeers: number[] = [];
  const withoutPeers: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    withPeers.push(await timeToServe(true));
    withoutPeers.push(await timeToServe(false));
  }
  const figures = {
    withPeersSeconds: figureOf(withPeers),
    withoutPeersSeconds: figureOf(withoutPeers),
  };
  process.stdout.write(
    `seconds to serve with ${OUTAGE / 1000} s of an outage left: ` +
      `with a serving host ${renderFigure(figures.withPeersSeconds, 2)}, ` +
      `without ${renderFigure(figures.withoutPeersSeconds, 2)}\n`,
  );
  return figures;
}

async function timeToServe(hasPeers: boolean): Promise<number> {
  const fleet = await Fleet.start({
    entryDomains: ['east', 'west'],
    entryFlags: ['--log-level=error'],
  });
  try {
    const {faults} = fleet.platform.log;
    faults.outage = 'down';
    if (!hasPeers) {
      await endEntries(fleet);
    }
    const started = performance.now();
    const back = setTimeout(() => {
      faults.outage = 'none';
    }, OUTAGE);
    await fleet.startEntries(['north']);
    const entry = fleet.entry(2);
    await waitFor('the host serves', async () => {
      const {status} = await fleet.status(entry);
      return status === 'serving';
    });
    clearTimeout(back);
    return (performance.now() - started) / 1000;
  } finally {
    await fleet.close();
  }
}

async function endEntries(fleet: Fleet): Promise<void> {
  for (const {process: started} of fleet.entries) {
    started.child.kill('SIGKILL');
    await started.exited;
  }
}
