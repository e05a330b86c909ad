/** All processes and stand-ins of one run of the soak. */

import {randomLcg} from 'd3-random';
import {ProviderStandIn} from '@snipestage/platform_stand_ins/provider_stand_in.js';
import type {MachineLimits} from '@snipestage/platform_stand_ins/settings_text.js';
import {StoreStandIn} from '@snipestage/platform_stand_ins/store_stand_in.js';
import {pickFreePorts} from '@snipestage/stand_ins/launch/free_ports.js';
import {Link} from '@snipestage/stand_ins/link/link.js';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {BOUNDS} from '../bounds.js';
import {History} from '../history.js';
import {Endpoint} from './endpoint.js';
import {Instance} from './instance.js';
import {BOOKINGS, ENGINES, Operator} from './operator.js';
import {networkOf} from './own_network.js';
import {ProcessorQuota} from './processor_quota.js';
import {COPY_AGE_STEPS} from '../store_set_backs.js';
import {StoreCopies} from './store_copies.js';

/** Options of {@link World}. */
export interface WorldOptions {
  readonly seed: number;
  readonly program: string;
  readonly instances: number;
  readonly engines: number;
  readonly services: number;
  /** At most four. */
  readonly dataCentres: number;
  /**
   * Processor time of most instances in each 100 ms; undefined: not limited.
   */
  readonly quotaMs?: number;
  /** Whether callers connect to instances without a link in between. */
  readonly connectsDirectly?: boolean;
  /** What machines allow each process; undefined: not stated. */
  readonly limits?: MachineLimits;
}

const DATA_CENTRES = ['akl-a', 'akl-b', 'akl-c', 'akl-d'].map(name =>
  brandAs<DataCentreId>(name),
);
const ENGINE_CAPACITY = 32;
const SERVICE_CAPACITY = 12;
const READY_WITHIN_MS = 60_000;
const POLL_MS = 100;
/** One instance in that many has no quota, as on uneven machines. */
const INSTANCES_PER_LARGE_ONE = 8;
/** Last number of the stand-ins' address; those of instances count from 1. */
const PLATFORM_HOST = 254;

/** Owns the stand-ins and the processes. */
export class World {
  readonly history = new History(BOUNDS);
  readonly store: StoreStandIn;
  readonly copies: StoreCopies;
  readonly provider: ProviderStandIn;
  readonly operator: Operator;
  readonly instances: Instance[] = [];
  readonly endpoints: Endpoint[] = [];
  private readonly random: () => number;
  private readonly network = networkOf(process.pid);
  private readonly quota: ProcessorQuota | undefined;
  readonly nowMs = () => performance.now();

  /** @throws RangeError for more data centres than there are names. */
  constructor(private readonly options: WorldOptions) {
    if (options.dataCentres > DATA_CENTRES.length) {
      throw new RangeError(`at most ${DATA_CENTRES.length} data centres`);
    }
    this.random = randomLcg(options.seed + 1);
    this.store = new StoreStandIn(this.random);
    this.copies = new StoreCopies(this.store, COPY_AGE_STEPS);
    this.provider = new ProviderStandIn(this.random);
    this.operator = new Operator(this.store, this.history, this.nowMs);
    const {quotaMs} = options;
    if (quotaMs !== undefined) this.quota = new ProcessorQuota(quotaMs);
  }

  get dataCentres(): readonly DataCentreId[] {
    return DATA_CENTRES.slice(0, this.options.dataCentres);
  }

  /** Resolves when every instance is ready. */
  async start(): Promise<void> {
    const storePort = await this.store.start(this.platformHost);
    const providerPort = await this.provider.start(this.platformHost);
    this.operator.write();
    await this.addEndpoints();
    await this.addInstances(storePort, providerPort);
    await Promise.all(this.instances.map(instance => instance.start()));
    for (const instance of this.instances) await this.waitUntilReady(instance);
    this.copies.start();
  }

  /** Stops all processes and stand-ins and collects what they recorded. */
  async close(): Promise<void> {
    this.quota?.close();
    await Promise.all(this.instances.map(instance => instance.close()));
    for (const endpoint of this.endpoints) endpoint.close();
    this.copies.stop();
    this.store.stop();
    this.provider.stop();
    this.history.dutyCalls.push(...this.provider.calls);
  }

  /** Address of the stand-ins and of the links to them. */
  private get platformHost(): string {
    return `${this.network}.${PLATFORM_HOST}`;
  }

  private async addEndpoints(): Promise<void> {
    const {engines, services} = this.options;
    for (let index = 0; index < engines + services; index += 1) {
      const isEngine = index < engines;
      const endpoint = new Endpoint({
        host: this.platformHost,
        place: isEngine ? `engine-${index}` : `booking-${index}`,
        service: isEngine ? ENGINES : BOOKINGS,
        dataCentre: DATA_CENTRES[index % this.options.dataCentres],
        capacity: isEngine ? ENGINE_CAPACITY : SERVICE_CAPACITY,
        isEngine,
        store: this.store,
        history: this.history,
        random: this.random,
        nowMs: this.nowMs,
      });
      await endpoint.start();
      this.endpoints.push(endpoint);
    }
  }

  /** Each instance has a loopback address and ports of its own. */
  private async addInstances(
    storePort: number,
    providerPort: number,
  ): Promise<void> {
    const providerAddress = `${this.platformHost}:${providerPort}`;
    for (let index = 0; index < this.options.instances; index += 1) {
      const dataCentre = DATA_CENTRES[index % this.options.dataCentres];
      const storeLink = new Link({
        host: this.platformHost,
        targetHost: this.platformHost,
        targetPort: storePort,
      });
      // The address of the link is known once it listens.
      await storeLink.start();
      const ports = await pickFreePorts(3);
      // The port after the last one is free on the instance's address.
      const [callersPort, readinessPort, peerPort] = ports.sort(
        (left, right) => left - right,
      );
      this.instances.push(
        new Instance({
          settings: {
            instance: brandAs<InstanceId>(`${dataCentre}-${index + 1}`),
            dataCentre,
            host: `${this.network}.${index + 1}`,
            callersPort,
            readinessPort,
            storeAddress: storeLink.address,
            providerAddress,
            bounds: BOUNDS,
            dataCentres: this.dataCentres,
            peerPort,
            limits: this.options.limits,
          },
          program: this.options.program,
          history: this.history,
          storeLink,
          endpointLinks: {
            host: this.platformHost,
            exemptPorts: [storePort, storeLink.port, providerPort],
          },
          nowMs: this.nowMs,
          connectsDirectly: this.options.connectsDirectly,
          quota:
            (index + 1) % INSTANCES_PER_LARGE_ONE === 0
              ? undefined
              : this.quota,
        }),
      );
    }
  }

  private async waitUntilReady(instance: Instance): Promise<void> {
    const startedAtMs = this.nowMs();
    while (!(await instance.isReady())) {
      if (this.nowMs() - startedAtMs > READY_WITHIN_MS) {
        throw new Error(`${instance.id} did not get ready in time.`);
      }
      await new Promise(done => setTimeout(done, POLL_MS));
    }
  }
}
