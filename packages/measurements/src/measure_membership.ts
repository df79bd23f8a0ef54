/**
 * Measures membership in fleets of several sizes: bytes and processor time per
 * host, the time until every host knows of a leave and of a crash, and false
 * suspicions.
 */
import {
  type Member,
  Membership,
  PROBE_PERIOD_MILLISECONDS,
} from '@lacewingwinch/decisions';

import {randomFrom} from './random_numbers.js';

/** Numbers of hosts to measure. */
const SIZES = [8, 32, 128, 360] as const;

/** Fraction of the messages that are lost. */
const MESSAGE_LOSS_SHARE = 0.01;

/** Virtual milliseconds before the measurement starts. */
const WARM_UP_MILLISECONDS = 20_000;

/** Virtual milliseconds over which bytes and processor time are measured. */
const STEADY_MILLISECONDS = 30_000;

/** Virtual milliseconds after which a wait for a status ends. */
const STATUS_TIMEOUT_MILLISECONDS = 60_000;

/** Bytes of a digest with 10 loads and 5 demands, without its members. */
const OTHER_DIGEST_BYTES = 900;

/** Bytes of a JSON-RPC message around its parameters. */
const MESSAGE_FRAME_BYTES = 60;

/** A simulated host. */
interface SimulatedHost {
  readonly membership: Membership;
  /** Milliseconds by which the probe period of the host is shifted. */
  readonly phase: number;
  isAlive: boolean;
  /** Whether the process is suspended. */
  isSuspended: boolean;
  /** Bytes sent since the end of the warm-up. */
  bytes: number;
}

/** Measures membership at each size. */
export function measureMembership(): Promise<unknown> {
  return Promise.resolve(SIZES.map(size => measureSize(size)));
}

function measureSize(size: number): unknown {
  const random = randomFrom(size);
  const hosts = createHosts(size, random);
  let now = runFor(hosts, 0, WARM_UP_MILLISECONDS, random);
  hosts.forEach(host => {
    host.bytes = 0;
  });
  const started = process.cpuUsage();
  now = runFor(hosts, now, STEADY_MILLISECONDS, random);
  const used = process.cpuUsage(started);
  const hostSeconds = (size * STEADY_MILLISECONDS) / 1000;
  const bytesPerSecond =
    hosts.reduce((sum, host) => sum + host.bytes, 0) / hostSeconds;
  const coreShare = (used.user + used.system) / 1e6 / hostSeconds;
  const falseSuspicions = countMembersWithStatus(hosts, 'gone');
  const [leavingHost, crashedHost, suspendedHost] = hosts;
  leavingHost?.membership.declare('leaving', now);
  const leaveKnownMilliseconds = timeUntil(
    hosts,
    now,
    random,
    'host-0',
    'leaving',
  );
  if (crashedHost !== undefined) {
    crashedHost.isAlive = false;
  }
  const crashKnownMilliseconds = timeUntil(
    hosts,
    now + leaveKnownMilliseconds,
    random,
    'host-1',
    'gone',
  );
  if (suspendedHost !== undefined) {
    suspendedHost.isSuspended = true;
  }
  const resumedAt = runFor(
    hosts,
    now + leaveKnownMilliseconds + crashKnownMilliseconds,
    10_000,
    random,
  );
  if (suspendedHost !== undefined) {
    suspendedHost.isSuspended = false;
  }
  const backMilliseconds = timeUntil(
    hosts,
    resumedAt,
    random,
    'host-2',
    'serving',
  );
  // The crashed host is the only one that should be gone.
  const wronglyGone = countMembersWithStatus(hosts, 'gone') - 1;
  process.stdout.write(
    `${size} hosts: ${bytesPerSecond.toFixed(0)} bytes and ${(coreShare * 100).toFixed(3)}% of a core a host a second; ` +
      `leave known after ${(leaveKnownMilliseconds / 1000).toFixed(1)} s by gossip alone, crash after ${(crashKnownMilliseconds / 1000).toFixed(1)} s; ` +
      `wrongly gone with 1% loss: ${falseSuspicions}; resumed host back after ${(backMilliseconds / 1000).toFixed(1)} s, wrongly gone after: ${wronglyGone}\n`,
  );
  return {
    size,
    bytesPerSecond,
    coreShare,
    leaveKnownSeconds: leaveKnownMilliseconds / 1000,
    crashKnownSeconds: crashKnownMilliseconds / 1000,
    falseSuspicions,
    thawedBackSeconds: backMilliseconds / 1000,
    wronglyGone,
  };
}

function createHosts(
  size: number,
  random: () => number,
): readonly SimulatedHost[] {
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
      isSuspended: false,
      bytes: 0,
    };
  });
}

/** Simulates `milliseconds` and returns the virtual time at their end. */
function runFor(
  hosts: readonly SimulatedHost[],
  from: number,
  milliseconds: number,
  random: () => number,
): number {
  for (let now = from; now < from + milliseconds; now += 10) {
    step(hosts, now, random);
  }
  return from + milliseconds;
}

function step(
  hosts: readonly SimulatedHost[],
  now: number,
  random: () => number,
): void {
  for (const host of hosts) {
    const isDue =
      Math.floor((now - host.phase) / 10) % (PROBE_PERIOD_MILLISECONDS / 10) ===
      0;
    if (isDue && host.isAlive && !host.isSuspended) {
      probe(hosts, host, now, random);
      host.membership.expire(now);
    }
  }
}

function probe(
  hosts: readonly SimulatedHost[],
  host: SimulatedHost,
  now: number,
  random: () => number,
): void {
  const target = host.membership.nextProbe(random);
  if (target === undefined || exchange(hosts, host, target, now, random)) {
    return;
  }
  const helpers = host.membership.indirectProbers(target.hostId, random);
  const isAnswered = helpers.some(helper => {
    const helperHost = hostOf(hosts, helper.hostId);
    return (
      helperHost !== undefined &&
      exchange(hosts, host, helper, now, random) &&
      exchange(hosts, helperHost, target, now, random)
    );
  });
  if (!isAnswered) {
    host.membership.suspect(target.hostId, now);
  }
}

/** Exchanges digests and returns whether the answer arrived. */
function exchange(
  hosts: readonly SimulatedHost[],
  from: SimulatedHost,
  target: Member,
  now: number,
  random: () => number,
): boolean {
  const to = hostOf(hosts, target.hostId);
  const request = digestOf(from, undefined);
  from.bytes += bytesOf(request);
  const isLost =
    random() < MESSAGE_LOSS_SHARE || to?.isAlive !== true || to.isSuspended;
  if (isLost) {
    return false;
  }
  to.membership.merge(request, now);
  const answer = digestOf(to, to.membership.find(from.membership.own.hostId));
  to.bytes += bytesOf(answer);
  if (random() < MESSAGE_LOSS_SHARE) {
    return false;
  }
  from.membership.merge(answer, now);
  return true;
}

function digestOf(
  host: SimulatedHost,
  additionalMember: Member | undefined,
): readonly Member[] {
  const own = host.membership.own;
  const others = host.membership
    .takeUpdates()
    .filter(({hostId}) => hostId !== own.hostId);
  return [
    own,
    ...(additionalMember === undefined ? [] : [additionalMember]),
    ...others,
  ];
}

function bytesOf(members: readonly Member[]): number {
  return (
    JSON.stringify(members).length + OTHER_DIGEST_BYTES + MESSAGE_FRAME_BYTES
  );
}

function hostOf(
  hosts: readonly SimulatedHost[],
  hostId: string,
): SimulatedHost | undefined {
  return hosts[Number(hostId.slice('host-'.length))];
}

/** Counts the members that at least one live host lists with `status`. */
function countMembersWithStatus(
  hosts: readonly SimulatedHost[],
  status: Member['status'],
): number {
  const members = hosts
    .filter(({isAlive}) => isAlive)
    .flatMap(({membership}) => membership.all())
    .filter(member => member.status === status);
  return new Set(members.map(({hostId}) => hostId)).size;
}

/**
 * Returns the milliseconds until every live host lists `hostId` with `status`,
 * or the timeout.
 */
function timeUntil(
  hosts: readonly SimulatedHost[],
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
  while (!isKnown() && now < from + STATUS_TIMEOUT_MILLISECONDS) {
    step(hosts, now, random);
    now += 10;
  }
  return now - from;
}
