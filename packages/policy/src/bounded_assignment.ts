/** Assigns items to bins by rendezvous hashing, evenly and without state. */

import {hashText} from './rendezvous.js';

/** Options of {@link assignBounded}. */
export interface AssignmentOptions<Item extends string, Bin extends string> {
  readonly items: Iterable<Item>;
  readonly bins: Iterable<Bin>;
  /**
   * Different bins for each item, 1 by default. With more than 1, an item can
   * get fewer if all other bins are full.
   */
  readonly binsPerItem?: number;
}

interface Pair<Item, Bin> {
  readonly item: Item;
  readonly bin: Bin;
  readonly weight: number;
}

/**
 * Assigns each item to the bins of its highest weights that are not full; a bin
 * is full at the mean number of items, rounded up. Callers with the same items
 * and bins get the same result, and few items move when one is added or
 * removed. Plain rendezvous hashing, without the bound, would give some bins
 * twice the mean.
 *
 * @example
 * assignBounded({items: endpointIds, bins: cellIds}).get(cellId);
 */
export function assignBounded<Item extends string, Bin extends string>(
  options: AssignmentOptions<Item, Bin>,
): Map<Bin, Item[]> {
  const items = [...options.items];
  const bins = [...options.bins];
  const perItem = Math.min(options.binsPerItem ?? 1, bins.length);
  const perBin = Math.ceil((items.length * perItem) / bins.length);
  const assigned = new Map<Bin, Item[]>(bins.map(bin => [bin, []]));
  const missing = new Map<Item, number>(items.map(item => [item, perItem]));
  for (const {item, bin} of pairsByWeight(items, bins)) {
    const content = assigned.get(bin)!;
    const left = missing.get(item)!;
    if (left === 0 || content.length >= perBin) continue;
    content.push(item);
    missing.set(item, left - 1);
  }
  return assigned;
}

function pairsByWeight<Item extends string, Bin extends string>(
  items: readonly Item[],
  bins: readonly Bin[],
): Array<Pair<Item, Bin>> {
  const pairs = items.flatMap(item =>
    bins.map(bin => ({item, bin, weight: hashText(`${item}\n${bin}`)})),
  );
  return pairs.sort(
    (a, b) =>
      b.weight - a.weight ||
      compareText(a.item, b.item) ||
      compareText(a.bin, b.bin),
  );
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
