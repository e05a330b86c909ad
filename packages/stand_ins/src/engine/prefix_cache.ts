/** The bounded cache of prompt prefixes, with events that come late. */

import {createHash} from 'node:crypto';

/** How the cache is built and how well it tells of itself. */
export interface PrefixCacheOptions {
  readonly capacityBlocks?: number;
  readonly eventLagMs?: number;
  /** Every so manyth event is never told; 0 tells all. */
  readonly eventGapEvery?: number;
}

/** As `GET /v1/cache-events` tells it. */
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
const MOST_EVENTS_KEPT = 2000;

/**
 * The hash of each prefix of a prompt that is whole blocks long, shortest
 * first: SHA-256 over the hash before and the block's words, cut to 16 digits.
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

/** Least recently used blocks go first. */
export class PrefixCache {
  eventLagMs: number;
  eventGapEvery: number;
  private readonly capacityBlocks: number;
  /** In order of use, the latest last. */
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
   * Takes a prompt in.
   *
   * @returns how many of its tokens were cached before.
   * @example
   * const misses = tokens - cache.take(prompt, Date.now());
   */
  take(prompt: string, nowEpochMs: number): number {
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

  /** Empties it, as a crash does; nothing tells of that. */
  clear(): void {
    this.blocks.clear();
    this.events = [];
  }

  /** Events after a sequence number that are old enough to be told. */
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
    if (this.events.length > MOST_EVENTS_KEPT) this.events.shift();
  }
}
