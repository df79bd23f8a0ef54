/**
 * Functions that read prompts and the events of completions.
 */
import {createHash} from 'node:crypto';

import {isRecord} from '@lacewingwinch/decisions';

/** Bytes in a block of a prompt, the unit of prefix matching. */
const PREFIX_BLOCK_BYTES = 256;

/** Maximum number of blocks of one prompt that are matched. */
const MAXIMUM_PREFIX_BLOCKS = 64;

/** Estimated bytes per token, used where no engine reported a token count. */
const BYTES_PER_TOKEN = 4;

/**
 * Returns one hash for each full block of `body`. Each hash also covers all
 * earlier blocks.
 */
export function prefixHashes(body: Buffer): readonly string[] {
  const blocks = Math.min(
    MAXIMUM_PREFIX_BLOCKS,
    Math.floor(body.length / PREFIX_BLOCK_BYTES),
  );
  const hash = createHash('sha1');
  return Array.from({length: blocks}, (_, index) => {
    const start = index * PREFIX_BLOCK_BYTES;
    hash.update(body.subarray(start, start + PREFIX_BLOCK_BYTES));
    return hash.copy().digest('base64url').slice(0, 12);
  });
}

/** Returns the estimated number of tokens in a body of `bytes`. */
export function estimateTokens(bytes: number): number {
  return Math.ceil(bytes / BYTES_PER_TOKEN);
}

/** Returns the text that the events of a completion contain. */
export function textOfEvents(events: readonly string[]): string {
  return events.map(textOfEvent).join('');
}

/** Returns the completion that `events` make up, as one JSON document. */
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
