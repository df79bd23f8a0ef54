// Checks the protocol models exhaustively, and checks that a counterexample is
// found for each mutant of a model.
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

const MODELS = readdirSync(new URL('../models', import.meta.url))
  .filter(name => name.endsWith('.pml'))
  .map(name => name.slice(0, -'.pml'.length));

// Macro definitions that limit the quick check. With `--full` the limits that
// the model itself defines are used.
const QUICK_CHECK_DEFINITIONS = {
  duties: [['APPENDS=3']],
  claims: [[]],
  configuration: [
    ['CHANGES=2', 'SNAPSHOTS=1'],
    ['CHANGES=1', 'SNAPSHOTS=2'],
  ],
};
const isFull = process.argv.includes('--full');
// Maximum number of steps in one execution.
const MAXIMUM_SEARCH_DEPTH = 200_000;
// Size of the state vector, in bytes.
const STATE_VECTOR_BYTES = 4096;

function checkModel(model, definitions) {
  const folder = mkdtempSync(join(tmpdir(), 'lacewingwinch-model-'));
  try {
    const source = fileURLToPath(
      new URL(`../models/${model}.pml`, import.meta.url),
    );
    const options = {cwd: folder, encoding: 'utf8', stdio: 'pipe'};
    const macros = definitions.map(definition => `-D${definition}`);
    execFileSync('spin', [...macros, '-a', source], options);
    execFileSync(
      'gcc',
      [
        '-O2',
        '-w',
        '-DSAFETY',
        '-DCOLLAPSE',
        `-DVECTORSZ=${STATE_VECTOR_BYTES}`,
        '-o',
        'pan',
        'pan.c',
      ],
      options,
    );
    const output = execFileSync(
      './pan',
      [`-m${MAXIMUM_SEARCH_DEPTH}`, '-w24'],
      options,
    );
    const errors = Number(/errors: (\d+)/.exec(output)?.[1]);
    const states = Number(/([\d.e+]+) states, stored/.exec(output)?.[1]);
    const isTruncated = output.includes('max search depth too small');
    return {errors, states, isTruncated};
  } finally {
    rmSync(folder, {recursive: true});
  }
}

let failedCount = 0;
let passedCount = 0;

function reportResult(name, hasPassed, detail) {
  console.log(`${hasPassed ? 'passed' : 'FAILED'}: ${name}: ${detail}`);
  if (hasPassed) {
    passedCount += 1;
    return;
  }
  failedCount += 1;
}

for (const model of MODELS) {
  const source = readFileSync(
    new URL(`../models/${model}.pml`, import.meta.url),
    'utf8',
  );
  const mutants = [
    ...new Set(
      [...source.matchAll(/^#ifn?def (MUTANT_\w+)/gm)].map(([, name]) => name),
    ),
  ];
  for (const definitions of isFull ? [[]] : QUICK_CHECK_DEFINITIONS[model]) {
    const {errors, states, isTruncated} = checkModel(model, definitions);
    reportResult(
      ['model', model, ...definitions].join(' '),
      errors === 0 && !isTruncated,
      `${errors} errors in ${states} states${isTruncated ? ', not exhaustive' : ''}`,
    );
  }
  for (const mutant of mutants) {
    const mutantResult = checkModel(model, [mutant]);
    reportResult(
      `model ${model} with ${mutant}`,
      mutantResult.errors > 0,
      mutantResult.errors > 0 ? 'counterexample found' : 'no counterexample',
    );
  }
}

console.log(`${passedCount} passed, ${failedCount} failed`);
process.exitCode = failedCount === 0 ? 0 : 1;
