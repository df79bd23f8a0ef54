/**
 * A request that crashes each engine that runs it comes again and again, at any
 * host. After it has been quarantined, one host is stopped and started again.
 */
import {
  delay,
  elapsed,
  runCase,
  send,
  TROUBLE,
  waitFor,
} from '../lib/harness.mjs';

const ENGINES = 8;
const HOSTS = 4;
const ENGINE_DOWN_MS = 2000;
const CONTACT_MS = 3000;
const POISON_PATH = '/dive/poison';
const POISON_PERIOD_MS = 700;

/** Every run of the poison request. */
const crashes = [];

/** Closes all channels of an engine, which starts again some seconds later. */
function crash(engine, deployment) {
  const port = Number(engine.address.split(':')[1]);
  engine.isSilent = true;
  engine.server.close();
  for (const socket of engine.sockets) {
    socket.destroy();
  }
  setTimeout(() => {
    engine.born = Date.now();
    engine.sequence = 0;
    engine.server.listen(port, '127.0.0.1', () => {
      engine.isSilent = false;
      deployment.store.put('keyed.servers', engine.id, engine.entry());
    });
  }, ENGINE_DOWN_MS);
}

await runCase(async deployment => {
  const answer = async (request, message, response, engine) => {
    if (request.path === POISON_PATH) {
      crashes.push({id: request.id, at: elapsed()});
      deployment.note(`${request.id} crashes ${engine.id}`);
      crash(engine, deployment);
      return;
    }
    engine.ran.push(request.id);
    await delay(200);
    response.writeHead(200, engine.headersFor(request)).end('done');
  };
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await deployment.addEngine({
      id: `i-divebook-${index}`,
      service: 'divebook',
      answer,
    });
    engine.sockets = new Set();
    engine.server.on('connection', socket => {
      engine.sockets.add(socket);
      socket.on('close', () => engine.sockets.delete(socket));
    });
  }
  deployment.publish({
    routes: [
      {
        name: 'dive-log',
        host: 'review.example',
        pathPrefix: '/dive/',
        kind: 'non_idempotent',
        timeoutMs: 3000,
        targetLatencyMs: 500,
        maxAttempts: 1,
        service: 'divebook',
      },
    ],
    services: [{name: 'divebook', connectionLimit: 110}],
  });
  deployment.startHeartbeats();
  await deployment.addHosts(HOSTS);
  await delay(1500);

  let poisons = 0;
  const sendPoison = async host => {
    poisons += 1;
    const id = `poison-${poisons}`;
    const {status} = await send(host.address, {
      method: 'POST',
      path: POISON_PATH,
      body: Buffer.from('p'),
      headers: {'X-Attempt-Id': id, 'X-Deadline-Ms': 3000},
    });
    deployment.note(`${id} at ${host.name}: status ${status}`);
    await delay(POISON_PERIOD_MS);
  };

  // It crashes three engines and is quarantined at all hosts.
  for (let index = 0; index < 2 * HOSTS; index += 1) {
    await sendPoison(deployment.hosts[index % HOSTS]);
  }
  const third = crashes[2]?.at ?? Infinity;
  deployment.note(`${crashes.length} engines crashed before the restart`);
  const [restarted, ...others] = deployment.hosts;
  if (TROUBLE) {
    deployment.note(`SIGTERM to ${restarted.name}`);
    restarted.signal('SIGTERM');
    await waitFor(
      'the process has stopped',
      () => restarted.child === undefined,
    );
    restarted.start();
    await deployment.untilReady();
    deployment.note(`${restarted.name} is ready again`);
  }
  await delay(CONTACT_MS + 500);

  // Sound requests go to the hosts that were not restarted.
  const ends = {};
  let isSending = true;
  const sending = (async () => {
    const calls = [];
    for (let index = 0; isSending; index += 1) {
      const call = send(others[index % others.length].address, {
        method: 'POST',
        path: `/dive/${index}`,
        body: Buffer.from('log'),
        headers: {'X-Attempt-Id': `sound-${index}`, 'X-Deadline-Ms': 3000},
      }).then(({status}) => {
        ends[status] = (ends[status] ?? 0) + 1;
      });
      calls.push(call);
      await delay(25);
    }
    await Promise.all(calls);
  })();
  for (let index = 0; index < 10; index += 1) {
    await sendPoison(restarted);
  }
  isSending = false;
  await sending;
  const late = crashes.filter(({at}) => at > third + CONTACT_MS).length;
  deployment.note(
    `statuses of sound requests at the other hosts: ${JSON.stringify(ends)}`,
  );
  deployment.note(
    `the request reached engines ${late} times later than ${CONTACT_MS} ms after ` +
      `it had crashed the third`,
  );
  return late <= 3;
});
