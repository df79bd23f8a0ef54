#!/usr/bin/env node
/**
 * Starts the bundled `lacewingwinch` binary.
 */
import {join} from 'node:path';

import {runCachedProgram} from './cached_program.js';

runCachedProgram(
  join(__dirname, 'program.cjs'),
  join(__dirname, 'program.cache'),
);
