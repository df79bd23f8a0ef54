/**
 * A few streams of faulty engines go on without end, as short lines that never
 * complete an event. Other requests at the same host wait meanwhile.
 */
import {delay, elapsed, runCase, send, TROUBLE} from '../lib/harness.mjs';

const ENGINES = 4;
/** Share of the engines that are faulty, and of their streams that never end. */
const FAULTY_ENGINES = 2;
const ENDLESS_EVERY = 25;
const SENDING_MS = 5000;
const STREAM_PERIOD_MS = 20;
const CALL_PERIOD_MS = 40;
const CALL_TIMEOUT_MS = 1000;
const PIECE = Buffer.from('x\n'.repeat(700));

async function answer(request, message, response, engine) {
  engine.ran.push(request.id);
  if (!request.path.startsWith('/hull/')) {
    response.writeHead(200, engine.headersFor(request)).end('record');
    return;
  }
  engine.streams += 1;
  response.writeHead(200, {
    ...engine.headersFor(request),
    'content-type': 'text/event-stream',
  });
  if (TROUBLE && engine.isFaulty && engine.streams % ENDLESS_EVERY === 0) {
    engine.endless += 1;
    while (!response.destroyed) {
      if (!response.write(PIECE)) {
        await Promise.race([
          new Promise(resolve => response.once('drain', resolve)),
          new Promise(resolve => response.once('close', resolve)),
        ]);
      }
      await new Promise(resolve => setImmediate(resolve));
    }
    return;
  }
  for (let id = 1; id <= 5; id += 1) {
    response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    await delay(20);
  }
  response.end();
}

await runCase(async deployment => {
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await deployment.addEngine({
      id: `i-engine-${index}`,
      service: 'lacewing-models',
      slots: 64,
      answer,
    });
    const isFaulty = index < FAULTY_ENGINES;
    Object.assign(engine, {isFaulty, streams: 0, endless: 0});
  }
  deployment.publish({
    routes: [
      {
        name: 'hull-report',
        host: 'review.example',
        pathPrefix: '/hull/',
        kind: 'streaming',
        timeoutMs: 10_000,
        targetLatencyMs: 800,
        targetGapMs: 300,
        maxAttempts: 1,
        service: 'lacewing-models',
      },
      {
        name: 'vessel-record',
        host: 'review.example',
        pathPrefix: '/vessel/',
        kind: 'idempotent',
        timeoutMs: CALL_TIMEOUT_MS,
        targetLatencyMs: 150,
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
  const calls = [];
  const streams = [];
  const every = (period, act) => {
    let index = 0;
    return setInterval(() => act((index += 1)), period);
  };
  const timers = [
    every(STREAM_PERIOD_MS, index => {
      streams.push(
        send(host.address, {
          method: 'POST',
          path: `/hull/${index}`,
          headers: {'X-Attempt-Id': `stream-${index}`, 'X-Deadline-Ms': 10_000},
          body: Buffer.from('survey'),
          timeLimitMs: 30_000,
        }),
      );
    }),
    every(CALL_PERIOD_MS, index => {
      calls.push(
        send(host.address, {
          path: `/vessel/${index}`,
          headers: {'X-Attempt-Id': `call-${index}`, 'X-Deadline-Ms': 5000},
          timeLimitMs: 30_000,
        }),
      );
    }),
  ];
  const beganAt = elapsed();
  await delay(SENDING_MS);
  timers.forEach(clearInterval);
  const answered = await Promise.all(calls);
  const streamed = await Promise.all(streams);
  const durations = answered.map(({sentAt, endedAt}) => endedAt - sentAt);
  const long = durations.filter(duration => duration > CALL_TIMEOUT_MS);
  const late = long.filter(duration => duration > CALL_TIMEOUT_MS + 500);
  const endless = deployment.engines.reduce(
    (sum, engine) => sum + engine.endless,
    0,
  );
  const whole = streamed.filter(({end}) => end === 'complete').length;
  answered.forEach(({status, end, sentAt, endedAt}, index) => {
    if (index % 10 === 0) {
      deployment.note(
        `call-${index + 1}: sent at ${sentAt - beganAt} ms, status ${status}, ` +
          `${end}, after ${endedAt - sentAt} ms`,
      );
    }
  });
  deployment.note(
    `${streamed.length} streams, ${whole} of them complete, ${endless} endless`,
  );
  deployment.note(
    `${answered.length} calls with a timeout of ${CALL_TIMEOUT_MS} ms: ${long.length} ` +
      `lasted longer, ${late.length} of these had no answer 0.5 s after it; the ` +
      `longest lasted ${Math.max(...durations)} ms`,
  );
  // RULES.md: eight or more, and over a quarter of those that last longer.
  return late.length < 8 || late.length <= long.length / 4;
});
