/** Accounts for the memory of engines and the prompts that they have to read. */

import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import {
  describeTokens,
  EngineLedger,
  type RequestTokens,
} from './engine_ledger.js';
import {
  estimateOtherTokens,
  shareRequests,
  type OtherTokens,
} from './engine_estimates.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import {
  LoadCorrection,
  type AttemptEnd,
  type ObservedAttempt,
} from './load_correction.js';
import type {PlacementRequest} from './placement.js';
import type {Prompt} from './prompt.js';
import type {RouteMeans} from './route_samples.js';
import {ServiceSamples} from './service_samples.js';
import type {EngineDescription, RouteId} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link EngineRoom}; defaults in brackets. */
export interface EngineRoomOptions {
  readonly monitor: Pick<
    EndpointMonitor,
    'estimateLoad' | 'estimateWaiting' | 'inFlight' | 'loadAgeMs'
  >;
  /** Undefined for services whose endpoints are no engines. */
  readonly findEngine: (service: ServiceId) => EngineDescription | undefined;
  /** Number of instances; undefined until known. */
  readonly readInstances?: () => number | undefined;
  /** Number of engines that serve (1). */
  readonly countEngines?: (service: ServiceId) => number;
  /** Routes whose requests an engine gets by the split (all). */
  readonly routesAt?: (
    endpoint: ServingEndpoint,
    nowMs: number,
  ) => ReadonlySet<RouteId> | undefined;
  /** Duration of work at an endpoint, by all corrections (1). */
  readonly slownessOf?: (endpoint: ServingEndpoint, nowMs: number) => number;
}

/** Tokens at an engine, of the requests of all instances. */
export interface EngineTokens {
  readonly held: number;
  /** Of prompts that the engine has not read. */
  readonly unread: number;
  /** What may be held. */
  readonly limit: number;
  /** Whether a load that is recent enough is part of the estimate. */
  readonly isKnown: boolean;
}

/** An older load shows a queue that has changed since. */
const MAX_LOAD_AGE_MS = 2000;
/** The rest covers errors of the estimate: an engine above its memory crashes. */
const MEMORY_SHARE = 0.95;
/** A single output counts at most as this share of an engine's memory. */
const MAX_OUTPUT_SHARE = 1 / 32;

const NO_TOKENS: OtherTokens = {held: 0, unread: 0};

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
 * Requests of this instance are accounted for exactly. Those of others are
 * counted by the latest reported load, with the sizes of this instance's own
 * requests. Queues are taken to be as long as when they were reported: where
 * one exists, about as much arrives as is read.
 */
export class EngineRoom extends LoadCorrection {
  private readonly ledgers = new Map<EndpointId, EngineLedger>();
  private readonly services = new Map<ServiceId, ServiceSamples>();
  private readonly sent = new Map<ObservedAttempt, SentRequest>();

  constructor(private readonly options: EngineRoomOptions) {
    super();
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
    const {tokensPerMs, stayMs} = this.serviceOf(endpoint.service);
    return (endpoint.capacity * tokens.unread) / (tokensPerMs * stayMs);
  }

  /**
   * A request counts with its own unread text too. With less than that, all
   * instances would fill the same few engines until newer loads are known.
   */
  override loadPerRequest(endpoint: ServingEndpoint, nowMs: number): number {
    const {service, capacity} = endpoint;
    if (this.options.findEngine(service) === undefined) return 1;
    const means = this.readMeans(service, nowMs);
    const mix = this.mixAt(endpoint, nowMs);
    let tokens = 0;
    for (const [route, {unreadTokens}] of means)
      tokens += (mix.get(route) ?? 0) * unreadTokens;
    const {tokensPerMs, stayMs} = this.serviceOf(service);
    return 1 + (capacity * tokens) / (tokensPerMs * stayMs);
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
    const needed = this.neededTokens(endpoint, prompt);
    return tokens.held + needed <= tokens.limit;
  }

  /** Whether a load that is recent enough shows an engine's queue. */
  isKnown(endpoint: ServingEndpoint, nowMs: number): boolean {
    const ageMs = this.options.monitor.loadAgeMs(endpoint.id, nowMs);
    return ageMs !== undefined && ageMs <= MAX_LOAD_AGE_MS;
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
    const {learnedTokensPerMs} = this.serviceOf(endpoint.service);
    if (tokens === undefined || learnedTokensPerMs === undefined) return 0;
    return (
      (tokens.unread / learnedTokensPerMs) * this.slowness(endpoint, nowMs)
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
    const needed = this.neededTokens(endpoint, prompt);
    const excess = Math.max(0, tokens.held + needed - tokens.limit);
    // All that is held is replaced within the time that requests stay.
    const freeAfterMs =
      (excess * this.stayMs(endpoint.service)) / Math.max(1, tokens.held);
    return Math.max(freeAfterMs, this.waitMs(endpoint, nowMs));
  }

  /** How long requests usually stay at an engine of a service. */
  stayMs(service: ServiceId): number {
    return this.serviceOf(service).stayMs;
  }

  /**
   * Time in which an engine of usual speed reads a prompt, by what is likely to
   * be in its cache; 0 until it is known how fast engines read.
   *
   * @example
   * const beginsAtMs = nowMs + waitMs + room.readMs(service, route.id, prompt);
   */
  readMs(service: ServiceId, route: RouteId, prompt: Prompt): number {
    const {routes, learnedTokensPerMs} = this.serviceOf(service);
    if (learnedTokensPerMs === undefined) return 0;
    const {ownTokens, sharedTokens} = this.describe(service, prompt);
    const uncached = sharedTokens * (1 - routes.cachedShareOf(route));
    return (ownTokens + uncached) / learnedTokensPerMs;
  }

  /** Means of the requests of a service, by this instance's own. */
  readMeans(
    service: ServiceId,
    nowMs: number,
  ): ReadonlyMap<RouteId, RouteMeans> {
    return this.serviceOf(service).routes.read(nowMs);
  }

  /** Undefined where endpoints are no engines. */
  readTokens(
    endpoint: ServingEndpoint,
    nowMs: number,
  ): EngineTokens | undefined {
    const {id, service} = endpoint;
    const engine = this.options.findEngine(service);
    if (engine === undefined) return undefined;
    const ledger = this.ledgers.get(id);
    const limit = engine.cacheTokens * MEMORY_SHARE;
    const ageMs = this.options.monitor.loadAgeMs(id, nowMs);
    const isKnown = ageMs !== undefined && ageMs <= MAX_LOAD_AGE_MS;
    const others = isKnown
      ? this.estimateOthers(endpoint, engine, nowMs)
      : NO_TOKENS;
    return {
      held: (ledger?.heldTokens ?? 0) + others.held,
      unread: (ledger?.unreadTokens ?? 0) + others.unread,
      limit,
      isKnown,
    };
  }

  noteSent(attempt: ObservedAttempt): void {
    const {endpoint, route, prompt, sentAtMs} = attempt;
    const {id, service} = endpoint;
    if (prompt === undefined) return;
    if (this.options.findEngine(service) === undefined) return;
    const {routes} = this.serviceOf(service);
    const ledger = this.ledgerOf(id);
    const tokens = this.describe(service, prompt);
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
      slowness: this.slowness(endpoint, sentAtMs),
      begunAtMs: undefined,
    });
    ledger.addRequest(tokens);
    ledger.noteUnread(unreadTokens);
    routes.noteSent(route.id, tokens, sentAtMs);
  }

  noteFirstEvent(attempt: ObservedAttempt, nowMs: number): void {
    const sent = this.sent.get(attempt);
    if (sent?.begunAtMs !== undefined || sent === undefined) return;
    const samples = this.serviceOf(attempt.endpoint.service);
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
    const samples = this.serviceOf(endpoint.service);
    if (!end.isAnswered) return;
    samples.noteStay(nowMs - sentAtMs);
    if (begunAtMs !== undefined)
      samples.routes.noteStream(route.id, nowMs - begunAtMs);
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.ledgers.keys()) {
      if (!ids.has(id)) this.ledgers.delete(id);
    }
  }

  /** Its cache is empty; requests that were in progress there don't count. */
  forget(id: EndpointId): void {
    this.ledgers.delete(id);
  }

  private estimateOthers(
    endpoint: ServingEndpoint,
    engine: EngineDescription,
    nowMs: number,
  ): OtherTokens {
    const {id, service} = endpoint;
    const {monitor, readInstances, countEngines} = this.options;
    const ledger = this.ledgerOf(id);
    const {tokensPerMs} = this.serviceOf(service);
    const load = monitor.estimateLoad(id, nowMs);
    const requests = Math.max(0, load - monitor.inFlight(id));
    const means = this.readMeans(service, nowMs);
    return estimateOtherTokens({
      requests,
      ownUnread: ledger.unreadCount,
      ownRequests: monitor.inFlight(id),
      tokensPerMs: tokensPerMs / this.slowness(endpoint, nowMs),
      waiting: Math.min(requests, monitor.estimateWaiting(id, nowMs)),
      loadAgeMs: monitor.loadAgeMs(id, nowMs) ?? 0,
      means,
      mix: this.mixAt(endpoint, nowMs),
      cacheTokens: engine.cacheTokens,
      otherInstances: (readInstances?.() ?? 1) - 1,
      engines: countEngines?.(service) ?? 1,
    });
  }

  private neededTokens({id, service}: ServingEndpoint, prompt: Prompt): number {
    return this.ledgerOf(id).neededTokens(this.describe(service, prompt));
  }

  /** Share of each route in the requests that an engine gets. */
  private mixAt(
    endpoint: ServingEndpoint,
    nowMs: number,
  ): ReadonlyMap<RouteId, number> {
    const means = this.readMeans(endpoint.service, nowMs);
    return shareRequests(means, this.options.routesAt?.(endpoint, nowMs));
  }

  private describe(service: ServiceId, prompt: Prompt): RequestTokens {
    const memory = this.options.findEngine(service)?.cacheTokens ?? 0;
    return describeTokens(prompt, {maxOutputTokens: memory * MAX_OUTPUT_SHARE});
  }

  private slowness(endpoint: ServingEndpoint, nowMs: number): number {
    return this.options.slownessOf?.(endpoint, nowMs) ?? 1;
  }

  private ledgerOf(id: EndpointId): EngineLedger {
    const existing = this.ledgers.get(id);
    if (existing !== undefined) return existing;
    const ledger = new EngineLedger();
    this.ledgers.set(id, ledger);
    return ledger;
  }

  private serviceOf(service: ServiceId): ServiceSamples {
    const existing = this.services.get(service);
    if (existing !== undefined) return existing;
    const samples = new ServiceSamples();
    this.services.set(service, samples);
    return samples;
  }
}
