/** One place for an endpoint, filled by one generation after another. */

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
  type SoftwareVersion,
} from '@snipestage/types/ids.js';
import type {History} from '../history.js';

/** Options of {@link Endpoint}. */
export interface EndpointOptions {
  readonly place: string;
  /** Address on which its generations and the links to them listen. */
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

/** A leaving endpoint stays listed for the drain bound and this much longer. */
const DRAIN_MARGIN_MS = 600;
/**
 * Time to finish streams after the entry is removed. The longest last 5 s; when
 * cut off, they would count as lost by the instance that relays them.
 */
const FINISH_STREAMS_MS = 6000;
/**
 * The entry of a killed endpoint expires after its writer was silent so long.
 */
const ENTRY_EXPIRY_MS = 1500;

/** An endpoint that ends closes its connections before their links go down. */
const CLOSE_MS = 50;
/** Time within which a crashed endpoint is back; a process takes a while. */
const MIN_RESTART_MS = 1000;
const MAX_RESTART_MS = 2500;
const CRASH = 'endpoint_crash';

/** Owns the stand-ins of its generations and the links to them. */
export class Endpoint {
  private generation = 0;
  private softwareVersion = 'v1';
  private bornEpochMs = 0;
  private standIn!: EndpointStandIn;
  private way!: Link;
  /** Rows of its generations in the store, and ids of those that were removed. */
  private readonly listed = new Map<EndpointId, ServingEndpoint>();
  private readonly unlisted = new Set<EndpointId>();
  /** Crashed, and not started again yet. */
  private isDown = false;
  private maxRejectionsPerS: number | undefined;
  private fallsFromMs = Number.NEGATIVE_INFINITY;
  private readonly closeCallbacks: Array<() => void> = [];

  constructor(private readonly options: EndpointOptions) {}

  get id(): EndpointId {
    return brandAs<EndpointId>(`${this.options.place}.${this.generation}`);
  }

  /** Neighbours and successive generations differ. */
  private get isUnframed(): boolean {
    const number = Number(/\d+$/.exec(this.options.place)?.[0] ?? 0);
    return (number + this.generation) % 2 === 0;
  }

  get link(): Link {
    return this.way;
  }

  /** Starts a new generation, with a new id, at a new port unless given. */
  async start(port?: number): Promise<void> {
    this.generation += 1;
    this.bornEpochMs = Date.now();
    const {id} = this;
    const {service, capacity, isEngine, random, host, nowMs} = this.options;
    const standIn: EndpointStandIn = new EndpointStandIn({
      id,
      service,
      capacity,
      bornEpochMs: this.bornEpochMs,
      isEngine,
      isUnframed: this.isUnframed,
      softwareVersion: this.softwareVersion,
      random,
      onCrash: () => void this.crash(id, standIn, way),
      onFall: () => {
        this.options.history.falls.push({endpoint: id, atMs: nowMs()});
        void this.crash(id, standIn, way);
      },
    });
    this.standIn = standIn;
    standIn.maxRejectionsPerS = this.maxRejectionsPerS;
    standIn.fallsFromMs = this.fallsFromMs;
    const targetPort = await standIn.start(host);
    const way = await this.openWay(targetPort, port);
    this.way = way;
    this.closeCallbacks.push(() => {
      standIn.stop();
      void way.stop();
      this.options.history.addRuns(standIn.runs);
    });
    const {history, dataCentre} = this.options;
    history.endpointDataCentres.set(id, dataCentre);
    if (isEngine) {
      history.engineVersions.set(id, {
        version: this.softwareVersion,
        fromMs: nowMs(),
        toMs: Number.POSITIVE_INFINITY,
      });
    }
    this.list(this.describe(false));
  }

  setFault(fault: EndpointFault): void {
    this.standIn.fault = fault;
  }

  /**
   * Announces a rate limit in the answers of the current generation.
   *
   * @returns a function that lifts the limit.
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

  /**
   * Lets the current generation refuse all requests and request backoff.
   *
   * @returns a function that ends the backoff.
   */
  backOff(durationMs: number): () => void {
    const {standIn} = this;
    standIn.backoffUntilMs = this.options.nowMs() + durationMs;
    return () => (standIn.backoffUntilMs = Number.NEGATIVE_INFINITY);
  }

  /**
   * Makes all generations brittle; they say so for the contact bound before they
   * may fall over. Undefined ends it.
   */
  setBrittle(maxRejectionsPerS: number | undefined): void {
    const {history, nowMs} = this.options;
    this.maxRejectionsPerS = maxRejectionsPerS;
    this.fallsFromMs = nowMs() + history.bounds.contactMs;
    this.standIn.maxRejectionsPerS = maxRejectionsPerS;
    this.standIn.fallsFromMs = this.fallsFromMs;
  }

  get service(): ServiceId {
    return this.options.service;
  }

  /**
   * Ends a generation as a request that crashes it does. The current one is
   * back at its address some time later, under another id.
   */
  private async crash(
    id: EndpointId,
    standIn: EndpointStandIn,
    way: Link,
  ): Promise<void> {
    const {history, nowMs, random} = this.options;
    this.endService(id);
    const disturbance = history.recordDisturbance(id, CRASH, nowMs());
    const isCurrent = standIn === this.standIn && !this.isDown;
    if (isCurrent) this.isDown = true;
    await endProcess(standIn, way);
    setTimeout(() => this.unlist(id), ENTRY_EXPIRY_MS);
    if (isCurrent) {
      const range = MAX_RESTART_MS - MIN_RESTART_MS;
      await pause(MIN_RESTART_MS + random() * range);
      await this.start(way.port);
      this.isDown = false;
    }
    disturbance.toMs = nowMs();
  }

  /**
   * Stops without notice, starts the next generation; the entry expires later.
   */
  async kill(): Promise<void> {
    if (this.isDown) return;
    const {id, standIn, way} = this;
    this.endService(id);
    await endProcess(standIn, way);
    setTimeout(() => this.unlist(id), ENTRY_EXPIRY_MS);
    await this.start();
  }

  /**
   * Starts the next generation; this one announces its leaving in its answers
   * from now on, in its entry after `listAfterMs`, and stops later.
   */
  async replace(
    listAfterMs = 0,
    softwareVersion = this.softwareVersion,
  ): Promise<void> {
    if (this.isDown) return;
    const {history, nowMs} = this.options;
    const {id, standIn, way} = this;
    const leaving = this.describe(true);
    this.endService(id);
    this.softwareVersion = softwareVersion;
    standIn.isLeaving = true;
    await this.start();
    setTimeout(() => {
      this.list(leaving);
      history.leavingNotices.set(id, nowMs());
    }, listAfterMs);
    const goneAfterMs = listAfterMs + history.bounds.drainMs + DRAIN_MARGIN_MS;
    setTimeout(() => this.unlist(id), goneAfterMs);
    setTimeout(
      () => void endProcess(standIn, way),
      goneAfterMs + FINISH_STREAMS_MS,
    );
  }

  /** Another process may have got the port meanwhile; then it is a new one. */
  private async openWay(targetPort: number, port?: number): Promise<Link> {
    const {host} = this.options;
    const way = new Link({host, port, targetHost: host, targetPort});
    try {
      await way.start();
      return way;
    } catch (error) {
      const isTaken = (error as NodeJS.ErrnoException).code === 'EADDRINUSE';
      if (!isTaken || port === undefined) throw error;
      return this.openWay(targetPort);
    }
  }

  /** Writes the rows of its generations again, as the store may have lost them. */
  rewrite(): void {
    const {store} = this.options;
    for (const row of this.listed.values()) writeEndpoint(store, row);
    setTimeout(() => {
      for (const id of this.unlisted) removeEndpoint(store, id);
    }, ENTRY_EXPIRY_MS);
  }

  private endService(id: EndpointId): void {
    const served = this.options.history.engineVersions.get(id);
    if (served !== undefined) served.toMs = this.options.nowMs();
  }

  private list(row: ServingEndpoint): void {
    this.listed.set(row.id, row);
    writeEndpoint(this.options.store, row);
  }

  private unlist(id: EndpointId): void {
    this.listed.delete(id);
    this.unlisted.add(id);
    removeEndpoint(this.options.store, id);
  }

  /** Closes all generations and adds what they saw to the history. */
  close(): void {
    for (const close of this.closeCallbacks) close();
  }

  private describe(isLeaving: boolean): ServingEndpoint {
    const {service, dataCentre, capacity} = this.options;
    return {
      id: this.id,
      service,
      address: brandAs<EndpointAddress>(this.way.address),
      dataCentre,
      softwareVersion: brandAs<SoftwareVersion>(this.softwareVersion),
      capacity,
      isLeaving,
      isCheap: false,
      bornEpochMs: this.bornEpochMs,
    };
  }
}

/**
 * Ends a process as an operating system does: it refuses new connections and
 * closes the open ones, without a reset.
 */
async function endProcess(standIn: EndpointStandIn, way: Link): Promise<void> {
  await way.setMode('refuse');
  standIn.stop();
  await pause(CLOSE_MS);
  await way.stop();
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
