/**
 * Publishing of configuration changes, which works even if the answer of the
 * log is lost.
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

/** Milliseconds between two searches of the log for the published record. */
const POLL_INTERVAL_MILLISECONDS = 200;

/** The result of publishing a change. */
export type PublishResult =
  /**
   * The record was not found in the log before the deadline; it may still
   * appear.
   */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'decided'; readonly outcome: PublishOutcome};

/** Reads the complete configuration stream and returns its configuration. */
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
  const configuration =
    earliest > 0
      ? foldAfterLoss(records, earliest)
      : foldRecords(EMPTY_CONFIGURATION, records);
  if (configuration === undefined) {
    throw new Error(
      'the configuration log lost records that no snapshot covers',
    );
  }
  return configuration;
}

/**
 * Appends `record` and then searches the log for its publish ID, so that a lost
 * answer does not matter. The append is retried only while the log refuses it,
 * because an append without an answer may have succeeded.
 */
export async function publishChange(
  log: LogService,
  record: PublishRecord,
  deadline: number,
  clock: () => number,
): Promise<PublishResult> {
  let appendResult = await tryAppend(log, record);
  while (clock() < deadline) {
    const outcome = await findOutcome(log, record.publishId);
    if (outcome !== undefined) {
      return {kind: 'decided', outcome};
    }
    if (appendResult === 'refused') {
      appendResult = await tryAppend(log, record);
    }
    await new Promise(resolve => {
      setTimeout(resolve, POLL_INTERVAL_MILLISECONDS);
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
    return isRefusedByLog(error) ? 'refused' : 'unanswered';
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

function isRefusedByLog(error: unknown): boolean {
  return error instanceof PlatformError && error.failure === 'refused';
}
