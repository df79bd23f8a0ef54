/**
 * The duty record after the store has come back from an older copy. Records
 * that were appended since the copy are lost, together with the counts that
 * they fixed and that the platform may have accepted. Counts that this host has
 * read are fixed again with the same values. All other windows that can have
 * been fixed are left out, because their reported counts are unknown.
 */
import {eraOf} from '../store/store_position.js';
import type {DutyRecord, DutyView, UsageCounts} from './duty_record.js';

/** Largest number of windows whose counts are remembered. */
const MAXIMUM_REMEMBERED_WINDOWS = 16;

/** The fixed counts of usage that this process has read, by window. */
export class KnownUsage {
  private readonly countsByWindow = new Map<number, UsageCounts>();

  /**
   * Remembers the counts of a record that was read in the era in which it was
   * written. Counts of a record from another era are not certain.
   */
  remember(record: DutyRecord, era: number): void {
    if (record.era !== era) {
      return;
    }
    for (const [window, counts] of Object.entries(record.fixedUsage)) {
      this.countsByWindow.set(Number(window), counts);
    }
    const windows = [...this.countsByWindow.keys()].sort(
      (left, right) => right - left,
    );
    for (const window of windows.slice(MAXIMUM_REMEMBERED_WINDOWS)) {
      this.countsByWindow.delete(window);
    }
  }

  /** Returns the remembered counts of windows later than `window`. */
  after(window: number): Readonly<Record<string, UsageCounts>> {
    return Object.fromEntries(
      [...this.countsByWindow]
        .filter(([known]) => known > window)
        .map(([known, counts]) => [String(known), counts]),
    );
  }
}

/** What a host knows when it reads a record of an earlier era. */
export interface ReconcilingHost {
  readonly known: KnownUsage;
  /** The window that contains the present true time. */
  readonly currentWindow: number;
}

/** The parts of a duty record that its next holder continues. */
export type ContinuedRecord = Omit<DutyRecord, 'era' | 'holder' | 'processId'>;

const NOTHING_DONE: ContinuedRecord = {
  fixedUsage: {},
  reportedTo: -1,
  closedTo: -1,
  mostLastingEngines: {},
};

/**
 * Returns what the next holder continues from the newest record. A record that
 * was written in this era is continued unchanged.
 */
export function reconcileDutyRecord(
  {record, end, isFirstEra}: DutyView,
  {known, currentWindow}: ReconcilingHost,
): ContinuedRecord {
  if (record?.era === eraOf(end)) {
    return record;
  }
  if (record === undefined && isFirstEra) {
    return NOTHING_DONE;
  }
  const reportedTo = record?.reportedTo ?? -1;
  return {
    reportedTo,
    mostLastingEngines: record?.mostLastingEngines ?? {},
    enginePlans: record?.enginePlans,
    fixedUsage: known.after(reportedTo),
    // Windows are fixed after their end, so the current one cannot have been
    // fixed in an earlier era.
    closedTo: Math.max(record?.closedTo ?? -1, currentWindow - 1),
  };
}
