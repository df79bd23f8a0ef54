/**
 * Reading of prompts and of the events of a completion.
 */
import {createHash} from 'node:crypto';

import {isRecord} from '@lacewingwinch/decisions';

/** Bytes of a prompt block, the unit of prefix matching. */
const BLOCK_BYTES = 256;

/** Blocks of one prompt that are matched, at most. */
const MAXIMUM_BLOCKS = 64;

/** Bytes of a prompt that count as one token, where no engine said better. */
const BYTES_IN_TOKEN = 4;

/** A hash of each whole block of `body`, each over all before it. */
export function prefixHashes(body: Buffer): readonly string[] {
  const blocks = Math.min(
    MAXIMUM_BLOCKS,
    Math.floor(body.length / BLOCK_BYTES),
  );
  const hash = createHash('sha1');
  return Array.from({length: blocks}, (_, index) => {
    const start = index * BLOCK_BYTES;
    hash.update(body.subarray(start, start + BLOCK_BYTES));
    return hash.copy().digest('base64url').slice(0, 12);
  });
}

/** Tokens that a body of `bytes` has, about. */
export function estimateTokens(bytes: number): number {
  return Math.ceil(bytes / BYTES_IN_TOKEN);
}

/** The text in the events of a completion. */
export function textOfEvents(events: readonly string[]): string {
  return events.map(textOfEvent).join('');
}

/** The whole completion that `events` make up, as a JSON document. */
export function assembleCompletion(
  requestId: string,
  isChat: boolean,
  events: readonly string[],
): string {
  const last = parseEvent(events.at(-1) ?? '{}');
  const text = textOfEvents(events);
  const finishReason = firstChoice(last)?.['finish_reason'] ?? null;
  const content = isChat
    ? {message: {role: 'assistant', content: text}}
    : {text};
  return JSON.stringify({
    id: requestId,
    object: isChat ? 'chat.completion' : 'text_completion',
    model: last['model'] ?? null,
    choices: [{index: 0, ...content, finish_reason: finishReason}],
    ...(last['usage'] === undefined ? {} : {usage: last['usage']}),
  });
}

function textOfEvent(event: string): string {
  const choice = firstChoice(parseEvent(event));
  const delta = choice?.['delta'];
  const text = isRecord(delta) ? delta['content'] : choice?.['text'];
  return typeof text === 'string' ? text : '';
}

function firstChoice(
  document: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> | undefined {
  const choices = document['choices'];
  const first: unknown = Array.isArray(choices) ? choices[0] : undefined;
  return isRecord(first) ? first : undefined;
}

function parseEvent(event: string): Readonly<Record<string, unknown>> {
  try {
    const document: unknown = JSON.parse(event);
    return isRecord(document) ? document : {};
  } catch {
    return {};
  }
}
