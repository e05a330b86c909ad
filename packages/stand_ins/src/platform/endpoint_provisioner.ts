/** Starts and ends endpoints by the orders to the platform stand-in. */

import type {EndpointKind} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
} from '@snipestage/types/ids.js';
import type {
  EndpointOrder,
  ListedEndpoint,
} from '@snipestage/types/platform_messages.js';
import type {StandInServer} from '../http/stand_in_server.js';

/** The endpoint to make. */
export type EndpointRequest = Pick<
  ListedEndpoint,
  'id' | 'dataCentre' | 'model' | 'kind'
>;

/** Options of {@link EndpointProvisioner}. */
export interface EndpointProvisionerOptions {
  /** Makes an endpoint, not yet started; without it orders start none. */
  readonly makeEndpoint?: (request: EndpointRequest) => StandInServer;
  /** Time from the order until the endpoint is started and live. */
  readonly startDelayMs?: number;
  /** Time from being listed as leaving until the endpoint is removed. */
  readonly leaveDelayMs?: number;
  readonly onChange?: () => void;
}

interface RunningEndpoint {
  listed: ListedEndpoint;
  readonly standIn: StandInServer | undefined;
  readonly sinceEpochMs: number;
  timer?: NodeJS.Timeout;
}

const DEFAULT_START_DELAY_MS = 500;
const DEFAULT_LEAVE_DELAY_MS = 10_000;

/** Runs as many endpoints of each data centre, model and kind as ordered. */
export class EndpointProvisioner {
  /** False while orders for more cheap endpoints are refused. */
  cheapAvailable = true;
  private readonly options: EndpointProvisionerOptions;
  private readonly running = new Map<EndpointId, RunningEndpoint>();
  private readonly pastRunningMs = {regular: 0, cheap: 0};
  private started = 0;

  constructor(options: EndpointProvisionerOptions = {}) {
    this.options = options;
  }

  get listed(): ListedEndpoint[] {
    return [...this.running.values()].map(({listed}) => listed);
  }

  /**
   * Adds an endpoint that already runs.
   *
   * @example
   * provisioner.adopt(listedEndpoint, engine);
   */
  adopt(listed: ListedEndpoint, standIn?: StandInServer): void {
    this.running.set(listed.id, {listed, standIn, sinceEpochMs: Date.now()});
    this.options.onChange?.();
  }

  /**
   * Carries out an order.
   *
   * @returns the reason for a refusal; `undefined` when it is carried out.
   * @example
   * const reason = provisioner.carryOut(order);
   */
  carryOut(order: EndpointOrder): string | undefined {
    const present = this.runningFor(order);
    const missing = order.targetCount - present.length;
    if (missing > 0 && order.kind === 'cheap' && !this.cheapAvailable) {
      return 'No cheap endpoint can be had now.';
    }
    if (this.options.makeEndpoint !== undefined) {
      for (let n = 0; n < missing; n++) this.startOne(order);
    }
    this.inOrderOfRelease(order, present)
      .slice(0, Math.max(0, -missing))
      .forEach(endpoint => this.startLeaving(endpoint));
    return undefined;
  }

  /**
   * Ends all cheap endpoints of a data centre at once.
   *
   * @example
   * provisioner.reclaimCheap(brandAs<DataCentreId>('akl-a'));
   */
  reclaimCheap(dataCentre: DataCentreId): void {
    for (const endpoint of [...this.running.values()]) {
      const {listed} = endpoint;
      if (listed.kind === 'cheap' && listed.dataCentre === dataCentre) {
        this.end(endpoint);
      }
    }
  }

  /** Total running time of all endpoints of a kind, past and present. */
  runningMs(kind: EndpointKind, nowEpochMs: number): number {
    return [...this.running.values()]
      .filter(({listed}) => listed.kind === kind)
      .reduce(
        (sum, {sinceEpochMs}) => sum + nowEpochMs - sinceEpochMs,
        this.pastRunningMs[kind],
      );
  }

  /** Removes all endpoints and stops those that have a stand-in. */
  async stop(): Promise<void> {
    const endpoints = [...this.running.values()];
    this.running.clear();
    for (const {timer} of endpoints) clearTimeout(timer);
    await Promise.all(endpoints.map(({standIn}) => standIn?.stop()));
  }

  private runningFor(order: EndpointOrder): RunningEndpoint[] {
    return [...this.running.values()].filter(
      ({listed}) =>
        listed.dataCentre === order.dataCentre &&
        listed.model === order.model &&
        listed.kind === order.kind &&
        listed.state !== 'leaving',
    );
  }

  private inOrderOfRelease(
    order: EndpointOrder,
    present: readonly RunningEndpoint[],
  ): RunningEndpoint[] {
    const isNamed = ({listed}: RunningEndpoint): boolean =>
      order.release.includes(listed.id);
    const others = present.filter(endpoint => !isNamed(endpoint)).reverse();
    return [...present.filter(isNamed), ...others];
  }

  private startOne(order: EndpointOrder): void {
    const {dataCentre, kind, model} = order;
    this.started += 1;
    const id = brandAs<EndpointId>(
      `${dataCentre}-${model}-${kind}-${this.started}`,
    );
    const standIn = this.options.makeEndpoint?.({id, dataCentre, model, kind});
    const listed = {id, dataCentre, model, kind, url: '', state: 'starting'};
    const endpoint: RunningEndpoint = {
      listed: listed as ListedEndpoint,
      standIn,
      sinceEpochMs: Date.now(),
    };
    this.running.set(id, endpoint);
    this.options.onChange?.();
    endpoint.timer = setTimeout(
      () => void this.makeLive(endpoint),
      this.options.startDelayMs ?? DEFAULT_START_DELAY_MS,
    );
  }

  private async makeLive(endpoint: RunningEndpoint): Promise<void> {
    await endpoint.standIn?.start();
    if (!this.running.has(endpoint.listed.id)) {
      await endpoint.standIn?.stop();
      return;
    }
    const url = endpoint.standIn?.url ?? '';
    endpoint.listed = {...endpoint.listed, url, state: 'live'};
    this.options.onChange?.();
  }

  private startLeaving(endpoint: RunningEndpoint): void {
    clearTimeout(endpoint.timer);
    endpoint.listed = {...endpoint.listed, state: 'leaving'};
    this.options.onChange?.();
    endpoint.timer = setTimeout(
      () => this.end(endpoint),
      this.options.leaveDelayMs ?? DEFAULT_LEAVE_DELAY_MS,
    );
  }

  private end(endpoint: RunningEndpoint): void {
    clearTimeout(endpoint.timer);
    const {id, kind} = endpoint.listed;
    if (!this.running.delete(id)) return;
    this.pastRunningMs[kind] += Date.now() - endpoint.sinceEpochMs;
    this.options.onChange?.();
    void endpoint.standIn?.stop();
  }
}
