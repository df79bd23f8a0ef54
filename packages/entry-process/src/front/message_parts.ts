/**
 * The messages of a chat as prompt parts: requests share system messages and the
 * beginning of a conversation.
 */
import {createHash} from 'node:crypto';

import {isRecord} from '@lacewingwinch/decisions';

/** Largest number of messages that are distinguished. */
const MAXIMUM_MESSAGES = 32;

/** Characters of the hash that identifies a message. */
const HASH_LENGTH = 16;

/**
 * Returns an id for each message of a request body, except the last one, which
 * belongs to the request alone. Empty for a body that is no chat.
 */
export function sharedMessageIds(body: Buffer): readonly string[] {
  const messages = messagesOf(body);
  return messages
    .slice(0, -1)
    .slice(0, MAXIMUM_MESSAGES)
    .map(message =>
      createHash('sha1')
        .update(JSON.stringify(message))
        .digest('hex')
        .slice(0, HASH_LENGTH),
    );
}

function messagesOf(body: Buffer): readonly unknown[] {
  try {
    const document: unknown = JSON.parse(body.toString());
    const messages = isRecord(document) ? document['messages'] : undefined;
    return Array.isArray(messages) ? messages : [];
  } catch {
    return [];
  }
}
