/**
 * What a run of the placement model showed.
 */
import type {EngineChoice} from '@lacewingwinch/decisions';

import type {EngineModel} from './engine_model.js';
import type {EngineRequest} from './engine_request.js';
import {percentile} from './figures.js';

/** Prompt tokens from which on an engine counts as one with a queue. */
const QUEUE_TOKENS = 20_000;

/** Figures of one run. */
export interface PlacementFigures {
  readonly firstTokenMedian: number;
  readonly firstTokenP99: number;
  /** Prompt tokens before the engines that had most. */
  readonly longestQueueTokens: number;
  /** Share of engines that were idle while others had a queue. */
  readonly idleWhileQueued: number;
  /** Prompt tokens read for each request. */
  readonly readTokens: number;
  /** Median of the error of an estimate, in milliseconds; 0 without any. */
  readonly estimateError: number;
}

/** Collects the results of one run. */
export class PlacementResults {
  private readonly firstTokens: number[] = [];
  private readonly errors: number[] = [];
  private readonly estimates = new Map<string, number>();
  private readTokens = 0;
  private longestQueueTokens = 0;
  private idleShares = 0;
  private samples = 0;

  /** Records the estimate of a placed request. */
  recordEstimate(requestId: string, choice: EngineChoice, now: number): void {
    this.estimates.set(requestId, now + choice.estimateMilliseconds);
  }

  /** Records the first token of a request. */
  recordFirstToken(
    request: EngineRequest & {readonly arrivedAt: number},
    readTokens: number,
    time: number,
  ): void {
    this.firstTokens.push(time - request.arrivedAt);
    this.readTokens += readTokens;
    const estimate = this.estimates.get(request.id);
    if (estimate !== undefined) {
      this.errors.push(Math.abs(time - estimate));
    }
  }

  /** Records the queues of the engines at one time. */
  recordQueues(engines: readonly EngineModel[]): void {
    const unread = engines.map(({unreadTokens}) => unreadTokens);
    const longest = Math.max(...unread);
    this.longestQueueTokens = Math.max(this.longestQueueTokens, longest);
    this.samples += 1;
    if (longest > QUEUE_TOKENS) {
      this.idleShares +=
        unread.filter(tokens => tokens === 0).length / unread.length;
    }
  }

  /** Returns the figures of the run. */
  figures(): PlacementFigures {
    return {
      firstTokenMedian: percentile(this.firstTokens, 0.5),
      firstTokenP99: percentile(this.firstTokens, 0.99),
      longestQueueTokens: this.longestQueueTokens,
      idleWhileQueued: this.idleShares / Math.max(1, this.samples),
      readTokens: this.readTokens / Math.max(1, this.firstTokens.length),
      estimateError:
        this.errors.length === 0 ? 0 : percentile(this.errors, 0.5),
    };
  }
}
