/**
 * Hands out processor time in quotas to processes that its standard input names:
 * a process that has used its quota of a period is suspended until the next one.
 * A process of its own, since the soak's may be late itself.
 *
 * Lines read: `limit <pid> <quota in ms>`, `release <pid>`. A released process is
 * not resumed: it may be about to be frozen.
 */

import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';

/** The usual period of bandwidth control on Linux. */
const PERIOD_MS = 100;
const CHECK_EVERY_MS = 4;
const NS_PER_MS = 1e6;

interface LimitedProcess {
  readonly quotaMs: number;
  periodEndsAtMs: number;
  /** Time of its main thread on a processor when the period began. */
  usedAtStartMs: number;
  isSuspended: boolean;
}

const limited = new Map<number, LimitedProcess>();

function readUsedMs(pid: number): number {
  const [usedNs] = readFileSync(`/proc/${pid}/schedstat`, 'utf8').split(' ');
  return Number(usedNs) / NS_PER_MS;
}

function limit(pid: number, quotaMs: number): void {
  const usedAtStartMs = readUsedMs(pid);
  // Periods of different machines don't begin together.
  const periodEndsAtMs = performance.now() + Math.random() * PERIOD_MS;
  limited.set(pid, {
    quotaMs,
    periodEndsAtMs,
    usedAtStartMs,
    isSuspended: false,
  });
}

function check(pid: number, checked: LimitedProcess): void {
  const nowMs = performance.now();
  if (nowMs >= checked.periodEndsAtMs) {
    while (checked.periodEndsAtMs <= nowMs) checked.periodEndsAtMs += PERIOD_MS;
    checked.usedAtStartMs = readUsedMs(pid);
    if (checked.isSuspended) process.kill(pid, 'SIGCONT');
    checked.isSuspended = false;
  } else if (
    !checked.isSuspended &&
    readUsedMs(pid) - checked.usedAtStartMs >= checked.quotaMs
  ) {
    checked.isSuspended = true;
    process.kill(pid, 'SIGSTOP');
  }
}

/** A process may end at any time; its limit ends with it. */
function attempt(pid: number, action: () => void): void {
  try {
    action();
  } catch {
    limited.delete(pid);
  }
}

const timer = setInterval(() => {
  for (const [pid, checked] of limited) {
    attempt(pid, () => check(pid, checked));
  }
}, CHECK_EVERY_MS);

const lines = createInterface({input: process.stdin});
lines.on('line', line => {
  const [verb, pidText, quotaText] = line.split(' ');
  const pid = Number(pidText);
  if (verb === 'limit') attempt(pid, () => limit(pid, Number(quotaText)));
  else limited.delete(pid);
});
lines.on('close', () => {
  clearInterval(timer);
  for (const [pid, {isSuspended}] of limited) {
    if (isSuspended) attempt(pid, () => process.kill(pid, 'SIGCONT'));
  }
});
