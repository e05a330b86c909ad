/** Resource usage of a process as counted by the Linux kernel (proc(5)). */

import {readFileSync} from 'node:fs';

/** Counters since the process started, and its memory at `atMs`. */
export interface ProcessUsage {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Bytes read and written by system calls, nearly all of them on sockets. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/** Usage between two readings; memory is that of the second one. */
export interface UsageRate {
  /** CPU time of all threads over elapsed time; 1 is one fully used core. */
  readonly cpuShare: number;
  readonly residentMegabytes: number;
  readonly readKilobytesPerSecond: number;
  readonly writtenKilobytesPerSecond: number;
}

/** The kernel's clock tick: 100 a second on all supported machines. */
const MS_PER_TICK = 10;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const BYTES_PER_KILOBYTE = 1024;
const BYTES_PER_MEGABYTE = BYTES_PER_KILOBYTE * BYTES_PER_KILOBYTE;
const MS_PER_SECOND = 1000;

/**
 * Reads what a process has used so far.
 *
 * @example
 * const before = readProcessUsage(entry.process.pid);
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The second field, the command's name in parentheses, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    atMs: performance.now(),
    cpuMs: ticks * MS_PER_TICK,
    residentBytes: numberAfter(status, 'VmRSS:') * BYTES_PER_KILOBYTE,
    readBytes: numberAfter(io, 'rchar:'),
    writtenBytes: numberAfter(io, 'wchar:'),
  };
}

/**
 * Computes the rates between two readings.
 *
 * @example
 * const {cpuShare} = usageBetween(before, readProcessUsage(pid));
 */
export function usageBetween(
  before: ProcessUsage,
  after: ProcessUsage,
): UsageRate {
  const elapsedMs = after.atMs - before.atMs;
  const kilobytesPerSecond = (bytes: number): number =>
    bytes / BYTES_PER_KILOBYTE / (elapsedMs / MS_PER_SECOND);
  return {
    cpuShare: (after.cpuMs - before.cpuMs) / elapsedMs,
    residentMegabytes: after.residentBytes / BYTES_PER_MEGABYTE,
    readKilobytesPerSecond: kilobytesPerSecond(
      after.readBytes - before.readBytes,
    ),
    writtenKilobytesPerSecond: kilobytesPerSecond(
      after.writtenBytes - before.writtenBytes,
    ),
  };
}

function numberAfter(text: string, label: string): number {
  const at = text.indexOf(label);
  return Number.parseInt(text.slice(at + label.length).trim(), 10);
}
