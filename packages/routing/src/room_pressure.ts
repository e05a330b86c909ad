/** Measures how short room at engines is for a request that has arrived. */

import type {ServiceId} from '@snipestage/types/ids.js';
import type {EngineRoom} from './engine_room.js';
import type {ArrivedRequest} from './load_shedder.js';
import type {Prompt} from './prompt.js';
import type {Route, RouteId} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** Options of {@link RoomPressure}; defaults in brackets. */
export interface RoomPressureOptions {
  readonly room: EngineRoom;
  /** Engines that may get requests of a route (all candidates). */
  readonly listEligible?: (
    candidates: readonly ServingEndpoint[],
    route: Route,
    nowMs: number,
  ) => readonly ServingEndpoint[];
  /** Whether an endpoint can't be reached at the moment (false). */
  readonly isDown?: (endpoint: ServingEndpoint, nowMs: number) => boolean;
}

/** How long a request has to wait. */
export interface Pressure {
  /**
   * At the engine that begins it first; 0 while an engine has free room or
   * isn't known well enough.
   */
  readonly waitMs: number;
  /**
   * At the lower quartile of the engines. Loads are about a second old, and an
   * engine that was emptier than all others then gets requests of all instances.
   */
  readonly typicalWaitMs: number;
  /** Wait at which the request still gets its answer in time. */
  readonly leftMs: number;
  /** Wait at which its first event is just on time. */
  readonly targetMs: number;
  /**
   * Wait above which requests of more urgent ranks are late; infinite where
   * they don't use the engines that may get the request.
   */
  readonly urgentMs: number;
  /** Whether an engine has the memory for it, as far as known. */
  readonly hasMemory: boolean;
}

/** Requests of one route and rank. */
interface RequestKind {
  readonly route: Route;
  readonly rank: number;
  readonly prompt: Prompt;
  atMs: number;
}

/** Time for which a kind of request counts as present after its last one. */
const PRESENT_MS = 20_000;

const TYPICAL_QUANTILE = 0.25;

const NO_PRESSURE: Pressure = {
  waitMs: 0,
  typicalWaitMs: 0,
  leftMs: Number.POSITIVE_INFINITY,
  targetMs: Number.POSITIVE_INFINITY,
  urgentMs: Number.POSITIVE_INFINITY,
  hasMemory: true,
};

/**
 * Reads the loads that all instances share, so that all of them measure about
 * the same. An engine without a load that is recent enough counts as free.
 */
export class RoomPressure {
  private readonly kinds = new Map<ServiceId, Map<string, RequestKind>>();
  private readonly measured = new WeakMap<ArrivedRequest, Pressure>();
  private readonly room: EngineRoom;

  constructor(private readonly options: RoomPressureOptions) {
    this.room = options.room;
  }

  /**
   * The same for each call with a request.
   *
   * @example
   * const {waitMs, leftMs} = pressure.measure(request);
   */
  measure(request: ArrivedRequest): Pressure {
    const known = this.measured.get(request);
    if (known !== undefined) return known;
    const {prompt} = request;
    const measured =
      prompt === undefined ? NO_PRESSURE : this.measureFor(request, prompt);
    this.measured.set(request, measured);
    return measured;
  }

  private measureFor(request: ArrivedRequest, prompt: Prompt): Pressure {
    const {service, route, endsAtMs, nowMs} = request;
    this.noteKind(request, prompt);
    const eligible = this.listEligible(request, route);
    if (eligible.length === 0) return NO_PRESSURE;
    const waits = this.waitsMs(eligible, prompt, nowMs);
    const [waitMs] = waits;
    const readMs = this.room.readMs(service, route.id, prompt);
    return {
      waitMs,
      typicalWaitMs: waits[Math.floor(waits.length * TYPICAL_QUANTILE)],
      leftMs: endsAtMs - nowMs - this.room.stayMs(service),
      targetMs: route.latencyTargetMs - readMs,
      urgentMs: waitMs === 0 ? NO_PRESSURE.urgentMs : this.urgentMs(request),
      hasMemory: eligible.some(
        each =>
          !this.room.isKnown(each, nowMs) ||
          this.room.hasMemoryFor(each, prompt, nowMs),
      ),
    };
  }

  /** The shortest wait of more urgent requests that use the same engines. */
  private urgentMs(request: ArrivedRequest): number {
    const {service, route, urgencyRank, nowMs} = request;
    const shared = new Set(this.listEligible(request, route));
    let shortestMs = Number.POSITIVE_INFINITY;
    for (const kind of this.kinds.get(service)?.values() ?? []) {
      if (kind.rank >= urgencyRank) continue;
      const {latencyTargetMs, id} = kind.route;
      const readMs = this.room.readMs(service, id, kind.prompt);
      const spareMs = Math.max(0, latencyTargetMs - readMs);
      const engines = this.listEligible(request, kind.route);
      const others = engines.filter(each => !shared.has(each));
      // With room elsewhere they aren't delayed by this request.
      const [elsewhereMs] = this.waitsMs(others, kind.prompt, nowMs);
      const usesShared = others.length < engines.length;
      const hasNoOther = elsewhereMs === undefined || elsewhereMs > spareMs;
      if (usesShared && hasNoOther) shortestMs = Math.min(shortestMs, spareMs);
    }
    return shortestMs;
  }

  /** The shortest first. */
  private waitsMs(
    engines: readonly ServingEndpoint[],
    prompt: Prompt,
    nowMs: number,
  ): readonly number[] {
    return engines
      .map(each => this.room.beginsAfterMs(each, prompt, nowMs))
      .sort((one, other) => one - other);
  }

  private listEligible(
    {candidates, nowMs}: ArrivedRequest,
    route: Route,
  ): readonly ServingEndpoint[] {
    const {listEligible, isDown} = this.options;
    const up = candidates.filter(each => isDown?.(each, nowMs) !== true);
    if (up.length === 0 || listEligible === undefined) return up;
    return listEligible(up, route, nowMs);
  }

  private noteKind(
    {service, route, urgencyRank: rank, nowMs}: ArrivedRequest,
    prompt: Prompt,
  ): void {
    const kinds = this.kinds.get(service) ?? new Map<string, RequestKind>();
    this.kinds.set(service, kinds);
    const key = `${rank} ${route.id satisfies RouteId}`;
    kinds.set(key, {route, rank, prompt, atMs: nowMs});
    for (const [other, {atMs}] of kinds) {
      if (nowMs - atMs > PRESENT_MS) kinds.delete(other);
    }
  }
}
