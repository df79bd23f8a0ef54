/** What a process uses, as the kernel counts it. */
import {readdirSync, readFileSync} from 'node:fs';

const KIBIBYTES_PER_MEBIBYTE = 1024;

/** Returns the largest resident memory that a process has had, in MiB. */
export function peakMegabytesOf(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kibibytes = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]);
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
