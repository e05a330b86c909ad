/** One place for an endpoint: its lives follow one another. */

import {
  removeEndpoint,
  writeEndpoint,
} from '@snipestage/platform_stand_ins/operator_rows.js';
import {
  EndpointStandIn,
  type EndpointFault,
} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {StoreStandIn} from '@snipestage/platform_stand_ins/store_stand_in.js';
import type {
  EndpointAddress,
  ServingEndpoint,
} from '@snipestage/routing/serving_endpoint.js';
import {Link} from '@snipestage/stand_ins/link/link.js';
import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import type {History} from '../history.js';

/** What an {@link Endpoint} is made from. */
export interface EndpointOptions {
  readonly place: string;
  /** Where its lives and the ways to them listen. */
  readonly host: string;
  readonly service: ServiceId;
  readonly dataCentre: DataCentreId;
  readonly capacity: number;
  readonly isEngine: boolean;
  readonly store: StoreStandIn;
  readonly history: History;
  readonly random: () => number;
  readonly nowMs: () => number;
}

/** Served on after the notice, and a little longer. */
const LINGER_MS = 600;
/**
 * The longest streams last five seconds: an endpoint that leaves finishes them.
 * Cut off by it they would count as lost by the instance that passes them on.
 */
const LAST_RUN_MS = 6000;
/** An entry goes with its writer, after some silence. */
const ENTRY_LAPSES_AFTER_MS = 1500;

/** Owns the stand-in of its life and the way to it. */
export class Endpoint {
  private life = 0;
  private standIn!: EndpointStandIn;
  private way!: Link;
  private readonly closing: Array<() => void> = [];

  constructor(private readonly options: EndpointOptions) {}

  get id(): EndpointId {
    return brandAs<EndpointId>(`${this.options.place}.${this.life}`);
  }

  get link(): Link {
    return this.way;
  }

  /** A new life under a new id, at an address of its own. */
  async start(): Promise<void> {
    this.life += 1;
    const {service, capacity, isEngine, random, host} = this.options;
    const standIn = new EndpointStandIn({
      id: this.id,
      service,
      capacity,
      isEngine,
      random,
    });
    this.standIn = standIn;
    const targetPort = await standIn.start(host);
    const way = new Link({host, targetHost: host, targetPort});
    await way.start();
    this.way = way;
    this.closing.push(() => {
      standIn.stop();
      void way.stop();
      this.options.history.addRuns(standIn.runs);
    });
    const {history, dataCentre, store} = this.options;
    history.endpointPlaces.set(this.id, dataCentre);
    writeEndpoint(store, this.describe(false));
  }

  setFault(fault: EndpointFault): void {
    this.standIn.fault = fault;
  }

  /**
   * Announces a rate limit in the answers of this life.
   *
   * @returns ends the limit.
   */
  limitRate(rateLimitPerS: number): () => void {
    const {id, standIn} = this;
    const {history, nowMs} = this.options;
    const toMs = Number.POSITIVE_INFINITY;
    const limit = {endpoint: id, rateLimitPerS, fromMs: nowMs(), toMs};
    history.rateLimits.push(limit);
    standIn.rateLimitPerS = rateLimitPerS;
    return () => {
      standIn.rateLimitPerS = undefined;
      limit.toMs = nowMs();
    };
  }

  /** Gone without a word; another life begins, and the entry lapses. */
  async kill(): Promise<void> {
    const {store} = this.options;
    const {id, standIn, way} = this;
    standIn.stop();
    await way.stop();
    setTimeout(() => removeEndpoint(store, id), ENTRY_LAPSES_AFTER_MS);
    await this.start();
  }

  /** The next life begins, this one says that it leaves and goes later. */
  async replace(): Promise<void> {
    const {store, history, nowMs} = this.options;
    const {id, standIn} = this;
    const leaving = this.describe(true);
    await this.start();
    writeEndpoint(store, leaving);
    history.leavingNotices.set(id, nowMs());
    const goneAfterMs = history.bounds.drainMs + LINGER_MS;
    setTimeout(() => removeEndpoint(store, id), goneAfterMs);
    setTimeout(() => standIn.stop(), goneAfterMs + LAST_RUN_MS);
  }

  /** Closes all lives and hands over what they saw. */
  close(): void {
    for (const close of this.closing) close();
  }

  private describe(isLeaving: boolean): ServingEndpoint {
    const {service, dataCentre, capacity} = this.options;
    return {
      id: this.id,
      service,
      address: brandAs<EndpointAddress>(this.way.address),
      dataCentre,
      capacity,
      isLeaving,
      isCheap: false,
      bornEpochMs: Date.now(),
    };
  }
}
