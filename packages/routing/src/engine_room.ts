/** Corrects loads by the memory of engines and the prompts that they read. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import {
  EngineAccounts,
  type EngineAccountsOptions,
  type EngineTokens,
} from './engine_accounts.js';
import type {EngineLedger, RequestTokens} from './engine_ledger.js';
import {
  LoadCorrection,
  type AttemptEnd,
  type ObservedAttempt,
} from './load_correction.js';
import type {PlacementRequest} from './placement.js';
import type {Prompt} from './prompt.js';
import type {RouteId} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

interface SentRequest {
  readonly tokens: RequestTokens;
  readonly ledger: EngineLedger;
  readonly unreadTokens: number;
  /** Tokens that the engine had to read before. */
  readonly aheadTokens: number;
  readonly wasSentBefore: boolean;
  readonly slowness: number;
  begunAtMs: number | undefined;
}

/**
 * Load pattern: bursts of long prompts. Engines with equal numbers of requests
 * have very different amounts of text to read, and read it one prompt after
 * the other between the tokens of all their streams.
 *
 * Queues are taken to be as long as when they were reported: where
 * one exists, about as much arrives as is read.
 */
export class EngineRoom extends LoadCorrection {
  private readonly accounts: EngineAccounts;
  private readonly sent = new Map<ObservedAttempt, SentRequest>();

  constructor(options: EngineAccountsOptions) {
    super();
    this.accounts = new EngineAccounts(options);
  }

  /** Says nothing of speed. */
  slownessOf(): number {
    return 1;
  }

  /**
   * Unread text counts by the time that it takes: an engine counts as full when
   * a new request waits for as long as requests usually stay, since that is
   * also about how long it would wait for a slot of a full engine. A running
   * request delays others by a step of the batch, so that it counts for far
   * less than an unread prompt of 17,000 tokens.
   */
  extraLoadOf(endpoint: ServingEndpoint, nowMs: number): number {
    const tokens = this.readTokens(endpoint, nowMs);
    if (tokens === undefined) return 0;
    const {tokensPerMs, stayMs} = this.accounts.serviceOf(endpoint.service);
    return (endpoint.capacity * tokens.unread) / (tokensPerMs * stayMs);
  }

  /**
   * A request counts with its own unread text too. With less than that, all
   * instances would fill the same few engines until newer loads are known.
   */
  loadPerRequest(endpoint: ServingEndpoint, nowMs: number): number {
    const {service, capacity} = endpoint;
    if (this.accounts.findEngine(service) === undefined) return 1;
    const means = this.accounts.readMeans(service, nowMs);
    const mix = this.accounts.mixAt(endpoint, nowMs);
    let tokens = 0;
    for (const [route, {unreadTokens}] of means)
      tokens += (mix.get(route) ?? 0) * unreadTokens;
    const {tokensPerMs, stayMs} = this.accounts.serviceOf(service);
    return 1 + (capacity * tokens) / (tokensPerMs * stayMs);
  }

  shareOf(): number {
    return 1;
  }

  hasRoomFor(endpoint: ServingEndpoint, request: PlacementRequest): boolean {
    const {route, prompt, nowMs} = request;
    if (!this.hasMemoryFor(endpoint, prompt, nowMs)) return false;
    return this.waitMs(endpoint, nowMs) <= route.latencyTargetMs;
  }

  /**
   * Whether memory for the whole response is free.
   *
   * @example
   * if (!room.hasMemoryFor(engine, prompt, nowMs)) return false;
   */
  hasMemoryFor(
    endpoint: ServingEndpoint,
    prompt: Prompt | undefined,
    nowMs: number,
  ): boolean {
    const tokens = this.readTokens(endpoint, nowMs);
    if (tokens === undefined || prompt === undefined) return true;
    const needed = this.accounts.neededTokens(endpoint, prompt);
    return tokens.held + needed <= tokens.limit;
  }

  /**
   * Time until an engine has read what it holds; 0 until it is known how fast
   * engines read.
   *
   * @example
   * const isLate = room.waitMs(engine, nowMs) > leftMs;
   */
  waitMs(endpoint: ServingEndpoint, nowMs: number): number {
    const tokens = this.readTokens(endpoint, nowMs);
    const {learnedTokensPerMs} = this.accounts.serviceOf(endpoint.service);
    if (tokens === undefined || learnedTokensPerMs === undefined) return 0;
    return (
      (tokens.unread / learnedTokensPerMs) *
      this.accounts.slowness(endpoint, nowMs)
    );
  }

  /**
   * Time after which an engine can begin a prompt; 0 unless a recent load shows
   * its queue.
   *
   * @example
   * const waits = engines.map(each => room.beginsAfterMs(each, prompt, nowMs));
   */
  beginsAfterMs(
    endpoint: ServingEndpoint,
    prompt: Prompt,
    nowMs: number,
  ): number {
    const tokens = this.readTokens(endpoint, nowMs);
    if (tokens === undefined || !tokens.isKnown) return 0;
    const needed = this.accounts.neededTokens(endpoint, prompt);
    const excess = Math.max(0, tokens.held + needed - tokens.limit);
    // All that is held is replaced within the time that requests stay.
    const freeAfterMs =
      (excess * this.stayMs(endpoint.service)) / Math.max(1, tokens.held);
    return Math.max(freeAfterMs, this.waitMs(endpoint, nowMs));
  }

  /** How long requests usually stay at an engine of a service. */
  stayMs(service: ServiceId): number {
    return this.accounts.serviceOf(service).stayMs;
  }

  /**
   * Time in which an engine of usual speed reads a prompt, by what is likely to
   * be in its cache; 0 until it is known how fast engines read.
   *
   * @example
   * const beginsAtMs = nowMs + waitMs + room.readMs(service, route.id, prompt);
   */
  readMs(service: ServiceId, route: RouteId, prompt: Prompt): number {
    const {routes, learnedTokensPerMs} = this.accounts.serviceOf(service);
    if (learnedTokensPerMs === undefined) return 0;
    const {ownTokens, sharedTokens} = this.accounts.describe(service, prompt);
    const uncached = sharedTokens * (1 - routes.cachedShareOf(route));
    return (ownTokens + uncached) / learnedTokensPerMs;
  }

  noteSent(attempt: ObservedAttempt): void {
    const {endpoint, route, prompt, sentAtMs} = attempt;
    const {id, service} = endpoint;
    if (prompt === undefined) return;
    if (this.accounts.findEngine(service) === undefined) return;
    const {routes} = this.accounts.serviceOf(service);
    const ledger = this.accounts.ledgerOf(id);
    const tokens = this.accounts.describe(service, prompt);
    const wasSentBefore = ledger.hasSent(tokens.sharedPart);
    const uncachedShare = wasSentBefore
      ? 0
      : 1 - routes.cachedShareOf(route.id);
    const unreadTokens = tokens.ownTokens + tokens.sharedTokens * uncachedShare;
    this.sent.set(attempt, {
      tokens,
      ledger,
      unreadTokens,
      aheadTokens: this.readTokens(endpoint, sentAtMs)?.unread ?? 0,
      wasSentBefore,
      slowness: this.accounts.slowness(endpoint, sentAtMs),
      begunAtMs: undefined,
    });
    ledger.addRequest(tokens);
    ledger.noteUnread(unreadTokens);
    routes.noteSent(route.id, tokens, sentAtMs);
  }

  noteFirstEvent(attempt: ObservedAttempt, nowMs: number): void {
    const sent = this.sent.get(attempt);
    if (sent?.begunAtMs !== undefined || sent === undefined) return;
    const samples = this.accounts.serviceOf(attempt.endpoint.service);
    sent.begunAtMs = nowMs;
    sent.ledger.noteRead(sent.unreadTokens);
    samples.noteBegun(attempt.route.id, {
      tokens: sent.tokens,
      aheadTokens: sent.aheadTokens,
      wasSentBefore: sent.wasSentBefore,
      elapsedMs: (nowMs - attempt.sentAtMs) / sent.slowness,
    });
  }

  noteEnded(attempt: ObservedAttempt, end: AttemptEnd, nowMs: number): void {
    const sent = this.sent.get(attempt);
    if (sent === undefined) return;
    this.sent.delete(attempt);
    const {route, endpoint, sentAtMs} = attempt;
    const {ledger, tokens, begunAtMs, unreadTokens} = sent;
    if (begunAtMs === undefined) ledger.noteRead(unreadTokens);
    ledger.removeRequest(tokens);
    const samples = this.accounts.serviceOf(endpoint.service);
    if (!end.isAnswered) return;
    samples.noteStay(nowMs - sentAtMs);
    if (begunAtMs !== undefined)
      samples.routes.noteStream(route.id, nowMs - begunAtMs);
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    this.accounts.retain(ids);
  }

  /** Its cache is empty; requests that were in progress there don't count. */
  forget(id: EndpointId): void {
    this.accounts.forget(id);
  }

  /** Tokens at an engine; undefined where endpoints are no engines. */
  readTokens(
    endpoint: ServingEndpoint,
    nowMs: number,
  ): EngineTokens | undefined {
    return this.accounts.readTokens(endpoint, nowMs);
  }

  /** Whether a load that is recent enough shows an engine's queue. */
  isKnown(endpoint: ServingEndpoint, nowMs: number): boolean {
    return this.accounts.isKnown(endpoint, nowMs);
  }
}
