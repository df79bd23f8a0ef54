/**
 * Stand-in for a model engine: streams a text that is a function of the prompt,
 * runs any number of streams at once and exports the key-value caches of
 * attempts to other engines.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';

import {
  delay,
  ListeningStandIn,
  readJson,
  urlOf,
  writeJson,
} from './http_stand_in.js';

/** Speed of an engine. */
export interface EngineOptions {
  /** Milliseconds before the first token. */
  readonly prefillMilliseconds: number;
  /** Milliseconds between two tokens. */
  readonly tokenMilliseconds: number;
}

/** An execution that an engine has started. */
export interface EngineExecution {
  readonly attemptId: string;
  readonly prompt: string;
  /** Offset of the first token; 0 if the execution resumes no other. */
  readonly resumedAt: number;
  readonly hasImportedCache: boolean;
}

/** Where an execution continues another one, as sent in `resume_from`. */
interface ResumePoint {
  readonly offset: number;
  readonly text: string;
  readonly cache?: {readonly address: string; readonly handle: string};
}

const DEFAULT_OPTIONS: EngineOptions = {
  prefillMilliseconds: 5,
  tokenMilliseconds: 5,
};

/** Tokens of an answer if the request has no `max_tokens`. */
const DEFAULT_TOKEN_COUNT = 16;

/** A prompt that contains this word crashes the engine. */
export const CRASHING_WORD = 'crash-the-engine';

/** Returns the token at `offset` of the answer to `prompt`. */
export function expectedToken(prompt: string, offset: number): string {
  const digest = createHash('sha256').update(`${prompt}#${offset}`);
  return ` ${digest.digest('hex').slice(0, 6)}`;
}

/** Returns the first `tokens` tokens of the answer to `prompt`. */
export function expectedText(prompt: string, tokens: number): string {
  return Array.from({length: tokens}, (_, offset) =>
    expectedToken(prompt, offset),
  ).join('');
}

/** A model engine with a deterministic answer to each prompt. */
export class EngineStandIn extends ListeningStandIn {
  readonly executions: EngineExecution[] = [];
  /** Tokens recomputed for resumptions that could not import a cache. */
  recomputedTokens = 0;
  /** Number of streams in progress. */
  running = 0;
  private readonly exportedAttempts = new Set<string>();

  constructor(readonly options: EngineOptions = DEFAULT_OPTIONS) {
    super();
  }

  protected async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {pathname} = urlOf(message);
    if (pathname.startsWith('/v1/')) {
      await this.complete(message, response);
      return;
    }
    if (pathname === '/kv/export') {
      const {attempt_id: attemptId} = await readJson(message);
      this.exportedAttempts.add(String(attemptId));
      writeJson(response, 200, {handle: attemptId});
      return;
    }
    if (pathname.startsWith('/kv/')) {
      const isExported = this.exportedAttempts.has(
        pathname.slice('/kv/'.length),
      );
      writeJson(response, isExported ? 200 : 404, {});
      return;
    }
    if (pathname === '/events') {
      writeJson(response, 200, {
        next: 0,
        evicted: [],
        running: this.running,
      });
      return;
    }
    writeJson(response, pathname === '/orders' ? 200 : 404, {});
  }

  private async complete(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(message);
    const prompt = JSON.stringify(body['prompt'] ?? body['messages']);
    const resume = body['resume_from'] as ResumePoint | undefined;
    const importedCache = await importCache(resume);
    this.executions.push({
      attemptId: String(message.headers['x-attempt-id']),
      prompt,
      resumedAt: resume?.offset ?? 0,
      hasImportedCache: importedCache,
    });
    if (prompt.includes(CRASHING_WORD)) {
      this.dropConnections();
      return;
    }
    if (resume !== undefined && !importedCache) {
      this.recomputedTokens += resume.offset + prompt.split(' ').length;
    }
    this.running += 1;
    try {
      await this.stream(response, prompt, body, resume?.offset ?? 0);
    } finally {
      this.running -= 1;
    }
  }

  private async stream(
    response: ServerResponse,
    prompt: string,
    body: Readonly<Record<string, unknown>>,
    from: number,
  ): Promise<void> {
    const tokens = Number(body['max_tokens'] ?? DEFAULT_TOKEN_COUNT);
    await delay(this.options.prefillMilliseconds);
    response.writeHead(200, {'content-type': 'text/event-stream'});
    for (let offset = from; offset < tokens; offset += 1) {
      if (response.destroyed) {
        return;
      }
      const text = expectedToken(prompt, offset);
      const finishReason = offset === tokens - 1 ? 'length' : null;
      const choice =
        body['messages'] === undefined
          ? {index: 0, text, finish_reason: finishReason}
          : {index: 0, delta: {content: text}, finish_reason: finishReason};
      const data = JSON.stringify({model: body['model'], choices: [choice]});
      response.write(`id: ${offset}\ndata: ${data}\n\n`);
      if (this.options.tokenMilliseconds > 0) {
        await delay(this.options.tokenMilliseconds);
      }
    }
    response.end('data: [DONE]\n\n');
  }
}

async function importCache(resume: ResumePoint | undefined): Promise<boolean> {
  if (resume?.cache === undefined) {
    return false;
  }
  const {address, handle} = resume.cache;
  try {
    const answer = await fetch(`http://${address}/kv/${handle}`);
    await answer.text();
    return answer.ok;
  } catch {
    return false;
  }
}
