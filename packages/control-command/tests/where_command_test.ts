/** Tests of `lacewingctl where`. */
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {ClientMemory, type ExplainedRequest} from '@lacewingwinch/decisions';
import {
  type ExplanationAnswer,
  listenForPeers,
  PeerError,
  type PeerServer,
} from '@lacewingwinch/entry-hosts';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  explainAt,
  explainAtAll,
  readExplainedRequest,
  renderExplanation,
  renderFleetExplanation,
  UsageError,
} from '../src/index.js';
import {EXPLANATION, REFUSED} from './explanation_fixtures.js';

const MAIN = fileURLToPath(new URL('../dist/main.js', import.meta.url));
const SECRET = 'top-secret-key';

const OTHERS = [
  {hostId: 'host-1', address: 'host-1'},
  {hostId: 'host-2', address: 'host-2'},
];

/** What the hosts answer, by address. */
const ANSWERS: Readonly<Record<string, ExplanationAnswer>> = {
  'host-0': {
    kind: 'explained',
    explanation: EXPLANATION,
    otherHosts: OTHERS,
  },
  'host-1': {kind: 'explained', explanation: REFUSED, otherHosts: []},
  'host-9': {kind: 'invalid', fault: 'no workspace is named nobody'},
};

const peers = {
  call: (address: string) => {
    const answer = ANSWERS[address];
    return answer === undefined
      ? Promise.reject(new PeerError('unreachable', 'no connection'))
      : Promise.resolve(answer);
  },
} as unknown as Parameters<typeof explainAt>[0];

const REQUEST: ExplainedRequest = {
  host: 'host.example',
  path: '/again/1',
  workspace: {kind: 'none'},
  attemptId: 'a',
  bodyBytes: 0,
  parts: [],
  answerTokens: 0,
};

let folder: string;
let keyFile: string;

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'lacewingwinch-'));
  keyFile = join(folder, 'key');
  await writeFile(keyFile, `${SECRET}\n`);
});

afterAll(() => rm(folder, {recursive: true}));

describe('the arguments', () => {
  it('describe the request', async () => {
    const request = await readExplainedRequest('host.example', '/again/1', {
      workspace: 'tenant',
      parts: 'a:800, b:20',
      deadline: 1500,
      attempt: 7,
    });
    expect(request).toEqual({
      host: 'host.example',
      path: '/again/1',
      workspace: {kind: 'name', name: 'tenant'},
      attemptId: '7',
      bodyBytes: 0,
      parts: [
        {partId: 'a', tokens: 800},
        {partId: 'b', tokens: 20},
      ],
      promptTokens: 820,
      answerTokens: 0,
      deadlineMilliseconds: 1500,
    });
  });

  it('take a key from a file', async () => {
    const request = await readExplainedRequest('h', '/', {keyFile});
    expect(request.workspace).toEqual({kind: 'key', key: SECRET});
  });

  it.each([
    {name: 'parts without tokens', flags: {parts: 'a'}, fault: '--parts: "a"'},
    {name: 'an empty part', flags: {parts: 'a:1,'}, fault: '--parts: ""'},
    {name: 'negative tokens', flags: {parts: 'a:-1'}, fault: '--parts: "a:-1"'},
    {
      name: 'a number of tokens that is none',
      flags: {answerTokens: 'many'},
      fault: '--answer-tokens: ',
    },
    {
      name: 'a negative deadline',
      flags: {deadline: -1},
      fault: '--deadline: ',
    },
    {
      name: 'a file that is missing',
      flags: {keyFile: 'none/such'},
      fault: 'none/such: cannot be read',
    },
    {
      name: 'a name and a key',
      flags: {keyFile: 'k', workspace: 'w'},
      fault: 'exclude each other',
    },
  ])('are refused with $name', async ({flags, fault}) => {
    const reading = readExplainedRequest('h', '/', flags);
    await expect(reading).rejects.toThrow(UsageError);
    await expect(reading).rejects.toThrow(fault);
  });

  it('are refused with a path without a slash', async () => {
    await expect(readExplainedRequest('h', 'again', {})).rejects.toThrow(
      'does not begin with a slash',
    );
  });
});

describe('the text of an explanation', () => {
  it('has every step', () => {
    const text = renderExplanation(EXPLANATION);
    expect(text.split('\n')).toEqual([
      'host-0: would be sent to i-1',
      '  configuration 3, confirmed 120 ms ago',
      '  rules: long (/again/long/) does not match, again (/again/) matches',
      '  service engines, workspace tenant, rank 1, 2000 ms for the answer, objective 200 ms',
      '  quota: takes 1000 tokens of 4000 here (at most 6000); also held by host-1',
      '  version: any',
      '  shard engines, dispatched by this host: i-1, first output after 40 ± 8 ms',
      '    i-1 (north, v1): 75.0%, cost 44 ms, start 40 ms, wait 12 ms, read 25 ms at 40.0 tokens/ms, 800 tokens cached, 2 running, load 40 ms old',
      '    i-2 left out: paused, 300 ms',
    ]);
  });

  it('says that another host decides, and by way of which host', () => {
    const [shard] = EXPLANATION.placement?.shards ?? [];
    const [upstream] = shard?.considered ?? [];
    if (shard === undefined || upstream === undefined) {
      throw new Error('the explanation has no upstream');
    }
    const text = renderExplanation({
      ...EXPLANATION,
      placement: {
        shards: [
          {
            ...shard,
            decidedBy: {kind: 'other-host', hostId: 'host-2', isCalled: true},
            considered: [{...upstream, carriedBy: 'host-7'}],
          },
        ],
        result: shard.result,
      },
    });
    expect(text).toMatch(/^host-0, by what it knows itself: would be sent/);
    expect(text).toContain('dispatched by host-2; without it, this host says');
    expect(text).toContain('by way of host-7');
  });

  it('has the times between which refused clients return', () => {
    expect(renderExplanation(REFUSED)).toContain(
      'would be refused with overloaded (503): the first event would take 900 ms; Retry-After 0.35 to 1.05 s',
    );
  });
});

describe('all hosts', () => {
  it('are shown with their differences first, and those that are silent', async () => {
    const fleet = await explainAtAll(peers, 'host-0', REQUEST);
    expect(fleet.differences).toContainEqual({
      point: 'outcome',
      values: [
        {value: 'sent to i-1', hostIds: ['host-0']},
        {value: 'refused with overloaded', hostIds: ['host-1']},
      ],
    });
    expect(fleet.differences).toContainEqual({
      point: 'configuration',
      values: [
        {value: '3', hostIds: ['host-0']},
        {value: '2', hostIds: ['host-1']},
      ],
    });
    const text = renderFleetExplanation(fleet);
    expect(text).toMatch(/^hosts differ in the outcome:/);
    expect(text).toContain('host-2: host-2 gives no explanation');
  });

  it('are said to agree if they do', () => {
    const host = {kind: 'explained', explanation: EXPLANATION} as const;
    const text = renderFleetExplanation({differences: [], hosts: [host]});
    expect(text).toMatch(/^all hosts that answered agree/);
  });
});

describe('a host', () => {
  it.each([
    {
      name: 'is silent',
      address: 'host-2',
      error: Error,
      fault: 'no connection',
    },
    {
      name: 'does not know the workspace',
      address: 'host-9',
      error: UsageError,
      fault: 'no workspace is named nobody',
    },
  ])('that $name gives an error', async ({address, error, fault}) => {
    const asking = explainAt(peers, address, REQUEST);
    await expect(asking).rejects.toThrow(error);
    await expect(asking).rejects.toThrow(fault);
  });
});

describe('the program', () => {
  let server: PeerServer;
  let answer: ExplanationAnswer;
  let asked: ExplainedRequest | undefined;

  beforeAll(async () => {
    server = await listenForPeers({
      host: '127.0.0.1',
      port: 0,
      bounds: {
        maximumConnections: Infinity,
        memory: new ClientMemory({
          clientBytes: Infinity,
          largestClientBytes: Infinity,
          requestBytes: Infinity,
        }),
        turns: {
          isSpent: false,
          record: () => undefined,
          add: turn => void setImmediate(turn),
          remove: () => undefined,
        },
        clock: () => performance.now(),
        onRefused: () => undefined,
      },
      handlers: {
        'request.explain': request => {
          asked = request;
          return answer;
        },
      },
    });
  });

  afterAll(() => server.close());

  function run(...given: readonly string[]): Promise<{
    readonly code: number;
    readonly output: string;
    readonly errors: string;
  }> {
    const flags = ['where', 'host.example', '/again/1', ...given];
    return new Promise(resolve => {
      execFile(process.execPath, [MAIN, ...flags], (error, output, errors) => {
        const code = typeof error?.code === 'number' ? error.code : 0;
        resolve({code, output, errors});
      });
    });
  }

  function runHere(...given: readonly string[]): ReturnType<typeof run> {
    return run(`--peer-address=127.0.0.1:${server.port}`, ...given);
  }

  it.each([
    {name: 'sent', explanation: EXPLANATION, code: 0},
    {name: 'refused', explanation: REFUSED, code: 1},
  ])(
    'prints JSON and ends with $code if the request would be $name',
    async ({explanation, code}) => {
      answer = {kind: 'explained', explanation, otherHosts: []};
      const result = await runHere('--json', '--parts=a:5');
      expect(JSON.parse(result.output)).toEqual(explanation);
      expect(result.code).toBe(code);
      expect(asked).toMatchObject({promptTokens: 5, path: '/again/1'});
    },
  );

  it('sends a key and never prints it', async () => {
    answer = {kind: 'explained', explanation: EXPLANATION, otherHosts: []};
    const result = await runHere(`--key-file=${keyFile}`, '--all');
    expect(asked?.workspace).toEqual({kind: 'key', key: SECRET});
    expect(result.output + result.errors).not.toContain(SECRET);
    expect(result.output).toMatch(/^all hosts that answered agree/);
  });

  it.each([
    {
      name: 'no address',
      given: [],
      code: 2,
      error: '--peer-address (LACEWINGWINCH_PEER_ADDRESS): is missing',
    },
    {
      name: 'malformed parts',
      given: ['--peer-address=127.0.0.1:1', '--parts=a'],
      code: 2,
      error: '--parts: "a" is not an id and a number of tokens',
    },
    {
      name: 'a host that does not answer',
      given: ['--peer-address=127.0.0.1:1'],
      code: 1,
      error: '127.0.0.1:1 gives no explanation',
    },
  ])('ends with $code for $name', async ({given, code, error}) => {
    const result = await run(...given);
    expect(result.errors).toContain(error);
    expect(result.code).toBe(code);
  });

  it('ends with 2 for an unknown workspace', async () => {
    answer = {kind: 'invalid', fault: 'no workspace is named nobody'};
    const result = await runHere('--workspace=nobody');
    expect(result.errors).toContain('no workspace is named nobody');
    expect(result.code).toBe(2);
  });
});
