/** Chooses the cell to which an entry instance sends a request. */

import type {CellId} from '@snipestage/types/ids.js';
import type {RandomSource} from './random_source.js';
import {rankByRendezvous} from './rendezvous.js';

/** Expected waits within this of the shortest one are treated as equal. */
const EQUAL_WAIT_TOLERANCE_MS = 50;

/** A cell as one instance sees it. */
export interface CellLoad {
  readonly cell: CellId;
  /** Permits of the instance's allotment that are free. */
  readonly freePermits: number;
  /** Requests of the instance that are waiting at the cell. */
  readonly waiting: number;
  /** Expected wait of a new request, estimated from recent waits. */
  readonly expectedWaitMs: number;
}

/** Options of {@link chooseCell}. */
export interface CellChoiceOptions {
  /** Cells that may serve the request, without those that refused it. */
  readonly loads: readonly CellLoad[];
  readonly prefixHash?: string;
  readonly random: RandomSource;
}

/**
 * Chooses the cell with the shortest expected wait; `undefined` if there is
 * none. Among cells with equal waits, those with free permits are preferred. Of
 * these, rendezvous hashing of the prompt prefix selects one, since its
 * endpoints have probably seen the prefix before; without a prefix hash, the
 * one with the most free permits of two random picks is chosen.
 *
 * @example
 * const cell = chooseCell({loads, random: Math.random});
 */
export function chooseCell(options: CellChoiceOptions): CellId | undefined {
  const {loads, prefixHash, random} = options;
  if (loads.length === 0) return undefined;
  const shortestMs = Math.min(...loads.map(load => load.expectedWaitMs));
  const equals = loads.filter(
    load => load.expectedWaitMs <= shortestMs + EQUAL_WAIT_TOLERANCE_MS,
  );
  const open = equals.filter(load => load.freePermits > 0);
  const candidates = open.length > 0 ? open : equals;
  if (prefixHash !== undefined) {
    return rankByRendezvous(
      prefixHash,
      candidates.map(({cell}) => cell),
    )[0];
  }
  const first = pick(candidates, random);
  const second = pick(candidates, random);
  return isBetter(second, first) ? second.cell : first.cell;
}

function pick(loads: readonly CellLoad[], random: RandomSource): CellLoad {
  return loads[Math.floor(random() * loads.length)];
}

function isBetter(a: CellLoad, b: CellLoad): boolean {
  if (a.freePermits !== b.freePermits) return a.freePermits > b.freePermits;
  return a.waiting < b.waiting;
}
