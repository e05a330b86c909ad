/** Copies of usage counters, as sent to the peer that holds them. */

import type {CounterValue} from '@snipestage/agreement/usage_rows.js';
import type {UsageLine} from '@snipestage/types/platform_messages.js';

/** Counters of one window, as held by a peer. */
export interface UsageCopy {
  readonly key: string;
  readonly value: CounterValue;
}

/** Changes in one window's counters since the last message. */
export interface UsageCopyChange {
  readonly key: string;
  /**
   * Sequence of the value to which the lines apply; 0 if all lines are
   * included.
   */
  readonly afterSequence: number;
  readonly sequence: number;
  /** Changed lines with their full counts, not differences. */
  readonly lines: readonly UsageLine[];
}

/**
 * Returns the changes since the values that were sent last. With hundreds of
 * client accounts, full counters would take up most of the control traffic that
 * an instance may send.
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
 * Returns the replica's value after a change; `undefined` if an earlier message
 * was lost. Counters with a gap must not be written: they could replace counts
 * in the table by lower ones.
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
