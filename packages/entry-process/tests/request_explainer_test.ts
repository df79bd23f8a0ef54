/** Tests of the explanation of requests that are not sent. */
import type {RoutedResponder} from '@lacewingwinch/callers';
import type {
  ExplainedRequest,
  RequestExplanation,
  UpstreamAnnouncements,
} from '@lacewingwinch/decisions';
import {createPeerClient} from '@lacewingwinch/entry-hosts';
import {callRouted} from '@lacewingwinch/stand-ins';
import {beforeEach, describe, expect, it, vi} from 'vitest';

import type {RoutedTasks} from '../src/routed_interface/lifecycle/routed_tasks.js';
import {servingMember} from './host_fixtures.js';
import {RoutedInstallation} from './routed_fixtures.js';
import {createIdleTasks, IDLE_UPSTREAM} from './routed_tasks_fixture.js';
import {snapshotOf} from './state_snapshot.js';

const HOST = 'host.example';
const SECRET = 'key-1';

const REQUEST: ExplainedRequest = {
  host: HOST,
  path: '/again/1',
  workspace: {kind: 'key', key: SECRET},
  attemptId: 'a',
  bodyBytes: 0,
  parts: [],
  answerTokens: 0,
};

function explain(
  tasks: RoutedTasks,
  request: Partial<ExplainedRequest>,
): RequestExplanation {
  const answer = tasks.explainer.explain({...REQUEST, ...request});
  if (answer.kind === 'invalid') {
    throw new Error(answer.fault);
  }
  return answer.explanation;
}

/** Sends a request to the front; returns the refusal that the client gets. */
async function serve(
  tasks: RoutedTasks,
  {host, path, parts, promptTokens, answerTokens}: ExplainedRequest,
  key: string | undefined,
): Promise<{readonly status: number; readonly retryAfter: number}> {
  let status = 0;
  let retryAfter = 0;
  const responder: RoutedResponder = {
    hasBegun: false,
    sendComplete: (sentStatus, headers) => {
      status = sentStatus;
      retryAfter = Number(headers[headers.indexOf('retry-after') + 1]);
    },
    begin: () => undefined,
    write: () => true,
    onDrain: () => undefined,
    end: () => undefined,
    abort: () => undefined,
  };
  await tasks.front.serve(
    {
      method: 'GET',
      target: path,
      path,
      host,
      headers: {
        'x-attempt-id': 'a',
        ...(key !== undefined && {authorization: `token ${key}`}),
        ...(promptTokens !== undefined && {
          'x-token-count': `${promptTokens},${answerTokens}`,
        }),
        'x-prompt-prefix': parts
          .map(({partId, tokens}) => `${partId}:${tokens}`)
          .join(','),
      },
      rawHeaders: [],
      body: Buffer.alloc(0),
      clientDisconnected: new AbortController().signal,
    },
    responder,
  );
  return {status, retryAfter};
}

/** Records that an upstream wants no requests for some seconds. */
function recordPause(
  tasks: RoutedTasks,
  upstreamId: string,
  seconds: number,
): void {
  // The announcements are those by which requests are placed.
  const {announcements} = tasks as unknown as {
    readonly announcements: UpstreamAnnouncements;
  };
  announcements.record(
    {...IDLE_UPSTREAM, upstreamId},
    {kind: 'paused', milliseconds: seconds * 1000},
    tasks.clocks.suspensionAware(),
  );
}

describe('the explanation of a request', () => {
  let tasks: RoutedTasks;

  beforeEach(() => {
    tasks = createIdleTasks();
  });

  const cases: readonly {
    readonly name: string;
    readonly request?: Partial<ExplainedRequest>;
    readonly key?: string;
    readonly arrange?: () => void;
    readonly error: string;
  }[] = [
    {
      name: 'a path without a rule',
      request: {path: '/nowhere'},
      error: 'path-unknown',
    },
    {
      name: 'an unknown host',
      request: {host: 'other.example'},
      error: 'path-unknown',
    },
    {
      name: 'an unknown key',
      request: {workspace: {kind: 'key', key: 'key-9'}},
      key: 'key-9',
      error: 'workspace-key-rejected',
    },
    {
      name: 'more than is left of the quota',
      request: {
        workspace: {kind: 'name', name: 'limited'},
        promptTokens: 500,
      },
      key: 'key-3',
      arrange: () => {
        tasks.quotas.takeForPeer('limited', tasks.quotaOf('limited'), 500);
      },
      error: 'limit-exceeded',
    },
    {
      name: 'upstreams that all request a long pause',
      arrange: () => {
        for (const upstreamId of ['i-0', 'i-1']) {
          recordPause(tasks, upstreamId, 60);
        }
      },
      error: 'overloaded',
    },
    {
      name: 'a prompt part that crashed three upstreams',
      request: {
        parts: [
          {partId: 'hot', tokens: 10},
          {partId: 'own', tokens: 1},
        ],
        promptTokens: 11,
      },
      arrange: () => {
        for (const millisecondsAgo of [5000, 3000, 1000]) {
          const upstreamId = `i-${millisecondsAgo}`;
          const crashed = {service: 'plain', upstreamId, bornAt: 5};
          tasks.parts.recordCrash(crashed, ['hot'], millisecondsAgo);
        }
      },
      error: 'prompt-part-quarantined',
    },
    {
      name: 'a service without upstreams',
      request: {path: '/stream/1'},
      error: 'no-upstream',
    },
  ];

  it.each(cases)(
    'says why it would be refused, as the host then does: $name',
    async ({request = {}, key = SECRET, arrange, error}) => {
      arrange?.();
      const {outcome} = explain(tasks, request);
      expect(outcome).toMatchObject({kind: 'refused', error});
      if (outcome.kind !== 'refused') {
        return;
      }
      const answer = await serve(tasks, {...REQUEST, ...request}, key);
      expect(answer.status).toBe(outcome.status);
      if (outcome.retryAfter !== undefined) {
        const {leastSeconds, mostSeconds} = outcome.retryAfter;
        // Quotas are refilled and pauses pass meanwhile.
        expect(answer.retryAfter).toBeGreaterThan(leastSeconds - 0.5);
        expect(answer.retryAfter).toBeLessThan(mostSeconds + 0.01);
      }
    },
  );

  it.each([
    ...cases,
    {name: 'a request that would be sent'},
    {
      name: 'a request of a limited workspace that would be sent',
      request: {
        workspace: {kind: 'name', name: 'limited'},
        promptTokens: 1,
      } as const,
    },
  ])(
    'changes nothing that the host knows: $name',
    async ({request = {}, ...rest}) => {
      // Any request makes the host list its members, which it keeps.
      await serve(tasks, {...REQUEST, path: '/stream/1'}, SECRET);
      if ('arrange' in rest) {
        rest.arrange();
      }
      const before = snapshotOf(tasks);
      explain(tasks, request);
      expect(snapshotOf(tasks)).toEqual(before);
    },
  );

  it('names the rules up to the match, the terms and the upstreams', () => {
    const explanation = explain(tasks, {path: '/once/1'});
    expect(explanation).toMatchObject({
      hostId: 'host-0',
      configurationVersion: 3,
      terms: {service: 'plain', workspace: 'tenant', rank: 1},
      placement: {shards: [{decidedBy: {kind: 'dispatcher'}}]},
      outcome: {kind: 'sent'},
    });
    expect(explanation.rules.at(-1)).toMatchObject({
      name: 'once',
      isMatch: true,
    });
    const considered = explanation.placement?.shards[0]?.considered ?? [];
    expect(considered.map(({upstreamId}) => upstreamId).sort()).toEqual([
      'i-0',
      'i-1',
    ]);
  });

  it('names the host that carries requests to an upstream out of reach', () => {
    const carrier = servingMember('host-7');
    vi.spyOn(tasks.paths, 'nextWay').mockReturnValue({
      kind: 'carried',
      carrier,
    });
    const {placement} = explain(tasks, {});
    expect(placement?.shards[0]?.considered[0]?.carriedBy).toBe('host-7');
  });

  it('says what is left of a quota', () => {
    const {quota} = explain(tasks, {
      workspace: {kind: 'name', name: 'limited'},
      promptTokens: 1,
    });
    expect(quota).toMatchObject({kind: 'held', unit: 'tokens', amount: 1});
  });

  it('never contains a key', () => {
    const explanations = [
      explain(tasks, {}),
      explain(tasks, {workspace: {kind: 'name', name: 'tenant'}}),
      explain(tasks, {workspace: {kind: 'key', key: 'key-9'}}),
    ];
    expect(JSON.stringify(explanations)).not.toMatch(/key-\d/);
  });

  it.each([
    {name: 'nobody', fault: 'no workspace is named nobody'},
    {name: 'keyless', fault: 'the workspace keyless has no key'},
  ])('is not given for the workspace $name', ({name, fault}) => {
    const workspace = {kind: 'name', name} as const;
    expect(tasks.explainer.explain({...REQUEST, workspace})).toEqual({
      kind: 'invalid',
      fault,
    });
  });
});

describe('a host that is queried over the peer interface', () => {
  it('names the upstream that then gets the request', async () => {
    const installation = await RoutedInstallation.start();
    const peers = createPeerClient();
    try {
      await installation.startProcess();
      const [address = ''] = installation.peers;
      const answer = await peers.call(
        address,
        'request.explain',
        {...REQUEST, attemptId: 'attempt-x'},
        3000,
      );
      expect(installation.engines.flatMap(({ran}) => ran)).toEqual([]);
      await callRouted({
        address: installation.callers[0] ?? '',
        path: REQUEST.path,
        attemptId: 'attempt-x',
        key: SECRET,
        deadline: 1500,
        body: '',
        headers: {},
        agent: false,
        onRequest: () => undefined,
      });
      const [engine] = installation.engines.filter(({ran}) => ran.length > 0);
      expect(answer).toMatchObject({
        kind: 'explained',
        otherHosts: [],
        explanation: {
          outcome: {kind: 'sent', upstreamId: engine?.upstreamId},
        },
      });
    } finally {
      peers.close();
      await installation.stop();
    }
  });
});
