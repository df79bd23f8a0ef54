/**
 * Measures the time until an entry host that starts during an outage of the log
 * serves, with and without a serving host that it can fetch the configuration
 * from.
 */
import {Fleet, waitFor} from '@lacewingwinch/stand-ins';

import {figureOf, renderFigure} from './figures.js';

/** Number of runs with a serving host, and of runs without one. */
const RUNS_PER_KIND = 5;

/** Milliseconds from the start of the host to the end of the outage. */
const OUTAGE_MILLISECONDS = 10_000;

/** Measures the time until a host that starts in an outage serves. */
export async function measureRecovery(): Promise<unknown> {
  const withPeers: number[] = [];
  const withoutPeers: number[] = [];
  for (let run = 0; run < RUNS_PER_KIND; run += 1) {
    withPeers.push(await secondsToServe(true));
    withoutPeers.push(await secondsToServe(false));
  }
  const figures = {
    withPeersSeconds: figureOf(withPeers),
    withoutPeersSeconds: figureOf(withoutPeers),
  };
  process.stdout.write(
    `seconds to serve with ${OUTAGE_MILLISECONDS / 1000} s of an outage left: ` +
      `with a serving host ${renderFigure(figures.withPeersSeconds, 2)}, ` +
      `without ${renderFigure(figures.withoutPeersSeconds, 2)}\n`,
  );
  return figures;
}

async function secondsToServe(hasPeers: boolean): Promise<number> {
  const fleet = await Fleet.start({
    entryDomains: ['east', 'west'],
    entryFlags: ['--log-level=error'],
  });
  try {
    const {faults} = fleet.platform.log;
    faults.outage = 'down';
    if (!hasPeers) {
      await killEntries(fleet);
    }
    const started = performance.now();
    const outageEnd = setTimeout(() => {
      faults.outage = 'none';
    }, OUTAGE_MILLISECONDS);
    await fleet.startEntries(['north']);
    const entry = fleet.entry(2);
    await waitFor('the host serves', async () => {
      const {status} = await fleet.status(entry);
      return status === 'serving';
    });
    clearTimeout(outageEnd);
    return (performance.now() - started) / 1000;
  } finally {
    await fleet.close();
  }
}

async function killEntries(fleet: Fleet): Promise<void> {
  for (const {process: started} of fleet.entries) {
    started.child.kill('SIGKILL');
    await started.exited;
  }
}
