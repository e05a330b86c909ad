/** Places prompts on model engines. */

import {hashText, rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import {CorrectedLoads} from './corrected_loads.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import {preferLocal} from './local_engines.js';
import {
  findCorrection,
  findUsable,
  leastBy,
  leaveOutCold,
  leaveOutLimited,
  leaveOutPaced,
  Placement,
  type Placed,
  type PlacementRequest,
} from './placement.js';
import {PrefixHolders} from './prefix_holders.js';
import {deepestSharedPart, hasLongPrefix, type Prompt} from './prompt.js';
import {chooseByFill} from './fill_choice.js';
import type {Route, RouteId} from './route.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {SideChoice, type SideChoiceOptions} from './side_choice.js';

/** Options of {@link PromptPlacement}. */
export interface PromptPlacementOptions extends SideChoiceOptions {
  /** At least 0 and below 1. */
  readonly random?: () => number;
}

/** Engines that may get a request. */
interface Candidates {
  /** Engines among which prompts with long prefixes are distributed. */
  readonly group: readonly ServingEndpoint[];
  /** Engines for a request without a primary engine that has room. */
  readonly widened: readonly ServingEndpoint[];
  readonly usable: readonly ServingEndpoint[];
  /** Rate of the requests that may get the engines of the group. */
  readonly requestsPerS: number;
}

/** Up to this multiple of the mean load, an engine gets prompts by prefix. */
const LOAD_BOUND_FACTOR = 1.5;
/**
 * Requests added to that bound: with few requests an engine, the estimates vary
 * by some, and prompts would spill over needlessly.
 */
const LOAD_SLACK_REQUESTS = 8;
/** Waiting requests whose cost equals that of a failed one. */
const FAILURE_COST_IN_REQUESTS = 12;
/** Least cost of a failed request, in expected requests of an engine. */
const MIN_FAILURE_COST_RATIO = 2;
const RANDOM_COST_IN_REQUESTS = 0.5;
/**
 * Many instances learn a load at the same moment, and know no newer one for at
 * least this long.
 */
const MIN_LOAD_AGE_MS = 500;
/** Interval between two loads of an engine, in mean ages of the known ones. */
const REPORT_INTERVAL_AGES = 1.5;
/** Requests ahead whose cost equals that of a late one. */
const LATE_COST_IN_REQUESTS = 30;
/** Engines at which pauses make more of such requests late are avoided. */
const MAX_LATE_SHARE = 0.1;
/** Engines that a long prefix may have while load controls are on. */
const MAX_HOLDERS = 2;
/** Engines above this error rate are skipped for prefix affinity. */
const MAX_FAILURE_SHARE = 0.5;

/**
 * Handles two load patterns.
 *
 * Long prompts beside streams with short pauses: an engine processes prompts
 * between the tokens of all its requests, so one long prompt delays dozens of
 * streams. The engines are split: the first few in an order that all instances
 * share serve routes with short pauses and short prompts, the rest all others,
 * by the share of work that each group causes. Short requests overflow to the
 * next engines in that order: their callers wait the shortest time, and on a
 * long side with room they delay others little.
 *
 * Many prompts that share a long prefix: an engine that has it in its cache
 * processes only the rest. Rendezvous hashing sends them from all instances to
 * the same one, their primary engine, without a call, unless that engine has
 * more than its share.
 */
export class PromptPlacement extends Placement {
  private readonly monitor: EndpointMonitor;
  private readonly loads: CorrectedLoads;
  private readonly sides: SideChoice;
  private readonly random: () => number;
  private readonly holders = new PrefixHolders();

  constructor(private readonly options: PromptPlacementOptions) {
    super();
    this.monitor = options.monitor;
    this.loads = new CorrectedLoads(options);
    this.sides = new SideChoice(options, this.loads);
    this.random = options.random ?? Math.random;
  }

  choose(
    candidates: readonly ServingEndpoint[],
    request: PlacementRequest,
  ): Placed | undefined {
    const usable = findUsable(candidates, request, this.options);
    if (usable.length === 0) return undefined;
    const split = this.sides.choose(usable, request);
    const open = leaveOutLimited(usable, usable, request, this.options);
    const admit = (engines: readonly ServingEndpoint[]) =>
      leaveOutCold(
        leaveOutLimited(engines, usable, request, this.options),
        open,
        request,
        this.options,
      );
    const group = admit(split.engines);
    const widened = admit(split.widened);
    if (widened.length === 0) return undefined;
    const placed = this.chooseAmong(
      {group, widened, usable: open, requestsPerS: split.requestsPerS},
      request,
    );
    if (placed === undefined) return undefined;
    return {
      ...placed,
      group: {
        side: split.side,
        engines: split.engines.length,
        candidates: widened.length,
        usable: usable.length,
      },
    };
  }

  /**
   * The engines that may get requests of a route by the split.
   *
   * @example
   * const eligible = placement.listEligible(candidates, route, nowMs);
   */
  listEligible(
    candidates: readonly ServingEndpoint[],
    route: Route,
    nowMs: number,
  ): readonly ServingEndpoint[] {
    if (candidates.length === 0) return candidates;
    return this.sides.choose(candidates, {route, nowMs}).widened;
  }

  /**
   * Routes whose requests each engine gets by the split.
   *
   * @example
   * const routes = placement.listRoutes(engines, nowMs).get(engine.id);
   */
  listRoutes(
    engines: readonly ServingEndpoint[],
    nowMs: number,
  ): ReadonlyMap<EndpointId, ReadonlySet<RouteId>> {
    const byEngine = new Map(engines.map(({id}) => [id, new Set<RouteId>()]));
    const [first] = engines;
    if (first === undefined) return byEngine;
    const {demand} = this.sides.sourcesFor(first.service, nowMs);
    for (const {route: id} of demand.read(first.service, nowMs)) {
      const side = this.sides.choose(engines, {route: {id}, nowMs});
      for (const engine of side.engines) byEngine.get(engine.id)?.add(id);
    }
    return byEngine;
  }

  private chooseAmong(
    candidates: Candidates,
    request: PlacementRequest,
  ): Placed | undefined {
    const {prompt} = request;
    const {widened, usable, requestsPerS} = candidates;
    const chooseByLoad = () =>
      this.chooseByLoad(widened, request, requestsPerS);
    if (prompt === undefined) return chooseByLoad();
    if (hasLongPrefix(prompt)) {
      return this.chooseByPrefix(candidates, request, prompt);
    }
    const placed = chooseByLoad();
    return placed && this.fetchFromHolder(placed, usable, prompt);
  }

  /**
   * Adds the engine to which this instance last sent the prefix as cache
   * source. Short prefixes are sent to the least loaded engine; processed again
   * at each engine, they would cost as much as the questions after them. Long
   * ones have a primary engine that all instances know.
   */
  private fetchFromHolder(
    placed: Placed,
    usable: readonly ServingEndpoint[],
    prompt: Prompt,
  ): Placed {
    const {endpoint} = placed;
    const byId = new Map(usable.map(each => [each.id, each]));
    const holder = this.holders.find(prompt, id => byId.has(id));
    this.holders.note(prompt, endpoint.id);
    if (holder === undefined) return placed;
    if (holder === endpoint.id) return {endpoint};
    return {endpoint, cacheSource: byId.get(holder)};
  }

  private chooseByPrefix(
    {group, widened, requestsPerS}: Candidates,
    request: PlacementRequest,
    prompt: Prompt,
  ): Placed | undefined {
    const {nowMs} = request;
    const ranked = this.rankByPrefix(group, prompt, nowMs);
    const loads = new Map<EndpointId, number>(
      ranked.map(each => [each.id, this.loads.relativeLoadOf(each, nowMs)]),
    );
    const total = [...loads.values()].reduce((sum, load) => sum + load, 0);
    const bound =
      (LOAD_BOUND_FACTOR * (total + 1)) / group.length + LOAD_SLACK_REQUESTS;
    const healthy = ranked.filter(
      ({id}) => this.monitor.failureShare(id, nowMs) < MAX_FAILURE_SHARE,
    );
    const hasRoom = (each: ServingEndpoint) =>
      loads.get(each.id)! < bound &&
      this.monitor.estimateLoad(each.id, nowMs) < each.capacity &&
      this.loads.hasRoomFor(each, request);
    const withRoom = this.holdersOf(healthy).filter(hasRoom);
    const endpoint =
      this.avoidLate(withRoom, request, loads) ??
      this.chooseByLoad(widened, request, requestsPerS)?.endpoint;
    if (endpoint === undefined) return undefined;
    // The first other engine: the primary one when the prompt spills over, else
    // the one that was primary before an endpoint was added.
    return {endpoint, cacheSource: healthy.find(({id}) => id !== endpoint.id)};
  }

  /**
   * The first engine, or else the first one at which few such requests are late
   * by pauses, unless it has so many more requests that it would be late as well.
   */
  private avoidLate(
    ranked: readonly ServingEndpoint[],
    request: PlacementRequest,
    loads: ReadonlyMap<EndpointId, number>,
  ): ServingEndpoint | undefined {
    const first = ranked.at(0);
    const lateAt = (each: ServingEndpoint) =>
      this.loads.lateShareOf(each, request);
    const better = ranked.find(each => lateAt(each) <= MAX_LATE_SHARE);
    if (first === undefined || better === undefined) return first;
    const costOf = (each: ServingEndpoint) =>
      loads.get(each.id)! + lateAt(each) * LATE_COST_IN_REQUESTS;
    return costOf(better) <= costOf(first) ? better : first;
  }

  /**
   * The engines that get a prompt by its prefix. While room is short, the whole
   * ranking would lead to the few engines that had room a second ago.
   */
  private holdersOf(
    ranked: readonly ServingEndpoint[],
  ): readonly ServingEndpoint[] {
    const [first] = ranked;
    if (first === undefined) return ranked;
    const isCorrected =
      findCorrection(first.service, this.options) !== undefined;
    return isCorrected ? ranked.slice(0, MAX_HOLDERS) : ranked;
  }

  /**
   * Ranks engines for a shared prefix in the same order on all instances. A slow
   * engine is ranked last for part of the prefixes, so that it is the primary
   * engine of as many as it has speed for. The part is drawn from a hash: a
   * small change of its speed moves few prefixes.
   */
  private rankByPrefix(
    group: readonly ServingEndpoint[],
    prompt: Prompt,
    nowMs: number,
  ): readonly ServingEndpoint[] {
    const key = deepestSharedPart(prompt)?.id ?? '';
    const byId = new Map(group.map(endpoint => [endpoint.id, endpoint]));
    const ranked = rankByRendezvous(key, byId.keys()).map(id => byId.get(id)!);
    const isLast = (each: ServingEndpoint) =>
      this.loads.isSlow(each, nowMs) &&
      drawShare(key, each.id) >= this.loads.speedOf(each, nowMs);
    const last = ranked.filter(isLast);
    return [...ranked.filter(each => !last.includes(each)), ...last];
  }

  private chooseByLoad(
    group: readonly ServingEndpoint[],
    request: PlacementRequest,
    requestsPerS: number,
  ): Placed | undefined {
    const {monitor, random} = this;
    const {dataCentre, nowMs} = request;
    // Engines without room count as full. If they were left out, all instances
    // would send everything to the few that had room a second ago.
    const full = group.filter(each => !this.loads.hasRoomFor(each, request));
    const fullIds = new Set(full.map(({id}) => id));
    const loadOf = (each: ServingEndpoint) =>
      this.effectiveLoadOf(each, nowMs) +
      (fullIds.has(each.id) ? each.capacity : 0);
    const costsWith = (failureCost: number) => (each: ServingEndpoint) =>
      loadOf(each) +
      // An idle slow engine is as good as a usual one with some requests.
      (this.loads.slownessOf(each, nowMs) - 1) +
      this.loads.lateShareOf(each, request) * LATE_COST_IN_REQUESTS +
      monitor.failureShare(each.id, nowMs) * failureCost +
      random() * RANDOM_COST_IN_REQUESTS;
    if (!monitor.hasRecentReports(nowMs)) {
      const offered = leaveOutPaced(group, request, this.options, random);
      const endpoint = leastBy(offered, costsWith(FAILURE_COST_IN_REQUESTS));
      return endpoint && {endpoint};
    }
    const capacityOf = (each: ServingEndpoint) =>
      this.loads.speedOf(each, nowMs);
    const items = preferLocal(group, {dataCentre, loadOf, capacityOf});
    // Instances of other data centres prefer their own engines likewise.
    const itemsPerS =
      (requestsPerS * sumOf(items, capacityOf)) / sumOf(group, capacityOf);
    const expectedRequests = itemsPerS * this.unseenForS(items, nowMs);
    // However many requests are on their way, they don't even out failures.
    const failureCost = Math.max(
      FAILURE_COST_IN_REQUESTS,
      (MIN_FAILURE_COST_RATIO * expectedRequests) / Math.max(1, items.length),
    );
    const costOf = costsWith(failureCost);
    const stepOf = (each: ServingEndpoint) =>
      this.loads.stepOf(each, nowMs) * this.loads.loadPerRequest(each, nowMs);
    const endpoint = chooseByFill({
      items,
      costOf,
      stepOf,
      expectedRequests,
      random,
    });
    return endpoint && {endpoint};
  }

  /**
   * Requests at an engine; one that lets requests wait counts as full. Its
   * memory may be full, or it may have long prompts to read, while most of its
   * slots are free.
   */
  private effectiveLoadOf(engine: ServingEndpoint, nowMs: number): number {
    const {id, capacity} = engine;
    const load = this.loads.correctedLoadOf(engine, nowMs);
    const full = capacity * this.loads.stepOf(engine, nowMs);
    const waiting = Math.min(1, this.monitor.estimateWaiting(id, nowMs));
    return load + Math.max(0, full - load) * waiting;
  }

  /** Time until newer loads of these engines than the known ones are known. */
  private unseenForS(
    engines: readonly ServingEndpoint[],
    nowMs: number,
  ): number {
    const ids = engines.map(({id}) => id);
    const ageMs = this.monitor.meanLoadAgeMs(ids, nowMs);
    return (Math.max(MIN_LOAD_AGE_MS, ageMs) * REPORT_INTERVAL_AGES) / 1000;
  }
}

function sumOf<Item>(
  items: readonly Item[],
  valueOf: (item: Item) => number,
): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}

/** From 0 to 1, the same on all instances. */
function drawShare(key: string, id: EndpointId): number {
  return hashText(`${key}\nshare\n${id}`) / 2 ** 32;
}
