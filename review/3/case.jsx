/**
 * Some answers of faulty engines never end: their bodies go on until the caller
 * closes. The platform's limit on memory is applied to the hosts, which are killed
 * and started again when they exceed it.
 */
import http from 'node:http';

import {delay, elapsed, runCase, TROUBLE, waitFor} from '../lib/harness.mjs';

/** Limit of the settings files, above which a process is killed. */
const MEMORY_MB = 350;
const ENGINES = 5;
/** Share of the engines that are faulty, and of their answers that never end. */
const FAULTY_ENGINES = 3;
const ENDLESS_EVERY = 20;
const ENDLESS_BYTES_PER_SECOND = 900_000;
const ROUNDS = 3;
const REQUESTS = 5000;
const SENDING_MS = 5000;
const ANSWER = 'a whole answer';

async function answer(request, message, response, engine) {
  engine.ran.push(request.id);
  const isEndless =
    TROUBLE && engine.isFaulty && engine.ran.length % ENDLESS_EVERY === 0;
  if (!isEndless) {
    response
      .writeHead(200, {
        ...engine.headersFor(request),
        'content-length': ANSWER.length,
      })
      .end(ANSWER);
    return;
  }
  engine.endless += 1;
  response.writeHead(200, engine.headersFor(request));
  const piece = Buffer.alloc(45_000, 'x');
  while (!response.destroyed) {
    response.write(piece);
    await delay((1000 * piece.length) / ENDLESS_BYTES_PER_SECOND);
  }
}

/** Sends a request over kept channels and returns how it ended. */
function call(agent, {host, port}, id) {
  return new Promise(resolve => {
    const request = http.get({
      host,
      port,
      agent,
      path: `/vessel/${id}`,
      headers: {
        Host: 'review.example',
        'X-Attempt-Id': id,
        'X-Deadline-Ms': 10_000,
      },
    });
    request.on('error', () => resolve('no answer'));
    request.on('response', message => {
      message.on('error', () => resolve('broken answer'));
      message.on('end', () => resolve(String(message.statusCode)));
      message.resume();
    });
  });
}

/** Kills a host that exceeds its memory, as the platform does. */
function enforceMemory(deployment, host) {
  return setInterval(() => {
    const memory = host.memoryMb();
    host.peak = Math.max(host.peak ?? 0, memory);
    if (memory > MEMORY_MB && !host.isOver) {
      host.isOver = true;
      host.kills = (host.kills ?? 0) + 1;
      deployment.note(
        `${host.name} uses ${Math.round(memory)} MB of ${MEMORY_MB} MB: killed`,
      );
      host.signal('SIGKILL');
    }
  }, 10);
}

await runCase(async deployment => {
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await deployment.addEngine({
      id: `i-divebook-${index}`,
      service: 'divebook',
      slots: 64,
      answer,
    });
    engine.isFaulty = index < FAULTY_ENGINES;
    engine.endless = 0;
  }
  deployment.publish({
    routes: [
      {
        name: 'vessel-record',
        host: 'review.example',
        pathPrefix: '/vessel/',
        kind: 'idempotent',
        timeoutMs: 10_000,
        targetLatencyMs: 150,
        maxAttempts: 2,
        service: 'divebook',
      },
    ],
    services: [{name: 'divebook', connectionLimit: 370}],
  });
  deployment.startHeartbeats();
  await deployment.addHosts(2);
  const timers = deployment.hosts.map(host => enforceMemory(deployment, host));
  for (let round = 1; round <= ROUNDS; round += 1) {
    for (const host of deployment.hosts) {
      if (host.isOver) {
        await waitFor(
          'the killed process is gone',
          () => host.child === undefined,
        );
        host.start();
      }
      host.isOver = false;
      host.peak = 0;
    }
    await deployment.untilReady();
    await delay(1500);
    for (const engine of deployment.engines) {
      engine.endless = 0;
    }
    const agent = new http.Agent({keepAlive: true, maxSockets: 400});
    const calls = [];
    const startedAt = elapsed();
    for (let index = 0; index < REQUESTS; index += 1) {
      const due = startedAt + (index * SENDING_MS) / REQUESTS;
      await waitFor('the request is due', () => elapsed() >= due);
      for (const host of deployment.hosts) {
        calls.push(call(agent, host.address, `${round}-${host.name}-${index}`));
      }
    }
    const counts = {};
    for (const end of await Promise.all(calls)) {
      counts[end] = (counts[end] ?? 0) + 1;
    }
    agent.destroy();
    const endless = deployment.engines.reduce(
      (sum, engine) => sum + engine.endless,
      0,
    );
    deployment.note(
      `round ${round}: ${endless} endless answers, ends of requests: ` +
        `${JSON.stringify(counts)}, most memory ` +
        deployment.hosts.map(({peak}) => `${Math.round(peak)} MB`).join(', '),
    );
  }
  timers.forEach(clearInterval);
  // RULES.md, Fault: three ends a day on a tenth of the machines, two at least.
  const ended = deployment.hosts.filter(({kills = 0}) => kills >= 3);
  deployment.note(`${ended.length} hosts were killed three times`);
  return ended.length < 2;
});
