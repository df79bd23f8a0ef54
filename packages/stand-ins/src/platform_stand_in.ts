/**
 * Stand-in for the platform: log service, host list and cloud API on one port,
 * with faults that tests switch on.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';

import {
  delay,
  ListeningStandIn,
  readJson,
  urlOf,
  writeJson,
} from './http_stand_in.js';
import {LogStandIn} from './log_stand_in.js';

/** An entry of the host list. */
export interface StandInHost {
  readonly id: string;
  readonly role: 'entry' | 'upstream';
  readonly status: 'leaving' | 'live';
  readonly failureDomain: string;
  readonly hostClass: 'on-demand' | 'reclaimable';
  readonly pricePerHour: number;
  readonly service: string;
  readonly address: string;
}

/** A desired number of hosts, as sent to the cloud API. */
export interface StandInOrder {
  readonly service: string;
  readonly hostClass: string;
  readonly failureDomain: string;
  readonly count: number;
  readonly fencingNumber: number;
}

/** State of the host list from `time` on, in milliseconds since the epoch. */
interface DatedHosts {
  readonly time: number;
  readonly hosts: readonly StandInHost[];
}

/** An in-memory platform. */
export class PlatformStandIn extends ListeningStandIn {
  readonly log = new LogStandIn();
  /** Milliseconds by which the served host list lags behind `hosts`. */
  hostListLagMilliseconds = 0;
  /** Whether the host list and the cloud API answer with status 503. */
  isDown = false;
  /** Whether the cloud API starts no hosts. */
  isRefusingStarts = false;
  /** Number of further orders that take effect without an answer. */
  orderAnswersToLose = 0;
  /** Hosts started by orders, by service, host class and failure domain. */
  readonly started = new Map<string, number>();
  readonly orders: StandInOrder[] = [];
  private readonly history: DatedHosts[] = [{time: 0, hosts: []}];
  private readonly notices: {hostId: string; reclaimTime: number}[] = [];
  private highestFencingNumber = -1;

  /** Base URL of all the services. */
  get url(): string {
    return `http://${this.address}`;
  }

  /** The current hosts; the served list may lag behind. */
  get hosts(): readonly StandInHost[] {
    return this.history.at(-1)?.hosts ?? [];
  }

  /** Adds `host` to the list or replaces the entry with its id. */
  addHost(host: StandInHost): void {
    const others = this.hosts.filter(({id}) => id !== host.id);
    this.history.push({time: Date.now(), hosts: [...others, host]});
  }

  /** Removes a host from the list. */
  removeHost(id: string): void {
    const others = this.hosts.filter(host => host.id !== id);
    this.history.push({time: Date.now(), hosts: others});
  }

  /** Marks a host as leaving and publishes the notice of its reclaim. */
  reclaim(hostId: string, noticeMilliseconds: number): void {
    const host = this.hosts.find(({id}) => id === hostId);
    if (host !== undefined) {
      this.addHost({...host, status: 'leaving'});
    }
    this.notices.push({
      hostId,
      reclaimTime: Date.now() + noticeMilliseconds,
    });
  }

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {pathname} = urlOf(message);
    const stream = /^\/streams\/([^/]+)\/records$/.exec(pathname);
    if (stream?.[1] !== undefined) {
      await this.log.handle(stream[1], message, response);
      return;
    }
    if (pathname.startsWith('/control/')) {
      await this.handleControl(pathname, message, response);
      return;
    }
    if (this.isDown) {
      writeJson(response, 503, {});
      return;
    }
    await this.handlePlatform(pathname, message, response);
  }

  private async handlePlatform(
    pathname: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    switch (pathname) {
      case '/hosts':
        writeJson(response, 200, {hosts: this.listedHosts()});
        return;
      case '/notices':
        await this.handleNotices(message, response);
        return;
      case '/offers':
        writeJson(response, 200, {offers: this.offers()});
        return;
      case '/wanted':
        await this.handleOrder(message, response);
        return;
      default:
        writeJson(response, 404, {});
    }
  }

  private listedHosts(): readonly StandInHost[] {
    const listTime = Date.now() - this.hostListLagMilliseconds;
    const visible = this.history.filter(({time}) => time <= listTime);
    return visible.at(-1)?.hosts ?? [];
  }

  private async handleNotices(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const query = urlOf(message).searchParams;
    const after = Number(query.get('after') ?? 0);
    const until = Date.now() + Number(query.get('wait') ?? 0);
    while (this.notices.length <= after && Date.now() < until) {
      await delay(20);
    }
    writeJson(response, 200, {
      notices: this.notices.slice(after),
      next: this.notices.length,
    });
  }

  private offers(): readonly unknown[] {
    const domains = [...new Set(this.hosts.map(host => host.failureDomain))];
    return domains.sort().flatMap((failureDomain, index) => [
      {hostClass: 'reclaimable', failureDomain, pricePerHour: 1 + index / 10},
      {hostClass: 'on-demand', failureDomain, pricePerHour: 3 + index / 10},
    ]);
  }

  private async handleOrder(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const order = (await readJson(message)) as unknown as StandInOrder;
    if (order.fencingNumber < this.highestFencingNumber) {
      writeJson(response, 409, {});
      return;
    }
    this.highestFencingNumber = order.fencingNumber;
    this.orders.push(order);
    if (this.isRefusingStarts) {
      writeJson(response, 200, {started: 0});
      return;
    }
    const key = `${order.service}/${order.hostClass}/${order.failureDomain}`;
    const missingHosts = Math.max(
      0,
      order.count - (this.started.get(key) ?? 0),
    );
    this.started.set(key, (this.started.get(key) ?? 0) + missingHosts);
    if (this.orderAnswersToLose > 0) {
      this.orderAnswersToLose -= 1;
      response.destroy();
      return;
    }
    writeJson(response, 200, {started: this.started.get(key) ?? 0});
  }

  private async handleControl(
    pathname: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(message);
    switch (pathname) {
      case '/control/hosts':
        this.addHost(body as unknown as StandInHost);
        break;
      case '/control/reclaim':
        this.reclaim(
          String(body['hostId']),
          Number(body['noticeMilliseconds']),
        );
        break;
      case '/control/log':
        Object.assign(this.log.faults, body);
        break;
      default:
        writeJson(response, 404, {});
        return;
    }
    writeJson(response, 200, {});
  }
}
