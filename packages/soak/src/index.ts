/**
 * Soak runs: real entry processes under faults that are derived from a seed.
 */
export * from './check_guarantees.js';
export * from './fault_plan.js';
export * from './fault_proxy.js';
export * from './regression_seeds.js';
export * from './run_seed.js';
export * from './soak_arguments.js';
