/** Copies of usage counters on their way to the peer that keeps them. */

import type {CounterValue} from '@snipestage/agreement/usage_rows.js';
import type {UsageLine} from '@snipestage/types/platform_messages.js';

/** Counters of one window as a peer keeps them. */
export interface UsageCopy {
  readonly key: string;
  readonly value: CounterValue;
}

/** What has changed in one window's counters since the last message. */
export interface UsageCopyChange {
  readonly key: string;
  /** The sequence that the lines are added to; 0 brings all lines. */
  readonly afterSequence: number;
  readonly sequence: number;
  /** Whole lines, not differences. */
  readonly lines: readonly UsageLine[];
}

/**
 * What to send, given what was sent last. With hundreds of client accounts the
 * whole counters would be most of what an instance may send for control.
 *
 * @example
 * const changes = composeChanges(lastSent, copies);
 */
export function composeChanges(
  lastSent: ReadonlyMap<string, CounterValue>,
  copies: readonly UsageCopy[],
): UsageCopyChange[] {
  return copies.flatMap(({key, value}) => {
    const before = lastSent.get(key);
    if (before?.sequence === value.sequence) return [];
    const known = new Set(before?.lines.map(line => JSON.stringify(line)));
    const lines = value.lines.filter(line => !known.has(JSON.stringify(line)));
    const {sequence} = value;
    return [{key, afterSequence: before?.sequence ?? 0, sequence, lines}];
  });
}

/**
 * The keeper's value after a change; `undefined` when a message before it was
 * lost. Counters with a gap must not be written: they could take back figures
 * that the table already has.
 *
 * @example
 * const value = applyChange(known, change);
 */
export function applyChange(
  known: CounterValue | undefined,
  change: UsageCopyChange,
): CounterValue | undefined {
  const {sequence, afterSequence, lines} = change;
  if (afterSequence === 0) return {sequence, lines};
  if (known?.sequence !== afterSequence) return undefined;
  const byLine = new Map(known.lines.map(line => [nameOf(line), line]));
  for (const line of lines) byLine.set(nameOf(line), line);
  return {sequence, lines: [...byLine.values()]};
}

function nameOf(line: UsageLine): string {
  return JSON.stringify([line.clientAccount, line.requestClass]);
}
