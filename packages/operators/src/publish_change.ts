/**
 * Publishing of a change, also when the answer of the log is lost.
 */
import {
  type Configuration,
  EMPTY_CONFIGURATION,
  foldAfterLoss,
  foldRecords,
  type LogRecord,
  type PublishOutcome,
  type PublishRecord,
} from '@lacewingwinch/decisions';
import {type LogService, PlatformError} from '@lacewingwinch/platform';

/** Milliseconds between two looks for the own record. */
const LOOK_PERIOD_MILLISECONDS = 200;

/** How a publish ended. */
export type PublishResult =
  /** The log never showed the record; it may still appear. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'decided'; readonly outcome: PublishOutcome};

/** Reads the whole configuration stream. */
export async function readConfiguration(
  log: LogService,
): Promise<Configuration> {
  const records: LogRecord[] = [];
  let from = 0;
  let earliest = 0;
  for (;;) {
    const page = await log.read('configuration', from, 0);
    if (records.length === 0) {
      earliest = page.earliest;
    }
    records.push(...page.records);
    from = (page.records.at(-1)?.offset ?? page.tail - 1) + 1;
    if (from >= page.tail) {
      break;
    }
  }
  const folded =
    earliest > 0
      ? foldAfterLoss(records, earliest)
      : foldRecords(EMPTY_CONFIGURATION, records);
  if (folded === undefined) {
    throw new Error('the log lost records that no snapshot covers');
  }
  return folded;
}

/**
 * Appends `record` and finds it again by its publish id, so that a lost answer
 * does no harm. An append is tried again only while the log refuses it.
 */
export async function publishChange(
  log: LogService,
  record: PublishRecord,
  deadline: number,
  clock: () => number,
): Promise<PublishResult> {
  let append = await tryAppend(log, record);
  while (clock() < deadline) {
    const outcome = await findOutcome(log, record.publishId);
    if (outcome !== undefined) {
      return {kind: 'decided', outcome};
    }
    if (append === 'refused') {
      append = await tryAppend(log, record);
    }
    await new Promise(resolve => {
      setTimeout(resolve, LOOK_PERIOD_MILLISECONDS);
    });
  }
  return {kind: 'unknown'};
}

async function tryAppend(
  log: LogService,
  record: PublishRecord,
): Promise<'appended' | 'refused' | 'unanswered'> {
  try {
    await log.append('configuration', record);
    return 'appended';
  } catch (error) {
    return isRefusal(error) ? 'refused' : 'unanswered';
  }
}

async function findOutcome(
  log: LogService,
  publishId: string,
): Promise<PublishOutcome | undefined> {
  try {
    const configuration = await readConfiguration(log);
    return configuration.outcomes.get(publishId);
  } catch {
    return undefined;
  }
}

function isRefusal(error: unknown): boolean {
  return error instanceof PlatformError && error.failure === 'refused';
}
