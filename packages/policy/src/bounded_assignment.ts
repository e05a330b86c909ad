/** Assigns items to bins by rendezvous hashing, evenly and without memory. */

import {hashText} from './rendezvous.js';

/** What {@link assignBounded} assigns. */
export interface AssignmentOptions<Item extends string, Bin extends string> {
  readonly items: Iterable<Item>;
  readonly bins: Iterable<Bin>;
  /** Different bins that each item gets. */
  readonly binsPerItem?: number;
}

interface Pair<Item, Bin> {
  readonly item: Item;
  readonly bin: Bin;
  readonly weight: number;
}

/**
 * Each item goes to the bins of its highest weights that are not full; a bin is
 * full at the mean, rounded up. All that know the same items and bins come to
 * the same result, and few items move when one comes or goes. Plain rendezvous
 * hashing, without the bound, would leave some bins with twice the mean.
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
