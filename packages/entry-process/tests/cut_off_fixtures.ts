/** An installation whose hosts each have links of their own to the upstreams. */
import {
  LinkProcess,
  RoutedEngineStandIn,
  StoreStandIn,
} from '@lacewingwinch/stand-ins';

import {
  type Answer,
  CONFIGURATION,
  RoutedInstallation,
} from './routed_fixtures.js';

/** A request that a client sent once. */
export interface FirstTry {
  readonly host: number;
  readonly path: string;
  readonly sentAt: number;
  readonly milliseconds: number;
  /** Undefined if the connection failed before an answer began. */
  readonly answer: Answer | undefined;
}

/** Paths of repeatable, at-most-once and streamed requests, in turn. */
const PATHS = ['/again/x', '/resumed/x', '/once/x', '/resumed/y'];

/** Milliseconds between two requests, of all hosts together. */
const REQUEST_PERIOD_MILLISECONDS = 12;

/** Hosts with links of their own, and clients that send to all of them. */
export class CutOffInstallation {
  readonly tries: FirstTry[] = [];
  private readonly sending = new AbortController();

  private constructor(
    readonly installation: RoutedInstallation,
    readonly links: readonly LinkProcess[],
    private readonly stores: readonly StoreStandIn[],
  ) {}

  /** Starts the upstreams, and the hosts with the links between them. */
  static async start(
    hosts: number,
    extraEngines: number,
  ): Promise<CutOffInstallation> {
    const installation = await RoutedInstallation.start();
    const {engines} = installation;
    for (let count = 0; count < extraEngines; count += 1) {
      const engine = new RoutedEngineStandIn(`i-${engines.length}`);
      engine.isStreamed = true;
      await engine.listen();
      engines.push(engine);
    }
    const targets = engines.map(({address}) => address);
    const links: LinkProcess[] = [];
    const stores: StoreStandIn[] = [];
    for (let host = 0; host < hosts; host += 1) {
      const hostLinks = await LinkProcess.start(targets);
      links.push(hostLinks);
      const store = new StoreStandIn();
      await store.listen();
      stores.push(store);
      engines.forEach((engine, index) => {
        const service = engine.isStreamed ? 'engines' : 'plain';
        const address = hostLinks.addresses[index];
        store.put(
          'keyed.servers',
          engine.upstreamId,
          engine.entry(service, {address}),
        );
      });
      store.put('keyed.op', 'config', CONFIGURATION);
      await installation.startProcess({
        seeds: installation.peers.slice(0, 1),
        storeAddress: store.address,
        duties: [],
      });
    }
    await pause(700);
    return new CutOffInstallation(installation, links, stores);
  }

  /** Sends requests to all hosts in turn until the test ends. */
  async sendRequests(): Promise<void> {
    const {signal} = this.sending;
    const {callers} = this.installation;
    for (let count = 0; !signal.aborted; count += 1) {
      const host = count % callers.length;
      const path =
        PATHS[Math.floor(count / callers.length) % PATHS.length] ?? '';
      void this.send(host, path);
      await pause(REQUEST_PERIOD_MILLISECONDS);
    }
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    this.sending.abort();
    await Promise.all(this.links.map(link => link.stop()));
    await this.installation.stop();
    await Promise.all(this.stores.map(store => store.close()));
  }

  private async send(host: number, path: string): Promise<void> {
    const sentAt = Date.now();
    const address = this.installation.callers[host];
    const answer = await this.installation
      .call({path}, address)
      .catch(() => undefined);
    const milliseconds = Date.now() - sentAt;
    this.tries.push({host, path, sentAt, milliseconds, answer});
  }
}

/** Resolves after `milliseconds`. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Returns whether a client got its whole answer. */
export function isServed({answer}: FirstTry): boolean {
  return answer?.status === 200 && !answer.isBroken;
}
