/** Demand of the last seconds over all instances, by way of their reports. */

import type {ServiceId} from '@snipestage/types/ids.js';
import {DemandMeter, DemandSource, type RouteDemand} from './demand_meter.js';
import {workOf, type Prompt} from './prompt.js';
import type {Route, RouteId} from './route.js';

/** Requests of one route that arrived since the report before. */
export interface DemandIncrement {
  readonly service: ServiceId;
  readonly route: RouteId;
  readonly requests: number;
  /** In prompt tokens and their equivalents. */
  readonly work: number;
  readonly promptTokens: number;
}

/** Options of {@link SharedDemand}; defaults in brackets. */
export interface SharedDemandOptions {
  /** Undefined for routes that the configuration in force doesn't have. */
  readonly findRoute: (id: RouteId) => Route | undefined;
  /** Half-life of the usual demand (10,000 ms). */
  readonly steadyHalfLifeMs?: number;
  /** Half-life of the demand that shows a burst (1,500 ms). */
  readonly recentHalfLifeMs?: number;
}

const DEFAULT_STEADY_HALF_LIFE_MS = 10_000;
const DEFAULT_RECENT_HALF_LIFE_MS = 1500;
/** Reports come twice a second; without them the sum lacks other instances. */
const KNOWN_FOR_MS = 3000;

/** Sums increments by service and route; the number of routes bounds it. */
export class DemandIncrements {
  private readonly sums = new Map<string, DemandIncrement>();

  add(increment: DemandIncrement): void {
    const key = `${increment.service}/${increment.route}`;
    const before = this.sums.get(key);
    this.sums.set(key, before ? addUp(before, increment) : increment);
  }

  /** @returns the sums, which start again at nothing. */
  take(): readonly DemandIncrement[] {
    const taken = [...this.sums.values()];
    this.sums.clear();
    return taken;
  }
}

function addUp(one: DemandIncrement, other: DemandIncrement): DemandIncrement {
  return {
    ...one,
    requests: one.requests + other.requests,
    work: one.work + other.work,
    promptTokens: one.promptTokens + other.promptTokens,
  };
}

/**
 * Load pattern: dozens of instances see two or three requests a second each.
 * Each one's own figures say little of a burst, and no two agree on which
 * engines serve short requests, so that these share engines with long prompts.
 * The demand that one instance sums up in the store is seconds old in the best
 * case, and out of date for as long as the store is away.
 *
 * Instances report what arrived since their last report; relays add the reports
 * up and pass the sums on, so that all instances know the same demand after
 * about a second. A report that is lost lowers the sum of a moment, hardly the
 * shares of its routes.
 */
export class SharedDemand extends DemandSource {
  private readonly own = new DemandIncrements();
  private readonly steady: DemandMeter;
  private readonly recent: DemandMeter;
  private heardAtMs = Number.NEGATIVE_INFINITY;
  private takenAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: SharedDemandOptions) {
    super();
    this.steady = new DemandMeter({
      halfLifeMs: options.steadyHalfLifeMs ?? DEFAULT_STEADY_HALF_LIFE_MS,
    });
    this.recent = new DemandMeter({
      halfLifeMs: options.recentHalfLifeMs ?? DEFAULT_RECENT_HALF_LIFE_MS,
    });
  }

  /** A request has arrived at this instance. */
  noteOwn(service: ServiceId, route: RouteId, prompt: Prompt): void {
    this.own.add({
      service,
      route,
      requests: 1,
      work: workOf(prompt, true),
      promptTokens: prompt.tokens,
    });
  }

  /**
   * What has arrived at this instance since the last call; nothing if that was
   * too long ago, as the sum would look like a burst.
   */
  takeOwn(nowMs: number): readonly DemandIncrement[] {
    const isRecent = nowMs - this.takenAtMs < KNOWN_FOR_MS;
    this.takenAtMs = nowMs;
    const taken = this.own.take();
    return isRecent ? taken : [];
  }

  /** Counts what arrived at this instance, unless a relay will send it back. */
  addOwn(increments: readonly DemandIncrement[], nowMs: number): void {
    this.count(increments, nowMs);
  }

  /**
   * Counts what other instances have reported.
   *
   * @example
   * shared.addReported(increments, nowMs);
   */
  addReported(increments: readonly DemandIncrement[], nowMs: number): void {
    if (increments.length === 0) return;
    this.heardAtMs = nowMs;
    this.count(increments, nowMs);
  }

  /** Whether other instances have reported lately. */
  isKnown(nowMs: number): boolean {
    return nowMs - this.heardAtMs < KNOWN_FOR_MS;
  }

  read(service: ServiceId, nowMs: number): readonly RouteDemand[] {
    return this.steady.read(service, nowMs);
  }

  /** See {@link DemandMeter.countRecent}. */
  countRecent(service: ServiceId, nowMs: number): ReadonlyMap<RouteId, number> {
    return this.recent.countRecent(service, nowMs);
  }

  /** Forgets routes that are gone. */
  retain(routes: ReadonlySet<RouteId>): void {
    this.steady.retain(routes);
    this.recent.retain(routes);
  }

  private count(increments: readonly DemandIncrement[], nowMs: number): void {
    for (const increment of increments) {
      const route = this.options.findRoute(increment.route);
      if (route === undefined) continue;
      this.steady.add(route, increment, nowMs);
      this.recent.add(route, increment, nowMs);
    }
  }
}
