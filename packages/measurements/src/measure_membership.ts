/**
 * Membership at several sizes: bytes and processor time of a host, the time
 * until a leave and a crash are known everywhere, and false suspicions.
 */
import {
  type Member,
  Membership,
  PROBE_PERIOD_MILLISECONDS,
} from '@lacewingwinch/decisions';

import {randomFrom} from './random_numbers.js';

const SIZES = [8, 32, 128, 360] as const;

/** Share of the messages that are lost. */
const LOSS = 0.01;

/** Virtual milliseconds of each part of a run. */
const WARM_UP = 20_000;
const STEADY = 30_000;
const LIMIT = 60_000;

/** Bytes of a digest besides its members, with 10 loads and 5 demands. */
const REST_OF_DIGEST_BYTES = 900;

/** Bytes of the frame of a JSON-RPC message. */
const FRAME_BYTES = 60;

interface Host {
  readonly membership: Membership;
  readonly phase: number;
  isAlive: boolean;
  isFrozen: boolean;
  bytes: number;
}

/** Measures membership. */
export function measureMembership(): Promise<unknown> {
  return Promise.resolve(SIZES.map(size => measureSize(size)));
}

function measureSize(size: number): unknown {
  const random = randomFrom(size);
  const hosts = createHosts(size, random);
  let now = run(hosts, 0, WARM_UP, random);
  hosts.forEach(host => {
    host.bytes = 0;
  });
  const started = process.cpuUsage();
  now = run(hosts, now, STEADY, random);
  const used = process.cpuUsage(started);
  const hostSeconds = (size * STEADY) / 1000;
  const bytes = hosts.reduce((sum, host) => sum + host.bytes, 0) / hostSeconds;
  const core = (used.user + used.system) / 1e6 / hostSeconds;
  const falseSuspicions = countStatus(hosts, 'gone');
  const [leaver, crasher, frozen] = hosts;
  leaver?.membership.declare('leaving', now);
  const leaveKnown = timeUntil(hosts, now, random, 'host-0', 'leaving');
  if (crasher !== undefined) {
    crasher.isAlive = false;
  }
  const crashKnown = timeUntil(
    hosts,
    now + leaveKnown,
    random,
    'host-1',
    'gone',
  );
  if (frozen !== undefined) {
    frozen.isFrozen = true;
  }
  const thaw = run(hosts, now + leaveKnown + crashKnown, 10_000, random);
  if (frozen !== undefined) {
    frozen.isFrozen = false;
  }
  const back = timeUntil(hosts, thaw, random, 'host-2', 'serving');
  const wronglyGone = countStatus(hosts, 'gone') - 1;
  process.stdout.write(
    `${size} hosts: ${bytes.toFixed(0)} bytes and ${(core * 100).toFixed(3)}% of a core a host a second; ` +
      `leave known after ${(leaveKnown / 1000).toFixed(1)} s by gossip alone, crash after ${(crashKnown / 1000).toFixed(1)} s; ` +
      `wrongly gone with 1% loss: ${falseSuspicions}; thawed host back after ${(back / 1000).toFixed(1)} s, wrongly gone after: ${wronglyGone}\n`,
  );
  return {
    size,
    bytesPerSecond: bytes,
    coreShare: core,
    leaveKnownSeconds: leaveKnown / 1000,
    crashKnownSeconds: crashKnown / 1000,
    falseSuspicions,
    thawedBackSeconds: back / 1000,
    wronglyGone,
  };
}

function createHosts(size: number, random: () => number): readonly Host[] {
  const members = Array.from({length: size}, (_, index): Member => ({
    hostId: `host-${index}`,
    failureDomain: `domain-${index % 16}`,
    addresses: {
      callers: `10.0.0.${index}:8080`,
      peers: `10.0.0.${index}:8081`,
      operators: `10.0.0.${index}:8082`,
    },
    incarnation: 1_800_000_000_000,
    status: 'serving',
  }));
  const first = members[0];
  return members.map(member => {
    const membership = new Membership(member, 0);
    if (first !== undefined) {
      membership.merge([first], 0);
    }
    return {
      membership,
      phase: Math.floor(random() * PROBE_PERIOD_MILLISECONDS),
      isAlive: true,
      isFrozen: false,
      bytes: 0,
    };
  });
}

function run(
  hosts: readonly Host[],
  from: number,
  milliseconds: number,
  random: () => number,
): number {
  for (let now = from; now < from + milliseconds; now += 10) {
    step(hosts, now, random);
  }
  return from + milliseconds;
}

function step(hosts: readonly Host[], now: number, random: () => number): void {
  for (const host of hosts) {
    const isDue =
      Math.floor((now - host.phase) / 10) % (PROBE_PERIOD_MILLISECONDS / 10) ===
      0;
    if (isDue && host.isAlive && !host.isFrozen) {
      probe(hosts, host, now, random);
      host.membership.expire(now);
    }
  }
}

function probe(
  hosts: readonly Host[],
  host: Host,
  now: number,
  random: () => number,
): void {
  const target = host.membership.nextProbe(random);
  if (target === undefined || exchange(hosts, host, target, now, random)) {
    return;
  }
  const helpers = host.membership.indirectProbers(target.hostId, random);
  const isAnswered = helpers.some(helper => {
    const via = hostOf(hosts, helper.hostId);
    return (
      via !== undefined &&
      exchange(hosts, host, helper, now, random) &&
      exchange(hosts, via, target, now, random)
    );
  });
  if (!isAnswered) {
    host.membership.suspect(target.hostId, now);
  }
}

function exchange(
  hosts: readonly Host[],
  from: Host,
  target: Member,
  now: number,
  random: () => number,
): boolean {
  const to = hostOf(hosts, target.hostId);
  const request = digestOf(from, undefined);
  from.bytes += bytesOf(request);
  const isLost = random() < LOSS || to?.isAlive !== true || to.isFrozen;
  if (isLost) {
    return false;
  }
  to.membership.merge(request, now);
  const answer = digestOf(to, to.membership.find(from.membership.own.hostId));
  to.bytes += bytesOf(answer);
  if (random() < LOSS) {
    return false;
  }
  from.membership.merge(answer, now);
  return true;
}

function digestOf(host: Host, extra: Member | undefined): readonly Member[] {
  const own = host.membership.own;
  const others = host.membership
    .takeUpdates()
    .filter(({hostId}) => hostId !== own.hostId);
  return [own, ...(extra === undefined ? [] : [extra]), ...others];
}

function bytesOf(members: readonly Member[]): number {
  return JSON.stringify(members).length + REST_OF_DIGEST_BYTES + FRAME_BYTES;
}

function hostOf(hosts: readonly Host[], hostId: string): Host | undefined {
  return hosts[Number(hostId.slice('host-'.length))];
}

function countStatus(hosts: readonly Host[], status: Member['status']): number {
  const seen = hosts
    .filter(({isAlive}) => isAlive)
    .flatMap(({membership}) => membership.all())
    .filter(member => member.status === status);
  return new Set(seen.map(({hostId}) => hostId)).size;
}

function timeUntil(
  hosts: readonly Host[],
  from: number,
  random: () => number,
  hostId: string,
  status: Member['status'],
): number {
  const isKnown = (): boolean =>
    hosts
      .filter(({isAlive}) => isAlive)
      .every(({membership}) => membership.find(hostId)?.status === status);
  let now = from;
  while (!isKnown() && now < from + LIMIT) {
    step(hosts, now, random);
    now += 10;
  }
  return now - from;
}
