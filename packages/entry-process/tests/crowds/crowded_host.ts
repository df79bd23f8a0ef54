/** A host process with little memory and few descriptors, for tests of crowds. */
import {
  type CrowdBehavior,
  CrowdStandIn,
  deployedNodeFlags,
  findFreePorts,
} from '@lacewingwinch/stand-ins';
import {expect} from 'vitest';

import {HostProcess} from '../host_process.js';
import {
  type Answer,
  CONFIGURATION,
  RoutedInstallation,
  waitUntil,
} from '../routed_fixtures.js';
import {
  countDescriptorsOf,
  peakMegabytesOf,
  residentMemoryText,
} from './process_usage.js';

/** Memory of the smallest machine that the users' pages name, in MiB. */
export const MEMORY_MEGABYTES = 210;

/** Descriptors that the settings of the process allow it. */
export const FILE_DESCRIPTORS = 600;

/** Descriptors of the smallest machine of the deployments. */
export const SMALLEST_MACHINE_DESCRIPTORS = 3075;

/** Limits of the configuration. */
export const BODY_BYTES = 4 * 1024 * 1024;
const HEADER_BYTES = 16 * 1024;

/**
 * Descriptors that the process may have when no client is connected: its own, and the
 * connections to upstreams that it keeps for a while.
 */
const MAXIMUM_DESCRIPTORS_AFTERWARDS = 100;

const SAMPLE_MILLISECONDS = 20;

/** Milliseconds that an ordinary client waits for its answer. */
const PATIENCE_MILLISECONDS = 20_000;

/** Names of the addresses at which a host process listens. */
export type AddressName =
  'callers' | 'discovery' | 'metrics' | 'peers' | 'readiness' | 'relay';

/** A crowd and the address that it calls. */
export interface CrowdPlan extends CrowdBehavior {
  /** The address for clients by default. */
  readonly at?: AddressName;
}

/** A host process that serves with little memory and few descriptors. */
export class CrowdedHost {
  private peakDescriptors = 0;
  private readonly crowds: CrowdStandIn[] = [];
  private readonly sampling: NodeJS.Timeout;

  private constructor(
    readonly installation: RoutedInstallation,
    readonly host: HostProcess,
    private readonly metricsPort: number,
    private readonly fileDescriptors: number,
  ) {
    this.sampling = setInterval(() => {
      this.peakDescriptors = Math.max(
        this.peakDescriptors,
        countDescriptorsOf(this.pid),
      );
    }, SAMPLE_MILLISECONDS);
  }

  /** Starts stand-ins and the process. */
  static async start(fileDescriptors = FILE_DESCRIPTORS): Promise<CrowdedHost> {
    const installation = await RoutedInstallation.start();
    installation.store.put('keyed.op', 'config', {
      ...CONFIGURATION,
      version: CONFIGURATION.version + 1,
      routes: CONFIGURATION.routes.map(route => ({
        ...route,
        timeoutMs: 60_000,
      })),
      limits: {
        ...CONFIGURATION.limits,
        maxBodyBytes: BODY_BYTES,
        maxHeaderBytes: HEADER_BYTES,
      },
    });
    const [metricsPort = 0] = await findFreePorts(1);
    const host = await HostProcess.start({
      storeAddress: installation.store.address,
      memoryMegabytes: MEMORY_MEGABYTES,
      fileDescriptors,
      flags: [`--metrics-port=${metricsPort}`],
      nodeFlags: deployedNodeFlags(),
    });
    await host.waitUntilReady();
    return new CrowdedHost(installation, host, metricsPort, fileDescriptors);
  }

  /** Opens a crowd and waits until it has settled. */
  async admit(...plans: readonly CrowdPlan[]): Promise<void> {
    const crowds = plans.map(plan =>
      CrowdStandIn.open(this.addressOf(plan.at ?? 'callers'), plan),
    );
    this.crowds.push(...crowds);
    await Promise.all(crowds.map(crowd => crowd.settled()));
  }

  /** Checks that the process serves others beside crowds and after them. */
  async expectToWithstand(...plans: readonly CrowdPlan[]): Promise<void> {
    await this.admit(...plans);
    await this.expectToAnswer();
    this.expectWithinLimits();
    await this.expectToRecover();
  }

  /** Checks that the process serves others once all crowds have left. */
  async expectToRecover(): Promise<void> {
    await this.dismiss();
    await this.expectToAnswer();
    this.expectWithinLimits();
  }

  /** Makes all crowds leave, and waits until the process has noticed it. */
  async dismiss(): Promise<void> {
    this.closeCrowds();
    await waitUntil(
      () => countDescriptorsOf(this.pid) <= MAXIMUM_DESCRIPTORS_AFTERWARDS,
    );
  }

  /** Sends an ordinary request with a body of `bytes`. */
  callOrdinarily(bytes = 100): Promise<Answer> {
    return this.installation.call(
      {
        path: '/once/ordinary',
        body: 'x'.repeat(bytes),
        deadline: PATIENCE_MILLISECONDS,
      },
      this.host.addresses.callers,
    );
  }

  /** Checks that the process lives within its memory and its descriptors. */
  expectWithinLimits(): void {
    expect(this.host.hasEnded).toBe(false);
    expect(
      peakMegabytesOf(this.pid),
      residentMemoryText(this.pid),
    ).toBeLessThan(MEMORY_MEGABYTES);
    expect(this.peakDescriptors).toBeLessThan(this.fileDescriptors);
  }

  /** Checks that the process answers an ordinary request. */
  async expectToAnswer(bytes?: number): Promise<void> {
    const answer = await this.callOrdinarily(bytes);
    expect(answer).toMatchObject({status: 200, isBroken: false});
    expect(answer.body).toContain('answer-of-');
  }

  /** Ends the process, the crowds and the stand-ins. */
  async close(): Promise<void> {
    clearInterval(this.sampling);
    await this.host.close();
    this.closeCrowds();
    await this.installation.stop();
  }

  /** Returns the address that `name` names. */
  addressOf(name: AddressName): string {
    return name === 'metrics'
      ? `127.0.0.1:${this.metricsPort}`
      : this.host.addresses[name];
  }

  private closeCrowds(): void {
    this.crowds.forEach(crowd => crowd.close());
    this.crowds.length = 0;
  }

  private get pid(): number {
    return this.host.started.child.pid ?? 0;
  }
}
