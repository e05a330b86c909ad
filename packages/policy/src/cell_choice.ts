/** Which of its cells an entry instance sends a request to. */

import type {CellId} from '@snipestage/types/ids.js';
import type {RandomSource} from './random_source.js';
import {rankByRendezvous} from './rendezvous.js';

/** Waits that differ by less than this are taken as equal. */
const EQUAL_WAIT_MS = 50;

/** A cell as one instance sees it. */
export interface CellLoad {
  readonly cell: CellId;
  /** Requests that could start without asking. */
  readonly freePermits: number;
  /** Requests of the instance that wait there. */
  readonly waiting: number;
  /** What a request would wait, by what others waited lately. */
  readonly expectedWaitMs: number;
}

/** What {@link chooseCell} works from. */
export interface CellChoiceOptions {
  /** Cells that may serve the request; those that refused it left out. */
  readonly loads: readonly CellLoad[];
  readonly prefixHash?: string;
  readonly random: RandomSource;
}

/**
 * The cell with the shortest expected wait. Among equals the one whose endpoints
 * have seen the prompt's start before, else the one with the most free permits
 * of two taken at random; `undefined` if there is none.
 *
 * @example
 * const cell = chooseCell({loads, random: Math.random});
 */
export function chooseCell(options: CellChoiceOptions): CellId | undefined {
  const {loads, prefixHash, random} = options;
  if (loads.length === 0) return undefined;
  const shortestMs = Math.min(...loads.map(load => load.expectedWaitMs));
  const equals = loads.filter(
    load => load.expectedWaitMs <= shortestMs + EQUAL_WAIT_MS,
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
