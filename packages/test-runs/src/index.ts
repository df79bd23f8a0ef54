/**
 * Test runs that pass over the tests that are known to fail.
 */

export * from './judge_run.js';
export * from './known_red_list.js';
