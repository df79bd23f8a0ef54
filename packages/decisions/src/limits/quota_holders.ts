/**
 * Which hosts hold the parts of a workspace's quota. Answers one workspace that
 * sends many times its quota to a large fleet: a part lets a request pass that
 * is larger than itself, and in eighty parts that is many times the quota. In a
 * large fleet a few hosts hold the parts of one workspace, others of the next.
 */
import {FEW_HOSTS} from '../membership/few_hosts.js';
import {rendezvousOrder} from '../util/rendezvous_hash.js';

/**
 * Holders of one quota in a larger fleet. Losing one of them takes a fifth of
 * the quota until it is back; with more of them, large prompts wait for parts
 * that are smaller than they are (rothro-ops-grown quiet-1: 192 of 4,462).
 */
const HOLDERS = 5;

/** The hosts of `sharing` that hold a part of the quota of `workspace`. */
export function quotaHolders(
  workspace: string,
  sharing: readonly string[],
): readonly string[] {
  return sharing.length <= FEW_HOSTS
    ? sharing
    : rendezvousOrder(`quota/${workspace}`, sharing, HOLDERS);
}
