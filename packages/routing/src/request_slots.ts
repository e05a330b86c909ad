/** Bounds the requests in progress at one instance. */

import type {HolderKey} from './held_bytes.js';

/** Options of {@link RequestSlots}. */
export interface RequestSlotsOptions {
  /** Bound for the requests of all holders together. */
  readonly maxRequests: number;
}

/** What a request and its connections take besides its body and its answer. */
const REQUEST_BYTES = 16_384;
const SHARE_OF_MEMORY = 0.25;
/** Leaves room for others when one client account sends far too much. */
const MAX_SHARE_OF_HOLDER = 0.5;

/** Counts requests from their admission to the end of their answers. */
export class RequestSlots {
  readonly maxRequests: number;
  private readonly byHolder = new Map<HolderKey, number>();

  constructor({maxRequests}: RequestSlotsOptions) {
    this.maxRequests = maxRequests;
  }

  /**
   * Slots for an instance with this much memory.
   *
   * @example
   * const slots = RequestSlots.forMemory(250_000_000);
   */
  static forMemory(memoryBytes: number): RequestSlots {
    const maxRequests = Math.floor(
      (memoryBytes * SHARE_OF_MEMORY) / REQUEST_BYTES,
    );
    return new RequestSlots({maxRequests});
  }

  /** @returns false if the holder has its share already: nothing is taken. */
  tryTake(holder: HolderKey): boolean {
    const taken = this.byHolder.get(holder) ?? 0;
    if (taken >= this.maxRequests * MAX_SHARE_OF_HOLDER) return false;
    this.byHolder.set(holder, taken + 1);
    return true;
  }

  release(holder: HolderKey): void {
    const left = (this.byHolder.get(holder) ?? 0) - 1;
    if (left > 0) this.byHolder.set(holder, left);
    else this.byHolder.delete(holder);
  }
}
