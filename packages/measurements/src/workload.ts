/**
 * The workloads of the two operators, and their fleets.
 */
import type {Upstream} from '@lacewingwinch/decisions';

import {
  BLOCK_TOKENS,
  prefillMilliseconds,
  stepMilliseconds,
  type WorkloadRequest,
} from './engine_model.js';
import {exponential} from './random_numbers.js';

/** Calls that one engine runs at once. */
export const ENGINE_PLACES = 20;

/** A fleet and what it is asked for. */
export interface Shape {
  readonly name: string;
  readonly engines: number;
  readonly onDemand: number;
  /** Tokens of a prompt, and of an answer: least and most. */
  readonly prompt: readonly [number, number];
  readonly output: readonly [number, number];
}

/** The shapes of the two operators. */
export const SHAPES: readonly Shape[] = [
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

const DOMAINS = ['a', 'b', 'c', 'd'] as const;

/** Shares of the five workspaces. */
const WORKSPACE_SHARES = [0.4, 0.3, 0.15, 0.1, 0.05] as const;

/** Prompt templates of one workspace. */
const TEMPLATES = 4;

/** Share of a prompt that its template makes up. */
const TEMPLATE_SHARE = 0.6;

/** The engines of `shape`. */
export function upstreamsOf(shape: Shape): readonly Upstream[] {
  return Array.from({length: shape.engines}, (_, index) => {
    const isOnDemand = index < shape.onDemand;
    return {
      id: `engine-${String(index).padStart(2, '0')}`,
      service: 'writer',
      address: `${index}`,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? 'a',
      hostClass: isOnDemand ? 'on-demand' : 'reclaimable',
      pricePerHour: isOnDemand ? 3 : 1,
      isLeaving: false,
    };
  });
}

/** Requests a millisecond that fill every place of `shape`. */
export function capacityOf(shape: Shape): number {
  const prompt = (shape.prompt[0] + shape.prompt[1]) / 2;
  const output = (shape.output[0] + shape.output[1]) / 2;
  const holding =
    prefillMilliseconds(prompt * (1 - TEMPLATE_SHARE)) +
    output * stepMilliseconds(ENGINE_PLACES);
  return (shape.engines * ENGINE_PLACES) / holding;
}

/** Requests of `shape` at `load` of its capacity, over `milliseconds`. */
export function makeWorkload(
  shape: Shape,
  load: number,
  milliseconds: number,
  random: () => number,
): readonly WorkloadRequest[] {
  const rate = capacityOf(shape) * load;
  const requests: WorkloadRequest[] = [];
  let arrival = exponential(random, rate);
  while (arrival < milliseconds) {
    requests.push(makeRequest(shape, requests.length, arrival, random));
    arrival += exponential(random, rate);
  }
  return requests;
}

function makeRequest(
  shape: Shape,
  index: number,
  arrival: number,
  random: () => number,
): WorkloadRequest {
  const workspace = pickWorkspace(random());
  const template = Math.floor(random() * TEMPLATES);
  const promptTokens = between(shape.prompt, random());
  const blocks = Math.floor(promptTokens / BLOCK_TOKENS);
  const shared = Math.floor(blocks * TEMPLATE_SHARE);
  const prefixes = Array.from({length: blocks}, (_, block) =>
    block < shared
      ? `${workspace}/${template}/${block}`
      : `${workspace}/${template}/${index}/${block}`,
  );
  return {
    id: `r${index}`,
    workspace,
    arrival,
    promptTokens,
    outputTokens: between(shape.output, random()),
    prefixes,
    priority: 5,
  };
}

function pickWorkspace(value: number): string {
  let left = value;
  const index = WORKSPACE_SHARES.findIndex(share => {
    left -= share;
    return left < 0;
  });
  return `workspace-${index === -1 ? 0 : index}`;
}

function between([least, most]: readonly [number, number], at: number): number {
  return Math.round(least + (most - least) * at);
}
