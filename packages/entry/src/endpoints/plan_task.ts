/** Plans the endpoints of its data centre while it holds the order lease. */

import type {OrderContent} from '@snipestage/agreement/order_rows.js';
import {planEndpoints} from '@snipestage/policy/endpoint_plan.js';
import {
  EMPTY_PLAN_MEMORY,
  type EndpointPlan,
  type ObservedEndpoint,
  type PlanMemory,
} from '@snipestage/policy/endpoint_plan_input.js';
import type {EndpointPool} from '@snipestage/types/configuration.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {ListedEndpoint} from '@snipestage/types/platform_messages.js';
import type {LeaseTask} from '../agree/lease_task.js';
import type {OrderTask} from '../agree/order_task.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import type {DemandReports} from './demand_reports.js';
import type {DrainList, EndpointDirectory} from './endpoint_directory.js';

const DEFAULT_PLAN_EVERY_MS = 5000;

/** Options of {@link PlanTask}. */
export interface PlanTaskOptions {
  readonly dataCentre: DataCentreId;
  readonly store: ConfigurationStore;
  readonly directory: EndpointDirectory;
  readonly demand: DemandReports;
  readonly lease: LeaseTask;
  readonly orders: OrderTask;
  /** Whether any instance of a data centre is live. */
  readonly isReachable: (dataCentre: DataCentreId) => boolean;
  readonly publishDrains: (drains: DrainList) => void;
  readonly planEveryMs?: number;
  readonly nowEpochMs?: () => number;
}

/**
 * Every holder of an order lease plans for all data centres and sends orders
 * for its own.
 */
export class PlanTask {
  private timer: NodeJS.Timeout | undefined;
  private memory: PlanMemory = EMPTY_PLAN_MEMORY;
  private lastPlan: EndpointPlan | undefined;

  constructor(private readonly options: PlanTaskOptions) {
    options.lease.listen({
      acquired: () => this.plan(),
      lost: () => {
        this.memory = EMPTY_PLAN_MEMORY;
        this.lastPlan = undefined;
      },
    });
  }

  start(): void {
    const everyMs = this.options.planEveryMs ?? DEFAULT_PLAN_EVERY_MS;
    this.timer = setInterval(() => this.plan(), everyMs);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  snapshot(): object {
    const {targets, shortfalls, departures} = this.lastPlan ?? {};
    return {targets, shortfalls, departures};
  }

  private plan(): void {
    const {store, lease, orders, dataCentre, publishDrains} = this.options;
    const hasPools = store.current.endpointPools.size > 0;
    if (lease.held === undefined || !hasPools) return;
    const plan = this.compute();
    this.lastPlan = plan;
    this.memory = plan.memory;
    const own = plan.targets.filter(each => each.dataCentre === dataCentre);
    publishDrains({dataCentre, endpoints: own.flatMap(each => each.drain)});
    orders.setDesired([...own.map(toContent), ...this.modelOrders()]);
  }

  private compute(): EndpointPlan {
    const {store, demand, isReachable} = this.options;
    const {dataCentres, endpointPools} = store.current;
    const nowEpochMs = this.options.nowEpochMs ?? Date.now;
    return planEndpoints({
      nowEpochMs: nowEpochMs(),
      dataCentres: [...dataCentres.values()].map(each => ({
        ...each,
        // Nothing is ordered in an unreachable or evacuated data centre; the
        // others take over its demand.
        reachable: isReachable(each.id) && each.evacuated !== true,
      })),
      pools: [...endpointPools.values()],
      demand: demand.lines(),
      endpoints: this.observe(),
      memory: this.memory,
    });
  }

  private observe(): ObservedEndpoint[] {
    const {directory, demand} = this.options;
    return directory.listed().map(item => ({
      id: item.id,
      dataCentre: item.dataCentre,
      model: item.model,
      kind: item.kind,
      state: this.stateOf(item),
      running: demand.runningAt(item.id),
    }));
  }

  /**
   * Ignores drains by the plan itself, because each plan decides on them anew.
   */
  private stateOf(item: ListedEndpoint): ObservedEndpoint['state'] {
    const configured = this.options.store.current.endpoints.get(item.id);
    return configured?.leaving === true ? 'leaving' : item.state;
  }

  /**
   * Orders live engines to load their models; an engine that has loaded its
   * model does nothing.
   */
  private modelOrders(): OrderContent[] {
    const {dataCentre, directory, store} = this.options;
    return directory
      .listed()
      .filter(item => item.dataCentre === dataCentre && item.state === 'live')
      .flatMap(({id, model}) => {
        const pool = store.current.endpointPools.get(`${dataCentre}/${model}`);
        return pool === undefined ? [] : [loadModel(id, pool)];
      });
  }
}

function loadModel(
  endpoint: ListedEndpoint['id'],
  pool: EndpointPool,
): OrderContent {
  return {
    kind: 'engine',
    order: {endpoint, action: 'load_model', model: pool.model},
    checksFencing: pool.enginesCheckFencing,
  };
}

function toContent(target: EndpointPlan['targets'][number]): OrderContent {
  const {dataCentre, model, kind, targetCount, release} = target;
  return {
    kind: 'endpoints',
    order: {dataCentre, model, kind, targetCount, release},
  };
}
