/**
 * The pure decisions of lacewingwinch.
 */
export * from './answers/answer_buffer.js';
export * from './answers/choose_resumption.js';
export * from './claims/claim_records.js';
export * from './claims/execution_right.js';
export * from './claims/fold_claims.js';
export * from './claims/key_age.js';
export * from './configuration/configuration_objects.js';
export * from './configuration/configuration_records.js';
export * from './configuration/find_objects.js';
export * from './configuration/fold_configuration.js';
export * from './dispatch/choose_upstream.js';
export * from './dispatch/dispatch_messages.js';
export * from './dispatch/dispatcher.js';
export * from './dispatch/permit_queue.js';
export * from './dispatch/prefix_map.js';
export * from './dispatch/shards.js';
export * from './errors/error_kinds.js';
export * from './errors/serving_error.js';
export * from './limits/limit_shares.js';
export * from './membership/discovery.js';
export * from './membership/member.js';
export * from './membership/membership.js';
export * from './orders/lease_records.js';
export * from './orders/wanted_hosts.js';
export * from './retries/decide_retry.js';
export * from './retries/quarantine.js';
export * from './retries/retry_budget.js';
export * from './rules/check_rules.js';
export * from './rules/match_rule.js';
export * from './util/is_record.js';
export * from './util/rendezvous_hash.js';
