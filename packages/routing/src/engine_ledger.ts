/** Tokens of this instance's requests at one engine. */

import type {PromptPartId} from '@snipestage/types/ids.js';
import {countSharedTokens, deepestSharedPart, type Prompt} from './prompt.js';

/** What a request adds to an engine. */
export interface RequestTokens {
  /** The last part of the prompt, which no other request has sent. */
  readonly ownTokens: number;
  readonly sharedTokens: number;
  readonly outputTokens: number;
  /** Deepest shared part; undefined without one. */
  readonly sharedPart: PromptPartId | undefined;
}

/** Options of {@link EngineLedger}; default in brackets. */
export interface EngineLedgerOptions {
  /** Shared parts that are remembered (128). */
  readonly maxParts?: number;
}

const DEFAULT_MAX_PARTS = 128;
/** Accounts for requests from their sending to their end. */
export class EngineLedger {
  /** Tokens of prompts whose streams have not begun. */
  unreadTokens = 0;
  /** Number of these prompts. */
  unreadCount = 0;
  private ownHeldTokens = 0;
  /** Shared parts of requests in progress. */
  private readonly used = new Map<PromptPartId, {tokens: number; by: number}>();
  /** Shared parts that were sent, the latest last. */
  private readonly sent = new Set<PromptPartId>();
  private readonly maxParts: number;

  constructor(options: EngineLedgerOptions = {}) {
    this.maxParts = options.maxParts ?? DEFAULT_MAX_PARTS;
  }

  /** Whether this instance has sent the part, so that the engine caches it. */
  hasSent(part: PromptPartId | undefined): boolean {
    return part !== undefined && this.sent.has(part);
  }

  /** Memory that the requests take up; a shared part counts once. */
  get heldTokens(): number {
    let shared = 0;
    for (const {tokens} of this.used.values()) shared += tokens;
    return this.ownHeldTokens + shared;
  }

  /**
   * Memory that a further request would take up.
   *
   * @example
   * const isFree = held + ledger.neededTokens(tokens) <= memory;
   */
  neededTokens(request: RequestTokens): number {
    const {ownTokens, outputTokens, sharedTokens, sharedPart} = request;
    const isHeld = this.hasSent(sharedPart);
    return ownTokens + outputTokens + (isHeld ? 0 : sharedTokens);
  }

  /** A request is sent; {@link removeRequest} follows. */
  addRequest(request: RequestTokens): void {
    const {ownTokens, outputTokens, sharedTokens, sharedPart} = request;
    this.ownHeldTokens += ownTokens + outputTokens;
    if (sharedPart === undefined) return;
    const use = this.used.get(sharedPart) ?? {tokens: sharedTokens, by: 0};
    use.by += 1;
    this.used.set(sharedPart, use);
    this.sent.delete(sharedPart);
    this.sent.add(sharedPart);
    for (const part of this.sent) {
      if (this.sent.size <= this.maxParts) return;
      this.sent.delete(part);
    }
  }

  /** The engine has to read a prompt; {@link noteRead} follows. */
  noteUnread(tokens: number): void {
    this.unreadTokens += tokens;
    this.unreadCount += 1;
  }

  /** It has read the prompt, or the request has ended before. */
  noteRead(tokens: number): void {
    this.unreadTokens -= tokens;
    this.unreadCount -= 1;
  }

  removeRequest({ownTokens, outputTokens, sharedPart}: RequestTokens): void {
    this.ownHeldTokens -= ownTokens + outputTokens;
    if (sharedPart === undefined) return;
    const use = this.used.get(sharedPart);
    if (use === undefined) return;
    use.by -= 1;
    if (use.by === 0) this.used.delete(sharedPart);
  }
}

/**
 * Describes a prompt by its tokens. A caller's estimate of its output may be
 * far off, so that it counts at most up to a bound.
 *
 * @example
 * const tokens = describeTokens(prompt, {maxOutputTokens: 16_000});
 */
export function describeTokens(
  prompt: Prompt,
  bounds: {readonly maxOutputTokens: number},
): RequestTokens {
  const sharedTokens = countSharedTokens(prompt);
  const output = prompt.expectedOutputTokens ?? prompt.maxOutputTokens;
  return {
    ownTokens: Math.max(0, prompt.tokens - sharedTokens),
    sharedTokens,
    outputTokens: Math.min(
      output,
      prompt.maxOutputTokens,
      bounds.maxOutputTokens,
    ),
    sharedPart: deepestSharedPart(prompt)?.id,
  };
}
