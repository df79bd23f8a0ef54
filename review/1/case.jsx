/**
 * Two engines of a service are full now and then. One of them sends a few of its
 * answers twice; the second copy comes late, where the next answer is expected.
 */
import {delay, elapsed, runCase, send, TROUBLE} from '../lib/harness.mjs';

/** Each engine is full during the first part of each period. */
const PERIOD_MS = 500;
const FULL_MS = 250;
const WORK_MS = 40;
/** The faulty engine repeats one of so many of its answers: a share below .03. */
const ANSWERS_PER_EXTRA = 34;
const REQUESTS = 180;

const runs = new Map();

function bytesOf(status, headers, body) {
  const lines = Object.entries({...headers, 'content-length': body.length}).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `HTTP/1.1 ${status} Status\r\n${lines.join('')}\r\n${body}`;
}

async function answer(request, message, response, engine) {
  const {socket} = message;
  const full = FULL_MS - (elapsed() % PERIOD_MS);
  const isRun = full <= 0;
  if (isRun) {
    runs.set(request.id, [...(runs.get(request.id) ?? []), engine.id]);
  }
  if (engine.late.has(socket)) {
    const {id, bytes} = engine.late.get(socket);
    engine.late.delete(socket);
    engine.note(
      `${engine.id}: late copy of the 503 to ${id} where ${request.id} waits`,
    );
    socket.write(bytes);
  }
  const headers = {'x-attempt-id': request.id};
  let bytes;
  if (isRun) {
    await delay(WORK_MS);
    headers['x-response-signature'] = `signed-by-${engine.id}`;
    bytes = bytesOf(200, headers, 'logged');
  } else {
    headers['x-not-executed'] = '1';
    headers['retry-after'] = (full / 1000 + 0.02).toFixed(2);
    bytes = bytesOf(503, headers, '');
  }
  if (socket.destroyed) {
    return;
  }
  socket.write(bytes);
  engine.answers += 1;
  if (
    TROUBLE &&
    engine.isFaulty &&
    !isRun &&
    engine.answers >= engine.nextExtra
  ) {
    engine.nextExtra += ANSWERS_PER_EXTRA;
    engine.extras += 1;
    engine.late.set(socket, {id: request.id, bytes});
  }
}

await runCase(async deployment => {
  for (const index of [0, 1]) {
    const engine = await deployment.addEngine({
      id: `i-divebook-${index}`,
      service: 'divebook',
      answer,
    });
    Object.assign(engine, {
      isFaulty: index === 0,
      answers: 0,
      extras: 0,
      nextExtra: ANSWERS_PER_EXTRA,
      late: new Map(),
      note: text => deployment.note(text),
    });
  }
  deployment.publish({
    routes: [
      {
        name: 'dive-log',
        host: 'review.example',
        pathPrefix: '/dive/',
        kind: 'non_idempotent',
        timeoutMs: 5000,
        targetLatencyMs: 1000,
        maxAttempts: 2,
        service: 'divebook',
      },
    ],
    services: [{name: 'divebook', connectionLimit: 110}],
  });
  deployment.startHeartbeats();
  await deployment.addHosts(1);
  await delay(1500);
  const [host] = deployment.hosts;
  const ends = {};
  for (let index = 0; index < REQUESTS; index += 1) {
    const id = `dive-${index}`;
    await delay(PERIOD_MS - (elapsed() % PERIOD_MS) + 20);
    const answered = await send(host.address, {
      method: 'POST',
      path: `/dive/${index}`,
      headers: {'X-Attempt-Id': id, 'X-Deadline-Ms': 5000},
      body: Buffer.from('log'),
    });
    ends[answered.status] = (ends[answered.status] ?? 0) + 1;
    const ran = runs.get(id) ?? [];
    if (ran.length > 1) {
      deployment.note(
        `${id}: status ${answered.status}, ran ${ran.join(', ')}`,
      );
    }
  }
  const twice = [...runs.values()].filter(({length}) => length > 1).length;
  const [faulty] = deployment.engines;
  deployment.note(
    `${REQUESTS} requests, statuses ${JSON.stringify(ends)}; the faulty engine ` +
      `repeated ${faulty.extras} of ${faulty.answers} answers`,
  );
  deployment.note(
    `${twice} requests of a non_idempotent route ran more than once`,
  );
  return twice === 0;
});
