/** Orders endpoints according to the capacity plan while the lease is held. */

import {ABSENT} from '@snipestage/types/store_version.js';
import {findRow} from '@snipestage/agreement/table_effects.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {Platform} from '@snipestage/platform/platform.js';
import {
  countPresent,
  planCapacity,
  type CapacityTarget,
  type PresentEndpoints,
} from '@snipestage/routing/capacity_plan.js';
import {EngineNeed} from '@snipestage/routing/engine_need.js';
import type {Service} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import {
  brandAs,
  type DataCentreId,
  type ModelId,
  type OrderId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import type {OrderResult} from '@snipestage/types/platform_messages.js';
import type {DutyTerm} from './duty_term.js';
import type {RoutingState} from './routing_state.js';
import {readCount} from './row_schemas.js';

/** Options of {@link CapacityDuty}. */
export interface CapacityDutyOptions {
  readonly platform: Platform;
  readonly term: DutyTerm;
  readonly state: RoutingState;
  readonly nowMs: () => number;
  readonly logger: Logger;
}

/**
 * A reclaim leaves about two seconds to react; planning costs no platform call.
 */
const TICK_MS = 500;
/**
 * The list of endpoints has to be unchanged for this long before the endpoints
 * listed count as the number that operators started with: endpoints write their
 * rows one after the other, each within a heartbeat.
 */
const SETTLED_AFTER_MS = 2500;
/**
 * After a refusal, endpoints of the same kind are ordered there again only
 * after this time: each call is priced.
 */
const REFUSAL_RETRY_MS = 2500;
/**
 * After a refusal, cheap endpoints count as scarce for the boot time and this
 * long: endpoints may still have to be ordered and listed after the last
 * refusal.
 */
const SCARCE_AFTER_BOOT_MS = REFUSAL_RETRY_MS + 1000;
/** An order that isn't fulfilled this long after the boot time is repeated. */
const REPEAT_AFTER_BOOT_MS = 3000;

/**
 * Value of the row with the number of endpoints that a service started with.
 */
interface NeededValue {
  readonly endpoints: number;
}

interface Ordered {
  readonly count: number;
  readonly atMs: number;
  readonly token: number;
}

/**
 * Records what was ordered and under which fencing token; a new holder of the
 * lease orders everything again.
 */
export class CapacityDuty {
  private timer: NodeJS.Timeout | undefined;
  private isBusy = false;
  private readonly ordered = new Map<string, Ordered>();
  private readonly refusedAtMs = new Map<string, number>();
  private readonly needed = new Map<ServiceId, number>();
  private readonly needs = new Map<ServiceId, EngineNeed>();
  private orders = 0;

  constructor(private readonly options: CapacityDutyOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.tick(), TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  async tick(): Promise<void> {
    if (this.isBusy || this.options.term.token === undefined) return;
    this.isBusy = true;
    try {
      for (const service of this.scaledServices()) {
        await this.learnNeeded(service.id);
        const isRefused = await this.orderAll(service);
        // Orders what was refused elsewhere at once, since callers are waiting.
        if (isRefused) await this.orderAll(service);
      }
    } finally {
      this.isBusy = false;
    }
  }

  /** @returns whether an order was refused. */
  private async orderAll(service: Service): Promise<boolean> {
    let isRefused = false;
    for (const target of this.plan(service)) {
      const outcome = await this.order(target);
      isRefused ||= outcome === 'refused';
    }
    return isRefused;
  }

  private scaledServices(): readonly Service[] {
    const {table} = this.options.state;
    const services = table?.configuration.services ?? [];
    return services.filter(({scaling}) => scaling !== undefined);
  }

  private plan(service: Service): readonly CapacityTarget[] {
    const {scaling, id} = service;
    const needed = this.needed.get(id);
    if (scaling === undefined || needed === undefined) return [];
    const endpoints = this.options.state.directory
      .readAll()
      .filter(endpoint => endpoint.service === id);
    const dataCentres = this.dataCentresOf(endpoints);
    return planCapacity({
      service: id,
      scaling,
      dataCentres,
      needed,
      currentlyNeeded: this.countCurrentlyNeeded(service, endpoints),
      cheapLeft: this.countCheapLeft(service, dataCentres),
      present: this.countPresent(id, dataCentres),
      evacuated: new Set(this.options.state.directory.listEvacuated()),
    });
  }

  private countCurrentlyNeeded(
    {id, engine}: Service,
    endpoints: readonly ServingEndpoint[],
  ): number {
    if (engine === undefined) return 0;
    const {state, nowMs} = this.options;
    const need = this.needs.get(id) ?? new EngineNeed();
    this.needs.set(id, need);
    const requests = endpoints.reduce(
      (sum, each) => sum + state.monitor.estimateLoad(each.id, nowMs()),
      0,
    );
    return need.update({requests, batchSize: engine.batchSize}, nowMs());
  }

  private countPresent(
    service: ServiceId,
    dataCentres: readonly DataCentreId[],
  ): ReadonlyMap<DataCentreId, PresentEndpoints> {
    const endpoints = this.options.state.directory.readAll();
    const countOf = (dataCentre: DataCentreId, isCheap: boolean): number =>
      countPresent(endpoints, {service, dataCentre, isCheap});
    return new Map(
      dataCentres.map(id => [
        id,
        {regular: countOf(id, false), cheap: countOf(id, true)},
      ]),
    );
  }

  /**
   * Cheap endpoints present, for data centres that recently refused cheap ones.
   */
  private countCheapLeft(
    {id: service, scaling}: Service,
    dataCentres: readonly DataCentreId[],
  ): ReadonlyMap<DataCentreId, number> {
    const {state, nowMs} = this.options;
    const scarceForMs = (scaling?.bootMs ?? 0) + SCARCE_AFTER_BOOT_MS;
    const left = new Map<DataCentreId, number>();
    for (const dataCentre of dataCentres) {
      const place = {service, dataCentre, isCheap: true};
      const refusedAtMs = this.refusedAtMs.get(keyOf(place)) ?? -Infinity;
      if (nowMs() - refusedAtMs > scarceForMs) continue;
      left.set(dataCentre, countPresent(state.directory.readAll(), place));
    }
    return left;
  }

  /**
   * Learns how many endpoints a service needs, which is the number that
   * operators started with. The first holder stores it; otherwise the next one
   * would take what is left of earlier orders for that number.
   */
  private async learnNeeded(service: ServiceId): Promise<void> {
    if (this.needed.has(service)) return;
    const {platform, state, nowMs} = this.options;
    const key = `capacity/${service}`;
    const result = await platform.readRows([key]);
    if (result.kind === 'unavailable') return;
    const {value} = findRow(result.rows, key);
    const stored = readCount((value as NeededValue | null)?.endpoints);
    if (stored !== undefined) {
      this.needed.set(service, stored);
      return;
    }
    const {directory} = state;
    if (nowMs() - directory.changedAtMs < SETTLED_AFTER_MS) return;
    const endpoints = directory
      .readAll()
      .filter(each => each.service === service && !each.isLeaving).length;
    if (endpoints === 0) return;
    // Nothing can be written in place of a malformed row, which isn't absent.
    if (value !== null) {
      this.needed.set(service, endpoints);
      return;
    }
    // If another holder's write came first or this one failed, the next tick
    // reads the row.
    await platform.transact({
      checks: [{key, version: ABSENT}],
      writes: [{key, value: {endpoints}}],
    });
  }

  private readonly seenDataCentres = new Set<DataCentreId>();

  /** Keeps data centres once seen, as all endpoints of one may be gone. */
  private dataCentresOf(
    endpoints: ReadonlyArray<{readonly dataCentre: DataCentreId}>,
  ): readonly DataCentreId[] {
    for (const {dataCentre} of endpoints) this.seenDataCentres.add(dataCentre);
    return [...this.seenDataCentres].sort();
  }

  private async order(
    target: CapacityTarget,
  ): Promise<OrderResult['kind'] | 'not_due'> {
    const {platform, term, nowMs, logger} = this.options;
    const {token} = term;
    if (token === undefined || !this.isDue(target, token)) return 'not_due';
    const place = `${target.service}/${target.dataCentre}`;
    this.orders += 1;
    const result = await platform.orderEndpoints(
      {
        id: brandAs<OrderId>(`${token}.${this.orders}`),
        dataCentre: target.dataCentre,
        model: brandAs<ModelId>(target.service),
        kind: target.isCheap ? 'cheap' : 'regular',
        targetCount: target.count,
        release: [],
        fencingToken: token,
      },
      term.guard(),
    );
    logger.info('endpoints_ordered', {
      place,
      cheap: target.isCheap,
      count: target.count,
      outcome: result.kind,
      reason: result.kind === 'accepted' ? undefined : result.reason,
    });
    if (result.kind === 'accepted') {
      const ordered = {count: target.count, atMs: nowMs(), token};
      this.ordered.set(keyOf(target), ordered);
    }
    if (result.kind === 'refused') this.refusedAtMs.set(keyOf(target), nowMs());
    return result.kind;
  }

  private isDue(target: CapacityTarget, token: number): boolean {
    const {state, nowMs} = this.options;
    const ordered = this.ordered.get(keyOf(target));
    const refusedAtMs = this.refusedAtMs.get(keyOf(target)) ?? -Infinity;
    if (nowMs() - refusedAtMs < REFUSAL_RETRY_MS) return false;
    if (ordered === undefined || ordered.token !== token) return true;
    if (ordered.count !== target.count) return true;
    const bootMs = state.table?.findService(target.service)?.scaling?.bootMs;
    const repeatAfterMs = (bootMs ?? 0) + REPEAT_AFTER_BOOT_MS;
    const present = countPresent(state.directory.readAll(), target);
    return present < target.count && nowMs() - ordered.atMs > repeatAfterMs;
  }
}

function keyOf({
  service,
  dataCentre,
  isCheap,
}: Omit<CapacityTarget, 'count'>): string {
  return `${service}/${dataCentre}/${isCheap ? 'cheap' : 'regular'}`;
}
