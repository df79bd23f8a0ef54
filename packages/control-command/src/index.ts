/**
 * Settings, commands and text output of `lacewingctl`.
 */
export * from './command_settings.js';
export * from './object_file.js';
export * from './publish_command.js';
export * from './read_commands.js';
export * from './render_explanation.js';
export * from './render_text.js';
export * from './where_arguments.js';
export * from './where_command.js';
