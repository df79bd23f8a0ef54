/**
 * The parts of a prompt that other requests can share.
 */
import type {PromptPart} from './choose_engine.js';

/**
 * Returns the IDs of all parts but the last one, which belongs to the request
 * or to its session alone.
 */
export function sharedPartIds(parts: readonly PromptPart[]): readonly string[] {
  return parts.slice(0, -1).map(({partId}) => partId);
}
