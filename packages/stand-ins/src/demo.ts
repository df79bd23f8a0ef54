/**
 * The demonstration: starts stand-ins for the platform and the upstreams and
 * three entry hosts in two failure domains, publishes a configuration, sends
 * one streamed completion and one request that must not be repeated, and
 * prints the explanation of both.
 */
import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

import {v7 as uuidV7} from 'uuid';

import {
  firstLine,
  type StartedProcess,
  startProcess,
  waitFor,
} from './child_process_group.js';
import {findFreePorts} from './free_ports.js';

const ENTRY_MAIN = pathOf('../../entry-process/dist/main.js');
const CONTROL_MAIN = pathOf('../../control-command/dist/main.js');
const STAND_IN_MAIN = pathOf('./stand_in_main.js');

/** Ports at which an entry host listens. */
const PORTS_OF_A_HOST = 4;

/** Key of the demonstration's workspace. */
const DEMO_KEY = 'demo-key';

const DOMAINS = ['harbour-east', 'harbour-west', 'harbour-east'] as const;

const DEMO_OBJECTS = [
  {
    kind: 'service',
    name: 'report-writer',
    upstreamKind: 'model',
    upstreamConcurrency: 8,
  },
  {
    kind: 'service',
    name: 'dive-log',
    upstreamKind: 'plain',
    repetition: 'non-idempotent',
  },
  {
    kind: 'workspace',
    name: 'surveys',
    keyHashes: [createHash('sha256').update(DEMO_KEY).digest('hex')],
  },
  {
    kind: 'rules',
    name: 'rules',
    rules: [
      {
        name: 'dive-logs',
        when: {services: ['dive-log']},
        then: {kind: 'send', maximumAttempts: 2},
      },
      {
        name: 'reports-on-cheap-hosts',
        when: {services: ['report-writer']},
        then: {kind: 'send', hostClasses: ['reclaimable', 'on-demand']},
      },
    ],
  },
];

/** Addresses of an entry host. */
interface EntryHost {
  readonly clientAddress: string;
  readonly operator: string;
}

const startedProcesses: StartedProcess[] = [];

await run();

async function run(): Promise<void> {
  process.on('SIGINT', () => void stopEverything());
  process.on('SIGTERM', () => void stopEverything());
  const platformUrl = await startStandIn('platform');
  await startUpstreams(platformUrl);
  const entryHosts = await startEntryHosts(platformUrl);
  printLine(
    `entry hosts serve at ${entryHosts.map(({clientAddress}) => clientAddress).join(', ')}`,
  );
  const control = createControl(platformUrl, entryHosts[0]?.operator ?? '');
  await publishDemo(control);
  const clientAddress = entryHosts[0]?.clientAddress ?? '';
  await waitForUpstreams(entryHosts);
  await demonstrateCompletion(clientAddress, control);
  await demonstratePlainCall(clientAddress, control);
  if (process.argv.includes('--once')) {
    await stopEverything();
    return;
  }
  printLine('press Ctrl-C to stop everything gracefully');
}

async function startStandIn(kind: string): Promise<string> {
  const process = startProcess(kind, STAND_IN_MAIN, [kind]);
  startedProcesses.push(process);
  return firstLine(process);
}

async function startUpstreams(platformUrl: string): Promise<void> {
  const engines = [0, 1, 2].map(async index => {
    const address = await startStandIn('engine');
    await addHost(platformUrl, {
      id: `engine-${index}`,
      service: 'report-writer',
      address,
      failureDomain: DOMAINS[index],
      hostClass: index === 2 ? 'on-demand' : 'reclaimable',
      pricePerHour: index === 2 ? 3 : 1,
    });
  });
  const startPlainService = async (): Promise<void> =>
    addHost(platformUrl, {
      id: 'dive-log-0',
      service: 'dive-log',
      address: await startStandIn('plain'),
      failureDomain: DOMAINS[0],
      hostClass: 'on-demand',
      pricePerHour: 1,
    });
  await Promise.all([...engines, startPlainService()]);
}

async function addHost(
  platformUrl: string,
  host: Readonly<Record<string, unknown>>,
): Promise<void> {
  await fetch(`${platformUrl}/control/hosts`, {
    method: 'POST',
    body: JSON.stringify({role: 'upstream', status: 'live', ...host}),
  });
}

async function startEntryHosts(
  platformUrl: string,
): Promise<readonly EntryHost[]> {
  const ports = await findFreePorts(DOMAINS.length * PORTS_OF_A_HOST);
  const hosts = DOMAINS.map((domain, index) => {
    const [clientPort, peer, operator, relay] = ports.slice(
      index * PORTS_OF_A_HOST,
    );
    startedProcesses.push(
      startProcess(`entry-${index}`, ENTRY_MAIN, [
        'serve',
        `--host-id=entry-${index}`,
        `--failure-domain=${domain}`,
        `--caller-port=${clientPort}`,
        `--peer-port=${peer}`,
        `--operator-port=${operator}`,
        `--relay-port=${relay}`,
        `--log-url=${platformUrl}`,
        `--host-list-url=${platformUrl}`,
        `--cloud-url=${platformUrl}`,
        `--peers=127.0.0.1:${ports[1]}`,
        '--linger-seconds=1',
        '--log-level=warn',
      ]),
    );
    return {
      clientAddress: `127.0.0.1:${clientPort}`,
      operator: `127.0.0.1:${operator}`,
    };
  });
  await waitFor('every entry host serves', async () => {
    const entryHostCounts = await Promise.all(
      hosts.map(async ({clientAddress}) => {
        const answer = await fetch(`http://${clientAddress}/v1/entry-hosts`);
        const {entryHosts} = (await answer.json()) as {
          readonly entryHosts: readonly unknown[];
        };
        return entryHosts.length;
      }),
    );
    return entryHostCounts.every(count => count === hosts.length);
  });
  return hosts;
}

/** Runs `lacewingctl` and resolves with what it prints. */
type Control = (...commandArguments: readonly string[]) => Promise<string>;

function createControl(platformUrl: string, operator: string): Control {
  return async (...commandArguments) => {
    const {stdout} = await promisify(execFile)(process.execPath, [
      CONTROL_MAIN,
      ...commandArguments,
      `--log-url=${platformUrl}`,
      `--operator-address=${operator}`,
    ]);
    return stdout.trim();
  };
}

async function publishDemo(control: Control): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'lacewingwinch-'));
  try {
    const file = join(folder, 'demo.json');
    await writeFile(file, JSON.stringify(DEMO_OBJECTS));
    printLine(await control('publish', file));
  } finally {
    await rm(folder, {recursive: true});
  }
}

async function waitForUpstreams(hosts: readonly EntryHost[]): Promise<void> {
  await waitFor('the entry hosts know the upstreams', async () => {
    const statuses = await Promise.all(
      hosts.map(async ({clientAddress}) => {
        const answer = await callCompletion(clientAddress, 'ready?', 1);
        await answer.text();
        return answer.status;
      }),
    );
    return statuses.every(status => status === 200);
  });
}

function callCompletion(
  clientAddress: string,
  prompt: string,
  tokens: number,
): Promise<Response> {
  return fetch(`http://${clientAddress}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${DEMO_KEY}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: 'report-writer',
      prompt,
      max_tokens: tokens,
      stream: true,
    }),
  });
}

async function demonstrateCompletion(
  clientAddress: string,
  control: Control,
): Promise<void> {
  const prompt = 'Write the inspection report of hull 17.';
  const answer = await callCompletion(clientAddress, prompt, 12);
  printLine('\na streamed completion:');
  printLine((await answer.text()).trim());
  printLine(await control('explain', answer.headers.get('x-request-id') ?? ''));
}

async function demonstratePlainCall(
  clientAddress: string,
  control: Control,
): Promise<void> {
  const answer = await fetch(
    `http://${clientAddress}/v1/services/dive-log/dives`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${DEMO_KEY}`,
        'content-type': 'application/json',
        'idempotency-key': uuidV7(),
      },
      body: JSON.stringify({diver: 'Aino', minutes: 42}),
    },
  );
  printLine('\na call that may not be repeated:');
  printLine(await answer.text());
  printLine(await control('explain', answer.headers.get('x-request-id') ?? ''));
}

async function stopEverything(): Promise<void> {
  printLine('stopping');
  for (const {child, name} of [...startedProcesses].reverse()) {
    if (name.startsWith('entry-')) {
      child.kill('SIGTERM');
    }
  }
  const entries = startedProcesses.filter(({name}) =>
    name.startsWith('entry-'),
  );
  const codes = await Promise.all(entries.map(({exited}) => exited));
  for (const {child, name} of startedProcesses) {
    if (!name.startsWith('entry-')) {
      child.kill('SIGTERM');
    }
  }
  await Promise.all(startedProcesses.map(({exited}) => exited));
  printLine(`entry hosts ended with codes ${codes.join(', ')}`);
  process.exit(codes.every(code => code === 0) ? 0 : 1);
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function pathOf(relative: string): string {
  return fileURLToPath(new URL(relative, import.meta.url));
}
