/** Simulates an engine by the tokens that it holds and reads. */

import type {ReportedLoad} from '../endpoint_monitor.js';
import {countSharedTokens, deepestSharedPart, type Prompt} from '../prompt.js';

/** Options of {@link TokenEngine}. */
export interface TokenEngineOptions {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly tokensPerMs: number;
  /** Between two tokens of a stream while nothing is read. */
  readonly stepMs: number;
}

/** A request at a simulated engine. */
export interface TokenRequest {
  readonly prompt: Prompt;
  readonly outputTokens: number;
  /** 0 is served first. */
  readonly rank: number;
  readonly sentAtMs: number;
  readonly leavesAtMs: number;
  readonly onBegun: (load: ReportedLoad, atMs: number) => void;
  readonly onEnded: (isComplete: boolean, atMs: number) => void;
}

interface Running {
  readonly request: TokenRequest;
  unreadTokens: number;
  outputLeft: number;
}

/** Streams advance this much slower while a prompt is read. */
const READING_SLOWDOWN = 3;
/** Memory for shared parts that no request uses. */
const CACHE_SHARE = 0.5;

/** Advances in steps of equal length. */
export class TokenEngine {
  /** The most tokens that it held, as a share of its memory. */
  fullest = 0;
  private waiting: TokenRequest[] = [];
  private running: Running[] = [];
  private readonly cache = new Map<string, number>();

  constructor(private readonly options: TokenEngineOptions) {}

  add(request: TokenRequest): void {
    this.waiting.push(request);
    this.waiting.sort((one, other) => one.rank - other.rank);
  }

  advance(nowMs: number, stepMs: number): void {
    this.dropExpired(nowMs);
    this.admit();
    const isReading = this.read(nowMs, stepMs * this.options.tokensPerMs);
    const pace = this.options.stepMs * (isReading ? READING_SLOWDOWN : 1);
    const full = 1 + (0.5 * this.running.length) / this.options.slots;
    for (const each of this.running) {
      if (each.unreadTokens > 0) continue;
      each.outputLeft -= stepMs / (pace * full);
      if (each.outputLeft <= 0) each.request.onEnded(true, nowMs);
    }
    this.running = this.running.filter(({outputLeft}) => outputLeft > 0);
    this.fullest = Math.max(
      this.fullest,
      this.countHeld() / this.options.memoryTokens,
    );
  }

  /** It restarts: what it held is lost. */
  restart(nowMs: number): void {
    for (const {request} of this.running) request.onEnded(false, nowMs);
    for (const request of this.waiting) request.onEnded(false, nowMs);
    this.running = [];
    this.waiting = [];
    this.cache.clear();
  }

  /** Tokens that it has not read, of running and of waiting requests. */
  get unreadTokens(): number {
    let sum = 0;
    for (const {unreadTokens} of this.running) sum += unreadTokens;
    for (const {prompt} of this.waiting) sum += this.uncachedTokens(prompt);
    return sum;
  }

  cacheOf(part: string, tokens: number): void {
    this.cache.delete(part);
    this.cache.set(part, tokens);
    let held = 0;
    for (const each of this.cache.values()) held += each;
    for (const [oldest, size] of this.cache) {
      if (held <= this.options.memoryTokens * CACHE_SHARE) return;
      held -= size;
      this.cache.delete(oldest);
    }
  }

  private admit(): void {
    while (this.waiting.length > 0) {
      const [request] = this.waiting;
      const {slots, memoryTokens} = this.options;
      if (this.running.length >= slots) return;
      const needed = request.prompt.tokens + request.outputTokens;
      if (this.countHeldByRunning() + needed > memoryTokens) return;
      this.waiting.shift();
      this.running.push({
        request,
        unreadTokens: this.uncachedTokens(request.prompt),
        outputLeft: request.outputTokens,
      });
    }
  }

  private read(nowMs: number, budgetTokens: number): boolean {
    let left = budgetTokens;
    for (const each of this.running) {
      if (left <= 0) break;
      if (each.unreadTokens <= 0) continue;
      const read = Math.min(left, each.unreadTokens);
      each.unreadTokens -= read;
      left -= read;
      if (each.unreadTokens > 0) continue;
      const part = deepestSharedPart(each.request.prompt);
      if (part) this.cacheOf(part.id, part.tokens);
      each.request.onBegun(this.readLoad(), nowMs);
    }
    return left < budgetTokens;
  }

  private readLoad(): ReportedLoad {
    const {slots: capacity} = this.options;
    const running = this.running.length;
    return {running, waiting: this.waiting.length, capacity};
  }

  private dropExpired(nowMs: number): void {
    const isOver = (request: TokenRequest) => request.leavesAtMs <= nowMs;
    for (const request of this.waiting)
      if (isOver(request)) request.onEnded(false, nowMs);
    for (const {request} of this.running)
      if (isOver(request)) request.onEnded(false, nowMs);
    this.waiting = this.waiting.filter(each => !isOver(each));
    this.running = this.running.filter(({request}) => !isOver(request));
  }

  private uncachedTokens(prompt: Prompt): number {
    const part = deepestSharedPart(prompt);
    const isCached = part !== undefined && this.cache.has(part.id);
    return prompt.tokens - (isCached ? countSharedTokens(prompt) : 0);
  }

  private countHeldByRunning(): number {
    return countHeld(this.running.map(({request}) => request));
  }

  private countHeld(): number {
    const running = this.running.map(({request}) => request);
    return countHeld([...running, ...this.waiting]);
  }
}

/** A shared part counts once. */
function countHeld(requests: readonly TokenRequest[]): number {
  const parts = new Map<string, number>();
  let own = 0;
  for (const {prompt, outputTokens} of requests) {
    const shared = countSharedTokens(prompt);
    own += prompt.tokens - shared + outputTokens;
    const part = deepestSharedPart(prompt);
    if (part) parts.set(part.id, shared);
  }
  return [...parts.values()].reduce((sum, tokens) => sum + tokens, own);
}
