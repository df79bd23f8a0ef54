/**
 * The arguments of the command `lacewingctl where`.
 */
import {readFile} from 'node:fs/promises';

import type {ExplainedRequest, PromptPart} from '@lacewingwinch/decisions';
import {v7 as uuidV7} from 'uuid';
import {z} from 'zod';

import {UsageError} from './command_settings.js';

/** Options of the command, with their help. */
export const WHERE_OPTIONS: readonly (readonly [string, string])[] = [
  ['--workspace <name>', 'Workspace of the request, by its name'],
  ['--key-file <file>', 'File with a workspace key, instead of the name'],
  ['--parts <parts>', 'Parts of the prompt with their tokens, as a:800,b:20'],
  ['--tokens <count>', 'Tokens of the prompt; by default those of its parts'],
  ['--answer-tokens <count>', 'Largest number of tokens of the answer'],
  ['--body-bytes <count>', 'Bytes of the body'],
  ['--deadline <milliseconds>', 'Milliseconds for which the client waits'],
  ['--attempt <id>', 'Id of the attempt, by which versions are assigned'],
  ['--all', 'Ask all entry hosts, and show first where they differ'],
  ['--json', 'The same as --output json'],
];

const COUNT = z.coerce.number().nonnegative();

const SCHEMA = z.object({
  workspace: z.coerce.string().optional(),
  keyFile: z.coerce.string().optional(),
  parts: z.coerce.string().optional(),
  tokens: COUNT.optional(),
  answerTokens: COUNT.default(0),
  bodyBytes: COUNT.default(0),
  deadline: COUNT.optional(),
  attempt: z.coerce.string().optional(),
});

type WhereFlags = z.infer<typeof SCHEMA>;

/** Reads the request that is explained from the arguments of the command. */
export async function readExplainedRequest(
  host: string,
  path: string,
  flags: Readonly<Record<string, unknown>>,
): Promise<ExplainedRequest> {
  const parsed = SCHEMA.safeParse(flags);
  if (!parsed.success) {
    throw new UsageError(
      parsed.error.issues.map(
        ({path: names, message}) => `${flagOf(String(names[0]))}: ${message}`,
      ),
    );
  }
  const {data} = parsed;
  if (!path.startsWith('/')) {
    throw new UsageError([`the path ${path} does not begin with a slash`]);
  }
  const parts = parseParts(data.parts);
  const promptTokens =
    data.tokens ??
    (parts.length === 0
      ? undefined
      : parts.reduce((sum, {tokens}) => sum + tokens, 0));
  return {
    host,
    path,
    workspace: await readWorkspace(data),
    attemptId: data.attempt ?? uuidV7(),
    bodyBytes: data.bodyBytes,
    parts,
    answerTokens: data.answerTokens,
    ...(promptTokens !== undefined && {promptTokens}),
    ...(data.deadline !== undefined && {deadlineMilliseconds: data.deadline}),
  };
}

/** A key is read from a file, because other users see arguments. */
async function readWorkspace({
  workspace,
  keyFile,
}: WhereFlags): Promise<ExplainedRequest['workspace']> {
  if (workspace !== undefined && keyFile !== undefined) {
    throw new UsageError(['--workspace and --key-file exclude each other']);
  }
  if (keyFile === undefined) {
    return workspace === undefined
      ? {kind: 'none'}
      : {kind: 'name', name: workspace};
  }
  const key = await readKey(keyFile);
  if (key === '') {
    throw new UsageError([`${keyFile}: contains no key`]);
  }
  return {kind: 'key', key};
}

async function readKey(file: string): Promise<string> {
  try {
    return (await readFile(file, 'utf8')).trim();
  } catch {
    throw new UsageError([`${file}: cannot be read`]);
  }
}

function parseParts(text: string | undefined): readonly PromptPart[] {
  if (text === undefined) {
    return [];
  }
  return text.split(',').map(part => {
    const [, partId, tokens] = /^([^:\s]+):(\d+)$/.exec(part.trim()) ?? [];
    if (partId === undefined) {
      throw new UsageError([
        `--parts: "${part}" is not an id and a number of tokens, as in a:800`,
      ]);
    }
    return {partId, tokens: Number(tokens)};
  });
}

function flagOf(name: string): string {
  const dashed = name.replaceAll(/[A-Z]/g, letter => `-${letter}`);
  return `--${dashed.toLowerCase()}`;
}
