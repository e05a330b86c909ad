/** Tokens of this instance's requests at one engine. */

import type {PromptPartId} from '@snipestage/types/ids.js';
import {countSharedTokens, deepestSharedPart, type Prompt} from './prompt.js';
import type {RouteId} from './route.js';

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
/** Half-life of the counts of requests by route. */
const MIX_HALF_LIFE_MS = 30_000;
/** Weight, in requests, of the mix of the whole service. */
const PRIOR_REQUESTS = 0.25;

/** Decayed number of requests of a route. */
interface RouteCount {
  count: number;
  atMs: number;
}

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
  private readonly routes = new Map<RouteId, RouteCount>();
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
  addRequest(route: RouteId, request: RequestTokens, nowMs: number): void {
    const {ownTokens, outputTokens, sharedTokens, sharedPart} = request;
    this.ownHeldTokens += ownTokens + outputTokens;
    this.countRoute(route, nowMs);
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

  /**
   * Share of each route in the requests that the engine gets. An engine serves
   * one side of the split, so that the mix of the service is a weak guess.
   *
   * @param overall shares in the requests of the service.
   * @example
   * const mix = ledger.readMix(overall, nowMs);
   */
  readMix(
    overall: ReadonlyMap<RouteId, number>,
    nowMs: number,
  ): ReadonlyMap<RouteId, number> {
    const counts = new Map<RouteId, number>();
    let total = 0;
    for (const [route, share] of overall) {
      const known = this.routes.get(route);
      const own = known === undefined ? 0 : decayCount(known, nowMs);
      const count = own + PRIOR_REQUESTS * share;
      counts.set(route, count);
      total += count;
    }
    for (const [route, count] of counts)
      counts.set(route, count / Math.max(1e-9, total));
    return counts;
  }

  private countRoute(route: RouteId, nowMs: number): void {
    const known = this.routes.get(route);
    const count = known === undefined ? 0 : decayCount(known, nowMs);
    this.routes.set(route, {count: count + 1, atMs: nowMs});
  }
}

function decayCount({count, atMs}: RouteCount, nowMs: number): number {
  return count * 0.5 ** ((nowMs - atMs) / MIX_HALF_LIFE_MS);
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
