/** An instance's known and estimated state, shared by its tasks. */

import {SuspectTable} from '@snipestage/policy/suspects.js';
import {AgreedDemand} from '@snipestage/routing/agreed_demand.js';
import {BrittleEndpoints} from '@snipestage/routing/brittle_endpoints.js';
import {DataCentreReach} from '@snipestage/routing/data_centre_reach.js';
import {
  DemandMeter,
  type RouteDemand,
} from '@snipestage/routing/demand_meter.js';
import {EngineDepartures} from '@snipestage/routing/engine_departures.js';
import {EndpointDirectory} from '@snipestage/routing/endpoint_directory.js';
import {EndpointRateLimits} from '@snipestage/routing/endpoint_rate_limits.js';
import {EndpointRates} from '@snipestage/routing/endpoint_rates.js';
import {EngineRoom} from '@snipestage/routing/engine_room.js';
import {EndpointMonitor} from '@snipestage/routing/endpoint_monitor.js';
import {InstanceIsolation} from '@snipestage/routing/instance_isolation.js';
import {FairShares} from '@snipestage/routing/fair_shares.js';
import {
  LoadControls,
  type LoadControlsOptions,
} from '@snipestage/routing/load_controls.js';
import {CombinedCorrection} from '@snipestage/routing/load_correction.js';
import {
  ADMIT,
  decideByAll,
  type ArrivedRequest,
  type LoadShedder,
  type ShedDecision,
} from '@snipestage/routing/load_shedder.js';
import {LoadView} from '@snipestage/routing/load_view.js';
import {LeastLoadedPlacement} from '@snipestage/routing/least_loaded_placement.js';
import {PaceView, type PaceSample} from '@snipestage/routing/pace_view.js';
import type {Placement} from '@snipestage/routing/placement.js';
import type {Prompt} from '@snipestage/routing/prompt.js';
import {PromptPlacement} from '@snipestage/routing/prompt_placement.js';
import {RefusalDelay} from '@snipestage/routing/refusal_delay.js';
import {StartPace, type PaceChange} from '@snipestage/routing/start_pace.js';
import {RefusedSessions} from '@snipestage/routing/refused_sessions.js';
import {RoomPressure} from '@snipestage/routing/room_pressure.js';
import {RoomShedder} from '@snipestage/routing/room_shedder.js';
import {ServiceVersions} from '@snipestage/routing/service_versions.js';
import {SplitRoutes} from '@snipestage/routing/split_routes.js';
import type {Route, RouteId} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import {SharedDemand} from '@snipestage/routing/shared_demand.js';
import {SideHistory} from '@snipestage/routing/side_history.js';
import type {RouteTable} from '@snipestage/routing/route_table.js';
import {RecentDurations} from '@snipestage/routing/recent_durations.js';
import {
  WarmupGate,
  type WarmupTolerance,
} from '@snipestage/routing/warmup_gate.js';
import {maxSavedEach, WindowBudget} from '@snipestage/routing/window_budget.js';
import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import type {RetrySettings} from './gateway_settings.js';

/**
 * About the length of a burst. Summed over all instances, demand is steady
 * enough at this half-life.
 */
const PUBLISHED_DEMAND_HALF_LIFE_MS = 5000;

/**
 * Covers about a dozen requests, and is short compared with a burst of seconds.
 */
const RECENT_DEMAND_HALF_LIFE_MS = 1500;

/** Why no endpoint could be chosen for a request. */
export interface NoEndpoint {
  /**
   * - `no_endpoint`: none is serving, and none is in an evacuated data centre.
   * - `evacuated`: none is serving, and some are in evacuated data centres.
   * - `leaving`: none is serving, and some are leaving.
   * - `gone`: as `leaving`, and other endpoints have the addresses of some.
   * - `warming_up`: all are cold and already get the requests that they can
   *   take.
   * - `backing_off`: all that could take requests have requested backoff.
   * - `rate_limited`: all already get the requests that they can take, and some
   *   have a rate limit.
   * - `no_room`: all are full or have just rejected requests, and some bear few
   *   rejections.
   */
  readonly reason:
    | 'no_endpoint'
    | 'evacuated'
    | 'leaving'
    | 'gone'
    | 'warming_up'
    | 'backing_off'
    | 'rate_limited'
    | 'no_room';
  /** Time until the first one may take requests again; 0 if not known. */
  readonly retryAfterMs: number;
}

/** State of one process; not persisted. */
export class RoutingState {
  /** Undefined until the first configuration is known. */
  table: RouteTable | undefined;
  readonly directory = new EndpointDirectory();
  readonly departures = new EngineDepartures();
  /** Number of instances, published by one of them; undefined until known. */
  instances: number | undefined;
  readonly monitor = new EndpointMonitor();
  readonly rateLimits = new EndpointRateLimits({
    readInstances: () => this.instances,
  });
  readonly brittle = new BrittleEndpoints({
    monitor: this.monitor,
    readInstances: () => this.instances,
  });
  readonly loads = new LoadView({
    monitor: this.monitor,
    rateLimits: this.rateLimits,
    isShared: id => this.isEngine(id),
    onReported: (reading, nowMs) => this.pace.noteReported(reading, nowMs),
  });
  readonly rates = new EndpointRates({
    runningAt: (id, nowMs) =>
      this.monitor.estimateLoad(id, nowMs) -
      this.monitor.estimateWaiting(id, nowMs),
    onSample: sample => this.paces.noteOwn(sample),
  });
  /** Unlike loads, samples of plain services are shared too. */
  readonly paces = new PaceView({
    isKnown: id => this.directory.find(id) !== undefined,
    onReported: sample => this.noteReportedPace(sample),
  });
  /** Endpoints whose invalid work times have been logged. */
  readonly withInvalidWorkTime = new Set<EndpointId>();
  readonly reach = new DataCentreReach();
  readonly isolation = new InstanceIsolation();
  readonly demand = new DemandMeter();
  /** Published, and summed over all instances; hence the shorter half-life. */
  readonly demandToPublish = new DemandMeter({
    halfLifeMs: PUBLISHED_DEMAND_HALF_LIFE_MS,
  });
  /** Follows a burst while it lasts. */
  readonly recentDemand = new DemandMeter({
    halfLifeMs: RECENT_DEMAND_HALF_LIFE_MS,
  });
  readonly agreedDemand = new AgreedDemand({own: this.demand});
  readonly sharedDemand = new SharedDemand({
    findRoute: id => this.table?.configuration.routes.find(r => r.id === id),
  });
  private readonly sides = new SideHistory();
  readonly suspects = new SuspectTable();
  readonly durations = new RecentDurations();
  /** Times until streams begin, with those after which callers left. */
  readonly waits = new RecentDurations();
  readonly versions = new ServiceVersions();
  readonly warmup: WarmupGate;
  readonly controls: LoadControls;
  private readonly splitRoutes = new SplitRoutes({
    readSplit: (service, nowMs) =>
      this.promptPlacement.listRoutes(
        this.directory.findServing(service, nowMs),
        nowMs,
      ),
  });
  readonly room: EngineRoom = new EngineRoom({
    monitor: this.monitor,
    findEngine: service => this.table?.findService(service)?.engine,
    readInstances: () => this.instances,
    countEngines: service => this.directory.countServing(service),
    routesAt: (endpoint, nowMs) => this.splitRoutes.routesAt(endpoint, nowMs),
    slownessOf: (endpoint, nowMs) =>
      this.correction.slownessOf(endpoint, nowMs),
  });
  private readonly accountsForRoom: boolean;
  /** In the order in which they are applied. */
  readonly correction: CombinedCorrection;
  private readonly pace: StartPace;
  private onPaceChange: ((change: PaceChange) => void) | undefined;
  /** In the order in which they decide. */
  private readonly shedders: readonly LoadShedder[];
  /** Requests in progress that the shedders have admitted. */
  private readonly counted = new Set<ArrivedRequest>();
  private readonly plainPlacement: Placement;
  private readonly promptPlacement: PromptPlacement;
  private readonly budgets = new Map<ServiceId, WindowBudget>();
  private readonly refusalDelays = new Map<ServiceId, RefusalDelay>();

  constructor(
    private retry: RetrySettings,
    tolerance?: WarmupTolerance,
    controls?: LoadControlsOptions,
  ) {
    this.controls = new LoadControls(controls);
    this.warmup = new WarmupGate({
      limitOf: service => this.table?.findService(service)?.warmup,
      readInstances: () => this.instances,
      tolerance,
    });
    this.pace = new StartPace({
      monitor: this.monitor,
      isOn: service => this.controls.isOn(service),
      findServing: (service, nowMs) =>
        this.directory.findServing(service, nowMs),
      warmup: this.warmup,
      rateLimits: this.rateLimits,
      onChange: change => this.onPaceChange?.(change),
    });
    this.accountsForRoom = controls?.accountsForRoom ?? false;
    const {accountsForRoom} = this;
    this.correction = new CombinedCorrection([
      ...(accountsForRoom ? [this.room] : []),
      this.rates,
      this.pace,
    ]);
    const {monitor, reach, warmup, rateLimits, brittle} = this;
    const {correction} = this;
    const estimates = {
      monitor,
      reach,
      warmup,
      rateLimits,
      brittle,
      controls: this.controls,
      correction,
    };
    const {agreedDemand: demand, recentDemand: recent} = this;
    const {sharedDemand: shared, sides} = this;
    this.plainPlacement = new LeastLoadedPlacement(estimates);
    this.promptPlacement = new PromptPlacement({
      ...estimates,
      demand,
      recent,
      shared,
      sides,
    });
    this.shedders = accountsForRoom ? this.createShedders() : [];
  }

  private createShedders(): readonly LoadShedder[] {
    const {room, monitor} = this;
    const pressure = new RoomPressure({
      room,
      listEligible: (candidates, route, nowMs) =>
        this.promptPlacement.listEligible(candidates, route, nowMs),
      isDown: ({id}, nowMs) => monitor.isDown(id, nowMs),
    });
    const sessions = new RefusedSessions({
      epochAt: nowMs => performance.timeOrigin + nowMs,
    });
    const shares = new FairShares({pressure, sessions});
    const readShedShare = (request: ArrivedRequest) =>
      shares.readShedShare(request);
    return [shares, new RoomShedder({pressure, sessions, readShedShare})];
  }

  /**
   * Whether loads of an endpoint are shared. Those of plain services aren't:
   * such endpoints answer within tens of milliseconds, before a report arrives.
   */
  private isEngine(id: EndpointId): boolean {
    const service = this.directory.find(id)?.service;
    return service !== undefined && this.placesPrompts(service);
  }

  private placesPrompts(service: ServiceId): boolean {
    return this.table?.findService(service)?.engine !== undefined;
  }

  /**
   * Drops state of endpoints that are gone, and what earlier incarnations of
   * the others reported.
   */
  evictStale(nowMs: number): void {
    const known = this.directory.listKnownIds();
    this.departures.retain(known);
    this.monitor.retain(known);
    this.warmup.retain(known);
    this.rateLimits.retain(known);
    this.brittle.retain(known);
    this.correction.retain(known);
    this.sides.retain(known);
    for (const id of this.withInvalidWorkTime) {
      if (!known.has(id)) this.withInvalidWorkTime.delete(id);
    }
    const restarted = this.directory.takeRestarted();
    for (const id of restarted) {
      this.monitor.forgetReports(id);
      this.rateLimits.forget(id);
      this.brittle.forget(id);
      this.correction.forget(id);
      this.loads.forget(id, nowMs);
      this.paces.forget(id, nowMs);
    }
    const disturbedSinceMs = this.directory.disturbedSinceMs(nowMs);
    const listed = this.directory.readAll();
    this.pace.noteListed(listed, {restarted, disturbedSinceMs}, nowMs);
    this.loads.prune();
    this.paces.prune();
  }

  /**
   * Others share paces only of services whose controls are on. An instance that
   * has just started learns so within a second, before it has an answer.
   */
  private noteReportedPace(sample: PaceSample): void {
    const service = this.directory.find(sample.endpoint)?.service;
    if (service === undefined) return;
    this.controls.noteSharedMachine(service);
    this.rates.noteReported(sample, service);
  }

  /** Calls back when the share of a starting endpoint begins, halves or ends. */
  watchPace(onChange: (change: PaceChange) => void): void {
    this.onPaceChange = onChange;
  }

  /** Whether a request is refused for the sake of others; see {@link endShed}. */
  shed(request: ArrivedRequest): ShedDecision {
    if (!this.controls.isOn(request.service)) return ADMIT;
    const decision = decideByAll(this.shedders, request);
    if (decision.kind === 'admit') this.counted.add(request);
    return decision;
  }

  /** A request that {@link shed} admitted has ended. */
  endShed(request: ArrivedRequest, nowMs: number): void {
    // The controls may have been off when it was admitted.
    if (!this.counted.delete(request)) return;
    for (const shedder of this.shedders) shedder.noteEnded(request, nowMs);
  }

  /** Counts a request that arrived. */
  countDemand(
    service: ServiceId,
    route: Route,
    prompt: Prompt | undefined,
    nowMs: number,
  ): void {
    for (const meter of [
      this.demand,
      this.demandToPublish,
      this.recentDemand,
    ]) {
      meter.count(service, route, prompt, nowMs);
    }
    if (prompt !== undefined && this.controls.isOn(service)) {
      this.sharedDemand.noteOwn(service, route.id, prompt);
    }
  }

  /** Demand of each engine service's routes as seen by this instance. */
  readDemands(nowMs: number): Record<string, readonly RouteDemand[]> {
    const services = this.demandToPublish
      .listServices()
      .filter(id => this.table?.findService(id)?.engine !== undefined);
    const entries = services.map(id => [
      id,
      this.demandToPublish.read(id, nowMs),
    ]);
    return Object.fromEntries(entries);
  }

  /** Forgets what was concluded from connections that this instance lost. */
  forgetUnreachable(): void {
    this.monitor.forgetUnreachable();
    this.pace.forgetFailures();
    this.reach.clear();
  }

  /** Forgets routes that are gone. */
  retainRoutes(routes: ReadonlySet<RouteId>): void {
    this.durations.retain(routes);
    this.waits.retain(routes);
    this.sharedDemand.retain(routes);
  }

  placementFor(service: ServiceId): Placement {
    return this.placesPrompts(service)
      ? this.promptPlacement
      : this.plainPlacement;
  }

  budgetFor(service: ServiceId): WindowBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) return existing;
    const {slack} = this.retry;
    const budget = new WindowBudget({
      ...this.retry,
      readMaxSaved: () => maxSavedEach(slack, this.instances),
    });
    this.budgets.set(service, budget);
    return budget;
  }

  refusalDelayFor(service: ServiceId): RefusalDelay {
    const existing = this.refusalDelays.get(service);
    if (existing !== undefined) return existing;
    const delay = new RefusalDelay();
    this.refusalDelays.set(service, delay);
    return delay;
  }

  /** Why no endpoint of a service could be chosen. */
  explainNoEndpoint(service: ServiceId, nowMs: number): NoEndpoint {
    const serving = this.directory.findServingOrBackingOff(service, nowMs);
    if (serving.length > 0) {
      const waits = serving.map(each =>
        Math.max(
          this.warmup.leftMs(each.id, nowMs),
          this.rateLimits.intervalMs(each.id),
          this.brittle.holdLeftMs(each.id, nowMs),
          this.directory.backoffLeftMs(each, nowMs),
        ),
      );
      return {
        reason: this.explainNoneOpen(serving, nowMs),
        retryAfterMs: Math.min(...waits),
      };
    }
    return {reason: this.explainNoneServing(service, nowMs), retryAfterMs: 0};
  }

  /** Time until an endpoint of a service isn't in backoff; 0 if there is none. */
  backoffLeftMs(service: ServiceId, nowMs: number): number {
    const serving = this.directory.findServingOrBackingOff(service, nowMs);
    if (serving.length === 0) return 0;
    const lefts = serving.map(each =>
      this.directory.backoffLeftMs(each, nowMs),
    );
    return Math.min(...lefts);
  }

  private explainNoneOpen(
    serving: readonly ServingEndpoint[],
    nowMs: number,
  ): NoEndpoint['reason'] {
    if (serving.some(each => this.directory.backoffLeftMs(each, nowMs) > 0)) {
      return 'backing_off';
    }
    const isLimited = serving.some(
      ({id}) => this.rateLimits.find(id) !== undefined,
    );
    if (isLimited) return 'rate_limited';
    const isBrittle = serving.some(
      ({id}) => this.brittle.find(id) !== undefined,
    );
    return isBrittle ? 'no_room' : 'warming_up';
  }

  private explainNoneServing(
    service: ServiceId,
    nowMs: number,
  ): NoEndpoint['reason'] {
    const listed = this.directory
      .readAll()
      .filter(each => each.service === service);
    if (listed.some(each => this.directory.isEvacuated(each.dataCentre))) {
      return 'evacuated';
    }
    if (listed.some(each => this.directory.isGone(each, nowMs))) return 'gone';
    return listed.length > 0 ? 'leaving' : 'no_endpoint';
  }

  /** Known and estimated state of each endpoint, for the dump of state. */
  describeEndpoints(nowMs: number): readonly object[] {
    const {directory, monitor, rates} = this;
    return directory.readAll().map(endpoint => ({
      ...endpoint,
      isDown: monitor.isDown(endpoint.id, nowMs),
      isGone: directory.isGone(endpoint, nowMs),
      isCold: this.warmup.isCold(endpoint.id, nowMs),
      startShare: this.pace.find(endpoint, nowMs),
      rateLimitPerS: this.rateLimits.find(endpoint.id),
      maxRejectionsPerS: this.brittle.find(endpoint.id),
      backoffLeftMs: Math.round(directory.backoffLeftMs(endpoint, nowMs)),
      load: monitor.estimateLoad(endpoint.id, nowMs),
      failureShare: monitor.failureShare(endpoint.id, nowMs),
      inFlight: monitor.inFlight(endpoint.id),
      ...rates.describe(endpoint, nowMs),
      ...this.describeRoom(endpoint, nowMs),
    }));
  }

  /** Slow endpoints of each service whose load controls are on. */
  countSlow(nowMs: number): ReadonlyMap<ServiceId, number> {
    const counts = new Map<ServiceId, number>();
    for (const endpoint of this.directory.readAll()) {
      const {service} = endpoint;
      if (!this.controls.isOn(service)) continue;
      const slow = this.rates.isSlow(endpoint, nowMs) ? 1 : 0;
      counts.set(service, (counts.get(service) ?? 0) + slow);
    }
    return counts;
  }

  /** Tokens at an engine, where the load controls of its service are on. */
  private describeRoom(endpoint: ServingEndpoint, nowMs: number): object {
    if (!this.accountsForRoom || !this.controls.isOn(endpoint.service))
      return {};
    const tokens = this.room.readTokens(endpoint, nowMs);
    if (tokens === undefined) return {};
    return {
      tokensHeld: Math.round(tokens.held),
      tokensUnread: Math.round(tokens.unread),
      isRoomKnown: tokens.isKnown,
    };
  }

  /**
   * Applies new settings; if ratio, window or slack changed, attempts spent
   * earlier in the window are forgotten.
   */
  changeRetry(retry: RetrySettings): void {
    const isSame =
      retry.ratio === this.retry.ratio &&
      retry.windowMs === this.retry.windowMs &&
      retry.slack === this.retry.slack;
    if (isSame) return;
    this.retry = retry;
    this.budgets.clear();
  }
}
