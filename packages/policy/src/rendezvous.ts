/**
 * Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998): each
 * key ranks all candidates by a hash of both. When a candidate is removed, only
 * its own keys move, and they spread over all the others.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * A 32-bit hash: FNV-1a with the final mix of MurmurHash3, because FNV alone
 * leaves the high bits of short ids similar.
 *
 * @example
 * hashText('akl-a-repair-1'); // the same on every instance
 */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * All candidates, ordered by descending weight for the key.
 *
 * @example
 * rankByRendezvous('cell-1', ['akl-a-1', 'akl-a-2'])[0]; // the owner
 */
export function rankByRendezvous<Id extends string>(
  key: string,
  candidates: Iterable<Id>,
): Id[] {
  const weighted = [...candidates].map(id => ({
    id,
    weight: hashText(`${key}\n${id}`),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map(({id}) => id);
}
