/** What a process uses, as the kernel counts it. */
import {readdirSync, readFileSync} from 'node:fs';

const KIBIBYTES_PER_MEBIBYTE = 1024;

/** Returns the largest resident memory that a process has had, in MiB. */
export function peakMegabytesOf(pid: number): number {
  return megabytesOf(pid, 'VmHWM');
}

/**
 * Returns the resident memory of a process by kind, for the message of a failed check.
 * Pages of files depend on how the kernel has read the files, not on the process alone.
 */
export function residentMemoryText(pid: number): string {
  const anonymous = megabytesOf(pid, 'RssAnon').toFixed(1);
  const files = megabytesOf(pid, 'RssFile').toFixed(1);
  return `resident now: ${anonymous} MiB anonymous, ${files} MiB of files`;
}

function megabytesOf(
  pid: number,
  field: 'RssAnon' | 'RssFile' | 'VmHWM',
): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(
    new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1],
  );
  return kibibytes / KIBIBYTES_PER_MEBIBYTE;
}

/** Returns the number of descriptors that a process has open. */
export function countDescriptorsOf(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    // The process has ended.
    return 0;
  }
}
