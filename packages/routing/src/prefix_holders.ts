/** Which engine was last sent a shared part of a prompt. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {Prompt, PromptPartId} from './prompt.js';

/** What {@link PrefixHolders} are made from; default in the brackets. */
export interface PrefixHoldersOptions {
  /** Parts that are remembered (4,096): some minutes' worth. */
  readonly maxParts?: number;
}

const DEFAULT_MAX_PARTS = 4096;

/**
 * Remembers, for each shared part, the engine that this instance sent it to
 * last. That engine has the part in its cache, wherever the split or a spill
 * would put it now, and another one can fetch it from there in a fraction of the
 * time that it takes to read it.
 */
export class PrefixHolders {
  /** In the order in which they were last noted, oldest first. */
  private readonly holders = new Map<PromptPartId, EndpointId>();
  private readonly maxParts: number;

  constructor(options: PrefixHoldersOptions = {}) {
    this.maxParts = options.maxParts ?? DEFAULT_MAX_PARTS;
  }

  /**
   * The prompt goes to this engine, which will have its shared parts.
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
   * The engine that has most of the prompt's beginning, as far as is known.
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
