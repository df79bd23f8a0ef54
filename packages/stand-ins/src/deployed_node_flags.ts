/**
 * The flags of Node.js with which entry processes run in production.
 */
import {readFileSync} from 'node:fs';

const DEPLOY_FILE = new URL('../../../deploy/system.toml', import.meta.url);

/** Returns the flags of Node.js in the deploy file. */
export function deployedNodeFlags(): readonly string[] {
  const run = /^run = "node ((?:--\S+ )+)/m.exec(
    readFileSync(DEPLOY_FILE, 'utf8'),
  );
  if (run?.[1] === undefined) {
    throw new Error('the deploy file names no flags of Node.js');
  }
  return run[1].trim().split(' ');
}
