/** What a process has used, as the Linux kernel counts it (proc(5)). */

import {readFileSync} from 'node:fs';

/** Counted since the process began, but for the memory. */
export interface ProcessUsage {
  readonly atMs: number;
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Bytes read and written by system calls, nearly all on sockets. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/** Between two readings. */
export interface UsageRate {
  /** Of one core, 0 to 1. */
  readonly cpuShare: number;
  readonly residentMegabytes: number;
  readonly readKilobytesPerSecond: number;
  readonly writtenKilobytesPerSecond: number;
}

/** The kernel's clock ticks; 100 a second on every supported machine. */
const MS_PER_TICK = 10;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const KILOBYTE = 1024;
const MEGABYTE = KILOBYTE * KILOBYTE;
const MS_PER_SECOND = 1000;

/**
 * Reads what a process has used so far.
 *
 * @example
 * const before = readProcessUsage(entry.process.pid);
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The second field, the name, may hold blanks; it ends with a bracket.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  return {
    atMs: performance.now(),
    cpuMs: ticks * MS_PER_TICK,
    residentBytes: numberAfter(status, 'VmRSS:') * KILOBYTE,
    readBytes: numberAfter(io, 'rchar:'),
    writtenBytes: numberAfter(io, 'wchar:'),
  };
}

/**
 * The rates between two readings.
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
    bytes / KILOBYTE / (elapsedMs / MS_PER_SECOND);
  return {
    cpuShare: (after.cpuMs - before.cpuMs) / elapsedMs,
    residentMegabytes: after.residentBytes / MEGABYTE,
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
