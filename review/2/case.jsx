/**
 * Requesters read streams whose engine sends them without a length. The host that
 * relays them is stopped as at planned work, and the streams last longer than its
 * grace period. With STOP=SIGKILL it is killed half-way instead.
 */

import {delay, runCase, send, TROUBLE} from '../lib/harness.mjs';

const STOP = process.env['STOP'] === 'SIGKILL' ? 'SIGKILL' : 'SIGTERM';
const EVENTS = 30;
const EVENT_INTERVAL_MS = STOP === 'SIGTERM' ? 350 : 60;
const STREAMS = 6;

/** Sends a stream without a length, which ends with its channel. */
async function answer(request, message, response, engine) {
  engine.ran.push(request);
  response.shouldKeepAlive = false;
  response.removeHeader('transfer-encoding');
  response.writeHead(200, {
    ...engine.headersFor(request),
    'content-type': 'text/event-stream',
  });
  for (let id = 1; id <= EVENTS; id += 1) {
    response.write(`id: ${id}\ndata: piece ${id} of ${request.id}\n\n`);
    await delay(EVENT_INTERVAL_MS);
  }
  response.end();
}

await runCase(async deployment => {
  for (const index of [0, 1]) {
    await deployment.addEngine({
      id: `i-engine-${index}`,
      service: 'lacewing-models',
      answer,
    });
  }
  deployment.publish({
    routes: [
      {
        name: 'hull-report',
        host: 'review.example',
        pathPrefix: '/hull/',
        kind: 'streaming',
        timeoutMs: 12_000,
        targetLatencyMs: 800,
        targetGapMs: 300,
        maxAttempts: 2,
        service: 'lacewing-models',
      },
    ],
    services: [{name: 'lacewing-models', connectionLimit: 370}],
  });
  deployment.startHeartbeats();
  await deployment.addHosts(2);
  await delay(1500);
  const [host] = deployment.hosts;
  const answers = Array.from({length: STREAMS}, (_, index) =>
    send(host.address, {
      method: 'POST',
      path: `/hull/${index}`,
      headers: {'X-Attempt-Id': `stream-${index}`, 'X-Deadline-Ms': 12_000},
      body: Buffer.from('survey'),
      timeLimitMs: 12_000,
    }),
  );
  await delay(900);
  if (TROUBLE) {
    deployment.note(`${STOP} to ${host.name}`);
    host.signal(STOP);
  }
  let broken = 0;
  for (const [index, answered] of (await Promise.all(answers)).entries()) {
    const events = answered.body.toString().split('\n\n').length - 1;
    const isSigned = answered.headers['x-response-signature'] !== undefined;
    deployment.note(
      `stream-${index}: status ${answered.status}, signed ${isSigned}, framing ` +
        `${answered.framing}, ${events} of ${EVENTS} events, end: ${answered.end}`,
    );
    if (
      answered.end === 'complete' &&
      answered.status === 200 &&
      events < EVENTS
    ) {
      broken += 1;
    }
    if (!TROUBLE && !(answered.end === 'complete' && events === EVENTS)) {
      throw new Error('an answer without disruption was not complete');
    }
  }
  const runs = deployment.engines.flatMap(({ran}) => ran.map(({id}) => id));
  deployment.note(`ran: ${runs.join(', ')}`);
  deployment.note(`${broken} answers ended early and looked complete`);
  return broken === 0;
});
