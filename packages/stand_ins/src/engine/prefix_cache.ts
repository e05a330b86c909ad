/** A bounded cache of prompt prefixes that publishes its events with a lag. */

import {createHash} from 'node:crypto';

/** Size of a {@link PrefixCache}, and lag and gaps of its events. */
export interface PrefixCacheOptions {
  readonly capacityBlocks?: number;
  readonly eventLagMs?: number;
  /** Every n-th event is never published; 0 publishes all. */
  readonly eventGapEvery?: number;
}

/** An event as returned by `GET /v1/cache-events`. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

interface TimedEvent extends CacheEvent {
  readonly atEpochMs: number;
}

export const BLOCK_TOKENS = 16;
const HASH_LENGTH = 16;
const DEFAULT_CAPACITY_BLOCKS = 4096;
const DEFAULT_EVENT_LAG_MS = 200;
const MAX_EVENT_COUNT = 2000;

/**
 * Returns the hash of each prefix of a prompt that consists of whole blocks,
 * shortest first: SHA-256 over the previous hash, a line break and the block's
 * words, cut to 16 hex digits.
 *
 * @example
 * const [shortest] = prefixHashesOf(prompt);
 */
export function prefixHashesOf(prompt: string): string[] {
  const words = prompt.split(/\s+/).filter(word => word !== '');
  const hashes: string[] = [];
  let hash = '';
  for (let end = BLOCK_TOKENS; end <= words.length; end += BLOCK_TOKENS) {
    const block = words.slice(end - BLOCK_TOKENS, end).join(' ');
    hash = createHash('sha256').update(`${hash}\n${block}`).digest('hex');
    hash = hash.slice(0, HASH_LENGTH);
    hashes.push(hash);
  }
  return hashes;
}

/** Evicts the least recently used blocks first. */
export class PrefixCache {
  eventLagMs: number;
  eventGapEvery: number;
  private readonly capacityBlocks: number;
  /** In order of use, the most recent last. */
  private readonly blocks = new Set<string>();
  private events: TimedEvent[] = [];
  private sequence = 0;

  constructor(options: PrefixCacheOptions = {}) {
    this.capacityBlocks = options.capacityBlocks ?? DEFAULT_CAPACITY_BLOCKS;
    this.eventLagMs = options.eventLagMs ?? DEFAULT_EVENT_LAG_MS;
    this.eventGapEvery = options.eventGapEvery ?? 0;
  }

  get usedShare(): number {
    return this.blocks.size / this.capacityBlocks;
  }

  /**
   * Stores the blocks of a prompt and marks them as recently used.
   *
   * @returns how many of its tokens were already cached.
   * @example
   * const misses = tokens - cache.touch(prompt, Date.now());
   */
  touch(prompt: string, nowEpochMs: number): number {
    let cachedBlocks = 0;
    let isPrefixCached = true;
    for (const hash of prefixHashesOf(prompt)) {
      const wasThere = this.blocks.delete(hash);
      this.blocks.add(hash);
      isPrefixCached &&= wasThere;
      if (isPrefixCached) cachedBlocks += 1;
      if (!wasThere) this.addEvent('stored', hash, nowEpochMs);
    }
    this.evict(nowEpochMs);
    return cachedBlocks * BLOCK_TOKENS;
  }

  /** Empties the cache, as a crash does, without publishing any event. */
  clear(): void {
    this.blocks.clear();
    this.events = [];
  }

  /** Returns events after a sequence number that are at least the lag old. */
  eventsAfter(sequence: number, nowEpochMs: number): CacheEvent[] {
    return this.events
      .filter(event => event.sequence > sequence)
      .filter(event => event.atEpochMs <= nowEpochMs - this.eventLagMs)
      .map(({kind, prefixHash, sequence: at}) => ({
        sequence: at,
        kind,
        prefixHash,
      }));
  }

  private evict(nowEpochMs: number): void {
    for (const hash of this.blocks) {
      if (this.blocks.size <= this.capacityBlocks) return;
      this.blocks.delete(hash);
      this.addEvent('evicted', hash, nowEpochMs);
    }
  }

  private addEvent(
    kind: CacheEvent['kind'],
    prefixHash: string,
    atEpochMs: number,
  ): void {
    this.sequence += 1;
    const isGap =
      this.eventGapEvery > 0 && this.sequence % this.eventGapEvery === 0;
    if (isGap) return;
    this.events.push({sequence: this.sequence, kind, prefixHash, atEpochMs});
    if (this.events.length > MAX_EVENT_COUNT) this.events.shift();
  }
}
