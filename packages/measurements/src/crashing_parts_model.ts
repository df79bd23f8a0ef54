/**
 * A model in virtual time of entry hosts and engines, in which certain prompt
 * parts crash every engine that begins to answer them.
 */
import {PartQuarantine, type PartSuspicion} from '@lacewingwinch/decisions';

import {EventQueue} from './event_queue.js';
import {exponential, randomFrom} from './random_numbers.js';

/** How the hosts decide which requests they refuse. */
export type PartPolicy =
  /** Only whole contents are counted, and no two are alike. */
  | 'whole-contents'
  | 'prompt-parts'
  /** Knows each crashing part from the first crash on. */
  | 'oracle';

/** What happens besides the crashing parts. */
export type PartTrouble = 'burst' | 'cut' | 'mass-crash' | 'none';

/** The parameters of one run. */
export interface CrashingPartsRun {
  readonly policy: PartPolicy;
  readonly trouble: PartTrouble;
  readonly crashingParts: number;
  readonly hosts: number;
  readonly engines: number;
  readonly seed: number;
}

/** What one run showed. */
export interface CrashingPartsResult {
  /** Engines that ended under a crashing part. */
  readonly enginesEnded: number;
  /**
   * Requests with a part that were sent 3 s after the fifth crash under it, the
   * most of all parts.
   */
  readonly sentLate: number;
  /** Share of the sound requests that were refused for one of their parts. */
  readonly soundRefused: number;
  /** Share of the sound requests that were lost with an engine. */
  readonly soundLost: number;
}

/** Virtual milliseconds of one run. */
const DURATION_MILLISECONDS = 30_000;

/** Time at which requests with a crashing part begin to arrive. */
const ONSET_MILLISECONDS = 3000;

/** Times of the other trouble. */
const TROUBLE_TIMES: readonly number[] = [3200, 9000, 16_000];

/** Time from the fifth crash from which requests with the part count. */
const REACTION_MILLISECONDS = 3000;

/** Sound requests a second and engine, of a users' deployment of eight. */
const SOUND_RATE = 2.9;

/** Requests with each crashing part a second. */
const CRASHING_RATE = 6;

const BURST_FACTOR = 3;
const CALLER_PARTS = 5;
const SUBJECT_PARTS = 200;

/** Time within which all connections to a crashed engine have been seen to end. */
const DETECTION_MILLISECONDS = 100;

/** Time after the beginning of an answer within which a crash is blamed on it. */
const ACCUSATION_MILLISECONDS = 500;

/** Time after the beginning of an answer at which its prompt is sound. */
const SOUND_RUN_MILLISECONDS = 500;

const GOSSIP_PERIOD_MILLISECONDS = 500;
const MAXIMUM_REFUTATION_DELAY_MILLISECONDS = 100;
const MAXIMUM_GOSSIP = 64;
const MAXIMUM_ATTEMPTS = 2;
const SERVICE = 'engines';

interface Engine {
  bornAt: number;
  isUp: boolean;
  readonly running: Set<ModelRequest>;
}

interface ModelRequest {
  readonly host: number;
  readonly parts: readonly string[];
  /** Number of the crashing part; undefined for a sound request. */
  readonly crashingPart: number | undefined;
  attempts: number;
  begunAt: number | undefined;
}

/** Runs the model once. */
export class CrashingPartsModel {
  private readonly events = new EventQueue();
  private readonly random: () => number;
  private readonly hosts: readonly PartQuarantine[];
  private readonly isRefutationScheduled: boolean[];
  private readonly engines: readonly Engine[];
  /** Times of the crashes under each crashing part. */
  private readonly crashes: readonly number[][];
  private readonly sentLate: number[];
  private sound = 0;
  private soundRefused = 0;
  private soundLost = 0;
  private enginesEnded = 0;

  constructor(private readonly run: CrashingPartsRun) {
    this.random = randomFrom(run.seed);
    this.hosts = Array.from({length: run.hosts}, () => new PartQuarantine());
    this.isRefutationScheduled = this.hosts.map(() => false);
    this.engines = Array.from({length: run.engines}, () => ({
      bornAt: 1,
      isUp: true,
      running: new Set<ModelRequest>(),
    }));
    this.crashes = Array.from({length: run.crashingParts}, () => []);
    this.sentLate = this.crashes.map(() => 0);
  }

  /** Runs to the end and returns what it showed. */
  result(): CrashingPartsResult {
    this.scheduleArrival(0);
    this.crashes.forEach((_, part) =>
      this.scheduleCrashingArrival(part, ONSET_MILLISECONDS),
    );
    TROUBLE_TIMES.forEach(time =>
      this.events.at(time, now => this.strike(now)),
    );
    this.hosts.forEach((_, host) =>
      this.events.at(this.random() * GOSSIP_PERIOD_MILLISECONDS, now =>
        this.gossip(host, now),
      ),
    );
    this.events.runUntil(DURATION_MILLISECONDS);
    return {
      enginesEnded: this.enginesEnded,
      sentLate: Math.max(...this.sentLate),
      soundRefused: this.soundRefused / this.sound,
      soundLost: this.soundLost / this.sound,
    };
  }

  private scheduleArrival(now: number): void {
    const {trouble, engines} = this.run;
    const isBurst =
      trouble === 'burst' && TROUBLE_TIMES.some(time => inSecondOf(time, now));
    const rate = (SOUND_RATE * engines * (isBurst ? BURST_FACTOR : 1)) / 1000;
    this.events.at(now + exponential(this.random, rate), next => {
      this.sound += 1;
      this.send(this.createRequest(undefined), next);
      this.scheduleArrival(next);
    });
  }

  private scheduleCrashingArrival(part: number, now: number): void {
    const wait = exponential(this.random, CRASHING_RATE / 1000);
    this.events.at(now + wait, next => {
      this.send(this.createRequest(part), next);
      this.scheduleCrashingArrival(part, next);
    });
  }

  private createRequest(crashingPart: number | undefined): ModelRequest {
    const caller = `caller-${this.pick(CALLER_PARTS)}`;
    const subject = `subject-${this.pick(SUBJECT_PARTS)}`;
    return {
      host: this.pick(this.run.hosts),
      parts:
        crashingPart === undefined
          ? [caller, subject]
          : [caller, `crashing-${crashingPart}`, subject],
      crashingPart,
      attempts: 0,
      begunAt: undefined,
    };
  }

  private send(request: ModelRequest, now: number): void {
    if (this.isRefused(request, now)) {
      this.soundRefused += request.crashingPart === undefined ? 1 : 0;
      return;
    }
    const up = this.engines.filter(({isUp}) => isUp);
    const engine = up[this.pick(up.length)];
    if (engine === undefined || request.attempts >= MAXIMUM_ATTEMPTS) {
      this.soundLost += request.crashingPart === undefined ? 1 : 0;
      return;
    }
    this.countLate(request, now);
    request.attempts += 1;
    request.begunAt = undefined;
    engine.running.add(request);
    const {bornAt} = engine;
    this.events.at(now + 20 + this.random() * 380, next => {
      if (engine.running.has(request) && engine.bornAt === bornAt) {
        this.begin(engine, request, next);
      }
    });
  }

  private begin(engine: Engine, request: ModelRequest, now: number): void {
    request.begunAt = now;
    const {crashingPart} = request;
    if (crashingPart !== undefined) {
      this.events.at(now + 50 + this.random() * 70, next => {
        if (engine.running.has(request)) {
          this.crashes[crashingPart]?.push(next);
          this.enginesEnded += 1;
          this.crash(engine, next);
        }
      });
      return;
    }
    const duration = 300 + this.random() * 1400;
    const soundAfter = Math.min(duration, SOUND_RUN_MILLISECONDS);
    this.events.at(now + soundAfter, next => {
      if (engine.running.has(request)) {
        this.recordSound(request, next);
      }
    });
    this.events.at(now + duration, () => engine.running.delete(request));
  }

  /** Ends an engine; it is back after some seconds. */
  private crash(engine: Engine, now: number): void {
    const lost = [...engine.running];
    this.end(engine, now);
    this.reportLost(engine, lost, now);
    lost.forEach(request => this.send(request, now + 1));
  }

  private end(engine: Engine, now: number): void {
    engine.isUp = false;
    engine.running.clear();
    this.events.at(now + 3000 + this.random() * 1000, next => {
      engine.isUp = true;
      engine.bornAt = next;
    });
  }

  private reportLost(
    engine: Engine,
    lost: readonly ModelRequest[],
    now: number,
  ): void {
    const crash = {
      upstreamId: `i-${this.engines.indexOf(engine)}`,
      bornAt: engine.bornAt,
      time: now,
    };
    const accused = lost.filter(
      ({begunAt}) =>
        begunAt !== undefined && now - begunAt <= ACCUSATION_MILLISECONDS,
    );
    this.events.at(now + DETECTION_MILLISECONDS, next => {
      for (const {host, parts} of accused) {
        const reported = this.hosts[host]?.recordCrash(
          SERVICE,
          parts,
          crash,
          next,
        );
        this.report(host, reported ?? [], next);
      }
    });
  }

  /** Applies the trouble of the run that comes besides the crashing parts. */
  private strike(now: number): void {
    switch (this.run.trouble) {
      case 'none':
      case 'burst':
        return;
      case 'mass-crash':
        this.engines
          .filter(({isUp}, index) => isUp && index % 2 === 0)
          .forEach(engine => this.crash(engine, now + this.random() * 30));
        return;
      case 'cut':
        this.cutHost(this.pick(this.run.hosts), now);
    }
  }

  /** Ends all connections of one host, which takes each engine for crashed. */
  private cutHost(cut: number, now: number): void {
    for (const engine of this.engines.filter(({isUp}) => isUp)) {
      const lost = [...engine.running].filter(({host}) => host === cut);
      lost.forEach(request => engine.running.delete(request));
      this.reportLost(engine, lost, now);
      lost.forEach(request => this.send(request, now + 1));
    }
  }

  private recordSound({host, parts}: ModelRequest, now: number): void {
    this.hosts[host]?.recordSound(SERVICE, parts, now);
    this.scheduleRefutations(host, now);
  }

  private scheduleRefutations(host: number, now: number): void {
    const quarantine = this.hosts[host];
    if (
      quarantine === undefined ||
      this.isRefutationScheduled[host] === true ||
      !quarantine.hasRefutations(now)
    ) {
      return;
    }
    this.isRefutationScheduled[host] = true;
    const delay = this.random() * MAXIMUM_REFUTATION_DELAY_MILLISECONDS;
    this.events.at(now + delay, next => {
      this.isRefutationScheduled[host] = false;
      this.report(host, quarantine.takeRefutations(next), next);
    });
  }

  private report(
    from: number,
    suspicions: readonly PartSuspicion[],
    now: number,
  ): void {
    if (suspicions.length === 0 || this.run.policy !== 'prompt-parts') {
      return;
    }
    this.hosts.forEach((_, host) => {
      if (host !== from) {
        this.events.at(now + 2 + this.random() * 8, next =>
          this.receive(host, suspicions, next),
        );
      }
    });
  }

  private receive(
    host: number,
    suspicions: readonly PartSuspicion[],
    now: number,
  ): void {
    this.hosts[host]?.merge(suspicions, now);
    this.scheduleRefutations(host, now);
  }

  private gossip(host: number, now: number): void {
    const peer = this.pick(this.run.hosts);
    const own = this.hosts[host]?.open(MAXIMUM_GOSSIP, now) ?? [];
    const others = this.hosts[peer]?.open(MAXIMUM_GOSSIP, now) ?? [];
    this.receive(peer, own, now);
    this.receive(host, others, now);
    this.events.at(now + GOSSIP_PERIOD_MILLISECONDS, next =>
      this.gossip(host, next),
    );
  }

  private isRefused(request: ModelRequest, now: number): boolean {
    const {host, parts, crashingPart} = request;
    switch (this.run.policy) {
      case 'whole-contents':
        return false;
      case 'prompt-parts':
        return this.hosts[host]?.findRefusal(SERVICE, parts, now) !== undefined;
      case 'oracle':
        return (
          crashingPart !== undefined &&
          (this.crashes[crashingPart]?.length ?? 0) > 0
        );
    }
  }

  private countLate({crashingPart}: ModelRequest, now: number): void {
    if (crashingPart === undefined) {
      return;
    }
    const fifth = this.crashes[crashingPart]?.[4] ?? Infinity;
    if (now > fifth + REACTION_MILLISECONDS) {
      this.sentLate[crashingPart] = (this.sentLate[crashingPart] ?? 0) + 1;
    }
  }

  private pick(count: number): number {
    return Math.floor(this.random() * count);
  }
}

function inSecondOf(time: number, now: number): boolean {
  return now >= time && now < time + 1000;
}
