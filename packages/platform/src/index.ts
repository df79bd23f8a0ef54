/**
 * Adapters to the platform: one narrow interface for each of its services.
 */
export * from './cloud_api.js';
export * from './host_list.js';
export * from './log_service.js';
export * from './platform_error.js';
export * from './weight_store.js';
