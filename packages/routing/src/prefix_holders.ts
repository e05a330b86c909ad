/** Remembers to which engine each shared part of a prompt was last sent. */

import type {EndpointId, PromptPartId} from '@snipestage/types/ids.js';
import type {Prompt} from './prompt.js';

/** Options of {@link PrefixHolders}; default in brackets. */
export interface PrefixHoldersOptions {
  /** Number of parts that are remembered (4,096): those of some minutes. */
  readonly maxParts?: number;
}

const DEFAULT_MAX_PARTS = 4096;

/**
 * Remembers, for each shared part, the engine to which this instance sent it
 * last. That engine has the part in its cache, whichever engine the split or a
 * spill-over would choose now, and another one can fetch it from there in a
 * fraction of the time that it takes to process it.
 */
export class PrefixHolders {
  /** Ordered by the time of the last note, oldest first. */
  private readonly holders = new Map<PromptPartId, EndpointId>();
  private readonly maxParts: number;

  constructor(options: PrefixHoldersOptions = {}) {
    this.maxParts = options.maxParts ?? DEFAULT_MAX_PARTS;
  }

  /**
   * Records that the prompt is sent to an engine, which caches its shared
   * parts.
   *
   * @example
   * holders.note(prompt, endpoint.id);
   */
  note(prompt: Prompt, id: EndpointId): void {
    for (const part of prompt.parts.slice(0, -1)) {
      this.holders.delete(part.id);
      this.holders.set(part.id, id);
    }
    for (const part of this.holders.keys()) {
      if (this.holders.size <= this.maxParts) return;
      this.holders.delete(part);
    }
  }

  /**
   * The usable engine that was last sent the longest beginning of the prompt.
   *
   * @example
   * const holder = holders.find(prompt, id => engines.has(id));
   */
  find(
    prompt: Prompt,
    isUsable: (id: EndpointId) => boolean,
  ): EndpointId | undefined {
    return prompt.parts
      .slice(0, -1)
      .toReversed()
      .map(({id}) => this.holders.get(id))
      .find(id => id !== undefined && isUsable(id));
  }
}
