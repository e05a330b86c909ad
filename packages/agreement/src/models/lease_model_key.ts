/** Keys that are the same for equivalent states of lease and orders. */

import type {LeaseWorld, Process} from './lease_world.js';

/**
 * States are equivalent if they differ only in the time and in how far counters
 * have risen: instants are written relative to the process's clock, and versions,
 * renewals and call numbers as their ranks.
 */
export function serializeLeaseWorld(state: LeaseWorld): string {
  const processes = state.processes.map(serializeTimes);
  const text = JSON.stringify({...state, processes}, (field, value: unknown) =>
    RETRY_FIELDS.includes(field) ? undefined : value,
  );
  const values = new Map<string, Set<number>>();
  for (const [, name, digits] of text.matchAll(COUNTERS)) {
    const counter = COUNTER_OF[name];
    values.set(counter, (values.get(counter) ?? new Set()).add(Number(digits)));
  }
  const sorted = new Map(
    [...values].map(([counter, set]) => [
      counter,
      [0, ...[...set].filter(Boolean).sort((left, right) => left - right)],
    ]),
  );
  return text.replaceAll(COUNTERS, (_, name: string, digits: string) => {
    const rank = sorted.get(COUNTER_OF[name])!.indexOf(Number(digits));
    return `"${name}":${rank}`;
  });
}

/** Fields that only set the length of a wait, which the exploration chooses. */
const RETRY_FIELDS = ['tries', 'delayMs'];
const COUNTERS = /"(version|fenceVersion|renewals|call)":(\d+)/g;
const COUNTER_OF: Readonly<Record<string, string>> = {
  version: 'version',
  fenceVersion: 'version',
  renewals: 'renewals',
  call: 'call',
};

function serializeTimes(process: Process): unknown {
  const {lease, nowMs} = process;
  const {options, held, seen, era, pending, polledAtMs} = lease;
  const age = (sinceMs: number | undefined, mostMs: number) =>
    sinceMs === undefined ? undefined : Math.min(nowMs - sinceMs, mostMs);
  return {
    ...process,
    nowMs: 0,
    lease: {
      ...lease,
      options: undefined,
      call: undefined,
      polledAtMs: age(polledAtMs, options.pollEveryMs),
      held: held && {
        ...held,
        termEndsAtMs: Math.max(0, held.termEndsAtMs - nowMs),
        renewedAtMs: age(held.renewedAtMs, options.termMs),
      },
      seen: seen && {
        ...seen,
        sinceMs: age(seen.sinceMs, options.termMs + options.marginMs),
      },
      era: era && {
        ...era,
        sinceMs:
          era.number > 0 && age(era.sinceMs, options.termMs + options.marginMs),
      },
      pending:
        pending?.kind === 'poll' || pending === undefined
          ? pending
          : {...pending, sentAtMs: age(pending.sentAtMs, options.termMs)},
    },
  };
}
