/**
 * The list of tests and days that are known to fail, `KNOWN-RED.txt`. Entries are
 * separated by empty lines. An entry names one or more tests or days, each on a
 * line of its own, and states its fields on indented lines.
 */

/** What an entry names. */
export type KnownRedSubject =
  /** A test of the suite: its file, the names of its groups, and its name. */
  | {readonly kind: 'test'; readonly name: string}
  /** A day of the bench, which the test command does not play. */
  | {readonly kind: 'day'; readonly name: string}
  /** A seed of the soak, which the test command does not run. */
  | {readonly kind: 'soak'; readonly name: string};

/** One entry of the list. */
export interface KnownRedEntry {
  readonly subjects: readonly KnownRedSubject[];
  /** Command that shows the failure. */
  readonly command: string;
  readonly seed: string;
  readonly seen: string;
  /** Number of the open issue. */
  readonly issue: number;
}

/** The list, or all faults found in it. */
export type KnownRedList =
  | {readonly kind: 'valid'; readonly entries: readonly KnownRedEntry[]}
  | {readonly kind: 'faulty'; readonly faults: readonly string[]};

const FIELDS = ['command', 'seed', 'seen', 'issue'] as const;

type FieldName = (typeof FIELDS)[number];

const SUBJECT_KINDS = ['test', 'day', 'soak'] as const;
const SUBJECT_PATTERN = /^(\w+): (\S.*)$/;
const FIELD_PATTERN = /^ {2}(\w+): (\S.*)$/;
const CONTINUATION_PATTERN = /^ {4,}(\S.*)$/;
const TEST_NAME_PATTERN = /^\S+_test\.ts > \S/;

/** Parses the text of the list. Lines that begin with `#` are comments. */
export function parseKnownRedList(text: string): KnownRedList {
  const blocks = text
    .split('\n')
    .filter(line => !line.startsWith('#'))
    .join('\n')
    .split(/\n\s*\n/)
    .filter(block => block.trim() !== '');
  const results = blocks.map(parseEntry);
  const entries = results.flatMap(result =>
    'faults' in result ? [] : [result],
  );
  const faults = [
    ...results.flatMap(result => ('faults' in result ? result.faults : [])),
    ...repeatedNames(entries).map(name => `listed twice: ${name}`),
  ];
  return faults.length > 0
    ? {kind: 'faulty', faults}
    : {kind: 'valid', entries};
}

/** Returns the names of the listed tests. */
export function listedTests(
  entries: readonly KnownRedEntry[],
): readonly string[] {
  return entries.flatMap(({subjects}) =>
    subjects.flatMap(({kind, name}) => (kind === 'test' ? [name] : [])),
  );
}

function parseEntry(
  block: string,
): KnownRedEntry | {readonly faults: readonly string[]} {
  const subjects: KnownRedSubject[] = [];
  const fields = new Map<string, string>();
  const faults: string[] = [];
  let field: string | undefined;
  for (const line of block.split('\n').filter(row => row.trim() !== '')) {
    const subject = subjectOf(line);
    const named = FIELD_PATTERN.exec(line);
    const continued = CONTINUATION_PATTERN.exec(line);
    if (subject !== undefined && fields.size === 0) {
      subjects.push(subject);
    } else if (
      named !== null &&
      isFieldName(named[1]) &&
      !fields.has(named[1])
    ) {
      field = named[1];
      fields.set(field, named[2] ?? '');
    } else if (continued !== null && field !== undefined) {
      fields.set(field, `${fields.get(field) ?? ''} ${continued[1] ?? ''}`);
    } else {
      faults.push(`not a line of an entry: ${line}`);
    }
  }
  faults.push(...faultsOf(block, subjects, fields));
  return faults.length > 0
    ? {faults}
    : {
        subjects,
        command: fields.get('command') ?? '',
        seed: fields.get('seed') ?? '',
        seen: fields.get('seen') ?? '',
        issue: Number(fields.get('issue')),
      };
}

function faultsOf(
  block: string,
  subjects: readonly KnownRedSubject[],
  fields: ReadonlyMap<string, string>,
): readonly string[] {
  const [firstLine = ''] = block.split('\n');
  const faults = FIELDS.filter(name => !fields.has(name)).map(
    name => `no ${name}: ${firstLine}`,
  );
  if (subjects.length === 0) {
    faults.push(`names nothing that fails: ${firstLine}`);
  }
  for (const {kind, name} of subjects) {
    if (kind === 'test' && !TEST_NAME_PATTERN.test(name)) {
      faults.push(`not the full name of a test: ${name}`);
    }
  }
  const issue = fields.get('issue');
  if (issue !== undefined && !/^\d+$/.test(issue)) {
    faults.push(`not the number of an issue: ${issue}`);
  }
  return faults;
}

function subjectOf(line: string): KnownRedSubject | undefined {
  const [, word, name = ''] = SUBJECT_PATTERN.exec(line) ?? [];
  const kind = SUBJECT_KINDS.find(known => known === word);
  return kind === undefined ? undefined : {kind, name};
}

function isFieldName(name: string | undefined): name is FieldName {
  return FIELDS.some(known => known === name);
}

function repeatedNames(entries: readonly KnownRedEntry[]): readonly string[] {
  const names = entries.flatMap(({subjects}) => subjects.map(({name}) => name));
  return names.filter((name, index) => names.indexOf(name) !== index);
}
