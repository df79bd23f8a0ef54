/**
 * Workloads and fleets modelled on those of two operators.
 */
import type {Upstream} from '@lacewingwinch/decisions';

import type {EngineProfile} from './engine_profile.js';
import type {EngineRequest} from './engine_request.js';
import {exponential} from './random_numbers.js';

/** The engines of the two operators. */
export const ENGINE_PROFILE: EngineProfile = {
  slots: 20,
  queueCapacity: Infinity,
  stepMilliseconds: 14,
  stepMillisecondsPerStream: 1.1,
  prefillTokensPerMillisecond: 1000 / 60,
  chunkTokens: 2048,
  memoryTokens: 100_000,
  speedFactor: 1,
  startupMilliseconds: 0,
  reportLagMilliseconds: 0,
};

/** Tokens per prefix block. */
const TOKENS_PER_BLOCK = 64;

/** A request of the workload. */
export interface WorkloadRequest extends EngineRequest {
  readonly workspace: string;
  /** Virtual time in milliseconds. */
  readonly arrivalTime: number;
  /** Ids of the prefix blocks of the prompt, in order. */
  readonly prefixes: readonly string[];
}

/** Size of a fleet and length of the requests that it gets. */
export interface WorkloadShape {
  readonly name: string;
  readonly engines: number;
  /** Number of engines on on-demand hosts; the others are reclaimable. */
  readonly onDemand: number;
  /** Minimum and maximum tokens of a prompt. */
  readonly prompt: readonly [number, number];
  /** Minimum and maximum tokens of an answer. */
  readonly output: readonly [number, number];
}

/** Workload shapes of the two operators. */
export const WORKLOAD_SHAPES: readonly WorkloadShape[] = [
  {
    name: 'saimaa',
    engines: 13,
    onDemand: 4,
    prompt: [500, 3000],
    output: [200, 900],
  },
  {
    name: 'rotthro',
    engines: 8,
    onDemand: 3,
    prompt: [200, 1500],
    output: [60, 400],
  },
];

const FAILURE_DOMAINS = ['a', 'b', 'c', 'd'] as const;

/** Fraction of the requests that each of the five workspaces sends. */
const WORKSPACE_SHARES = [0.4, 0.3, 0.15, 0.1, 0.05] as const;

/** Number of prompt templates of one workspace. */
const TEMPLATES_PER_WORKSPACE = 4;

/** Fraction of a prompt that comes from its template. */
const TEMPLATE_PROMPT_SHARE = 0.6;

/** Returns the engines of `shape`. */
export function upstreamsOf(shape: WorkloadShape): readonly Upstream[] {
  return Array.from({length: shape.engines}, (_, index) => {
    const isOnDemand = index < shape.onDemand;
    return {
      id: `engine-${String(index).padStart(2, '0')}`,
      service: 'writer',
      address: `${index}`,
      failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? 'a',
      hostClass: isOnDemand ? 'on-demand' : 'reclaimable',
      pricePerHour: isOnDemand ? 3 : 1,
      isLeaving: false,
    };
  });
}

/**
 * Returns the capacity of `shape`: the requests per millisecond that fill every
 * slot.
 */
export function capacityPerMillisecond(shape: WorkloadShape): number {
  const prompt = (shape.prompt[0] + shape.prompt[1]) / 2;
  const output = (shape.output[0] + shape.output[1]) / 2;
  const {slots, stepMilliseconds, stepMillisecondsPerStream} = ENGINE_PROFILE;
  const slotMilliseconds =
    (prompt * (1 - TEMPLATE_PROMPT_SHARE)) /
      ENGINE_PROFILE.prefillTokensPerMillisecond +
    output * (stepMilliseconds + stepMillisecondsPerStream * slots);
  return (shape.engines * slots) / slotMilliseconds;
}

/**
 * Returns requests of `shape` that arrive over `milliseconds`, at the fraction
 * `load` of its capacity.
 */
export function makeWorkload(
  shape: WorkloadShape,
  load: number,
  milliseconds: number,
  random: () => number,
): readonly WorkloadRequest[] {
  const rate = capacityPerMillisecond(shape) * load;
  const requests: WorkloadRequest[] = [];
  let arrivalTime = exponential(random, rate);
  while (arrivalTime < milliseconds) {
    requests.push(makeRequest(shape, requests.length, arrivalTime, random));
    arrivalTime += exponential(random, rate);
  }
  return requests;
}

function makeRequest(
  shape: WorkloadShape,
  index: number,
  arrivalTime: number,
  random: () => number,
): WorkloadRequest {
  const workspace = pickWorkspace(random());
  const template = Math.floor(random() * TEMPLATES_PER_WORKSPACE);
  const promptTokens = interpolate(shape.prompt, random());
  const blockCount = Math.floor(promptTokens / TOKENS_PER_BLOCK);
  const sharedBlocks = Math.floor(blockCount * TEMPLATE_PROMPT_SHARE);
  const prefixes = Array.from({length: blockCount}, (_, block) =>
    block < sharedBlocks
      ? `${workspace}/${template}/${block}`
      : `${workspace}/${template}/${index}/${block}`,
  );
  return {
    id: `r${index}`,
    workspace,
    arrivalTime,
    promptTokens,
    outputTokens: interpolate(shape.output, random()),
    prefixes,
    parts: prefixes.map(partId => ({partId, tokens: TOKENS_PER_BLOCK})),
    priority: 5,
  };
}

function pickWorkspace(value: number): string {
  let remainingShare = value;
  const index = WORKSPACE_SHARES.findIndex(share => {
    remainingShare -= share;
    return remainingShare < 0;
  });
  return `workspace-${index === -1 ? 0 : index}`;
}

function interpolate(
  [least, most]: readonly [number, number],
  fraction: number,
): number {
  return Math.round(least + (most - least) * fraction);
}
