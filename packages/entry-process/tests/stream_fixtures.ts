/** Streams of engines of several software versions that break off and are taken up. */
import {RoutedEngineStandIn} from '@lacewingwinch/stand-ins';
import {expect} from 'vitest';

import type {Answer, RoutedInstallation} from './routed_fixtures.js';

/** The engines of an installation, by software version, and their streams. */
export class VersionedStreams {
  constructor(private readonly installation: RoutedInstallation) {}

  /** Lists an engine of the streaming service, starting it if it is new. */
  async listEngine(
    upstreamId: string,
    version: string,
  ): Promise<RoutedEngineStandIn> {
    const {engines, store} = this.installation;
    const existing = engines.find(engine => engine.upstreamId === upstreamId);
    const engine = existing ?? new RoutedEngineStandIn(upstreamId);
    if (existing === undefined) {
      engine.isStreamed = true;
      await engine.listen();
      engines.push(engine);
    }
    engine.softwareVersion = version;
    store.put('keyed.servers', upstreamId, engine.entry('engines'));
    return engine;
  }

  /** Removes an upstream from the list. */
  withdraw(upstreamId: string): void {
    this.installation.store.put('keyed.servers', upstreamId, undefined);
  }

  /** Returns the software versions of the engines that ran `attemptId`. */
  versionsThatRan(attemptId: string): readonly string[] {
    return this.installation.engines
      .flatMap(({ran}) => ran)
      .filter(request => request.attemptId === attemptId)
      .map(({softwareVersion}) => softwareVersion);
  }

  /** Breaks off the first attempt at each engine; a continuation is answered. */
  breakOffFirstAttempts(): void {
    for (const engine of this.installation.engines) {
      engine.breaksOffFirstAttempts = true;
    }
  }

  /** Starts a stream that breaks off, at host `host`; returns its last id. */
  async startBrokenStream(attemptId: string, host: number): Promise<string> {
    const answer = await this.installation.call(
      {path: `/resumed/${attemptId}`, attemptId},
      this.installation.callers[host],
    );
    expect(answer.isBroken).toBe(true);
    return lastIdOf(answer);
  }

  /** Takes up a stream at host `host`. */
  takeUp(
    attemptId: string,
    lastEventId: string,
    host: number,
  ): Promise<Answer> {
    return this.installation.call(
      {
        path: `/resumed/${attemptId}`,
        attemptId: `${attemptId}-again`,
        headers: {'last-event-id': lastEventId, resumes: attemptId},
      },
      this.installation.callers[host],
    );
  }
}

function lastIdOf({body}: Answer): string {
  return [...body.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? '0';
}

/** Makes an attempt that breaks off end the answer. */
export function withSingleAttempts(timeoutMs = 2000): object {
  return {
    version: 4,
    routes: ['resumed', 'stream'].map(name => ({
      name,
      host: 'host.example',
      pathPrefix: `/${name}/`,
      kind: 'streaming',
      service: 'engines',
      timeoutMs,
      targetLatencyMs: 200,
      priority: 1,
      maxAttempts: 1,
      streamResumption: name === 'resumed',
    })),
    services: [{name: 'engines', connectionLimit: 500}],
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 1000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'tenant', apiKeys: ['key-1']}],
  };
}
