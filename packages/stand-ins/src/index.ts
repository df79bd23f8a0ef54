/**
 * Stand-ins for the platform, the upstreams and the clients in tests.
 */

export * from './child_process_group.js';
export * from './command_line.js';
export * from './crowd_stand_in.js';
export * from './deployed_node_flags.js';
export * from './engine_behavior.js';
export * from './engine_stand_in.js';
export * from './fleet.js';
export * from './fleet_calls.js';
export * from './fleet_objects.js';
export * from './free_ports.js';
export * from './http_stand_in.js';
export * from './link_process.js';
export * from './link_stand_in.js';
export * from './log_stand_in.js';
export * from './plain_service_stand_in.js';
export * from './platform_stand_in.js';
export * from './routed_client_stand_in.js';
export * from './routed_engine_stand_in.js';
export * from './settings_file_stand_in.js';
export * from './store_stand_in.js';
export * from './warm_up.js';
