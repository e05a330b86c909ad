/**
 * Keeps the endpoints that may get requests, from changes of their list and
 * from announcements in their answers.
 */

import type {
  DataCentreId,
  EndpointId,
  ServiceId,
} from '@snipestage/types/ids.js';
import {EndpointAnnouncements} from './endpoint_announcements.js';
import {
  EndpointIncarnations,
  isOtherIncarnation,
} from './endpoint_incarnations.js';
import {GoneEndpoints} from './gone_endpoints.js';
import {RemovedEndpoints} from './removed_endpoints.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** A row of the list that changed. */
export type EndpointChange =
  | {readonly kind: 'listed'; readonly endpoint: ServingEndpoint}
  /** Its row is gone. */
  | {readonly kind: 'removed'; readonly id: EndpointId}
  /** Its row can't be parsed; the endpoint is removed. */
  | {readonly kind: 'unreadable'; readonly id: EndpointId};

/** Options of {@link EndpointDirectory}; defaults in brackets. */
export interface EndpointDirectoryOptions {
  /**
   * How long after the store's last failure a missing row counts as expired
   * rather than removed (2,300 ms). The store expires rows that could not be
   * renewed; endpoints write theirs again within two seconds of its return.
   * Counted from the failure and not from when the row was found missing: to an
   * instance that was cut off, endpoints that have left look the same, and they
   * must not get requests for long once it is back.
   */
  readonly keepMissingMs?: number;
}

const DEFAULT_KEEP_MISSING_MS = 2300;
/** Failed polls of the list are at most this far apart while it is cut off. */
const MAX_DISTURBANCE_GAP_MS = 5000;

/**
 * Keeps endpoints by service.
 *
 * While the store works, a missing row means that its endpoint has left, and it
 * gets no more requests. After an outage of the store all rows may have expired
 * while the endpoints are alive; without a delay, an instance would refuse
 * everything for two seconds after each outage.
 */
export class EndpointDirectory {
  private readonly endpoints = new Map<EndpointId, ServingEndpoint>();
  private readonly missing = new Set<EndpointId>();
  private readonly removed = new RemovedEndpoints();
  private readonly announcements = new EndpointAnnouncements();
  private readonly gone = new GoneEndpoints();
  private readonly incarnations = new EndpointIncarnations();
  private readonly restarted = new Set<EndpointId>();
  private evacuated: ReadonlySet<DataCentreId> = new Set();
  private byService = new Map<ServiceId, ServingEndpoint[]>();
  private disturbedAtMs = Number.NEGATIVE_INFINITY;
  /** When the first failure of the latest disturbance was noted. */
  private disturbanceBeganAtMs = Number.NEGATIVE_INFINITY;
  private readonly keepMissingMs: number;

  constructor(options: EndpointDirectoryOptions = {}) {
    this.keepMissingMs = options.keepMissingMs ?? DEFAULT_KEEP_MISSING_MS;
  }

  /** When the list was last updated. */
  changedAtMs = Number.NEGATIVE_INFINITY;

  /** The store of the list did not answer, or answered with an error. */
  noteDisturbance(nowMs: number): void {
    if (!this.wasDisturbed(nowMs)) this.disturbanceBeganAtMs = nowMs;
    this.disturbedAtMs = nowMs;
  }

  /** Since when the list is or was lately disturbed; undefined if it wasn't. */
  disturbedSinceMs(nowMs: number): number | undefined {
    return this.wasDisturbed(nowMs) ? this.disturbanceBeganAtMs : undefined;
  }

  /**
   * Applies changes in order.
   *
   * @example
   * directory.apply([{kind: 'listed', endpoint}], nowMs);
   */
  apply(changes: readonly EndpointChange[], nowMs: number): void {
    for (const change of changes) this.applyOne(change, nowMs);
    this.noteChange(nowMs);
  }

  /**
   * Replaces the whole list; endpoints that are not in it count as missing.
   *
   * @example
   * directory.replace(endpoints, nowMs);
   */
  replace(endpoints: readonly ServingEndpoint[], nowMs: number): void {
    const listed = new Set(endpoints.map(({id}) => id));
    for (const id of this.endpoints.keys()) {
      if (!listed.has(id)) this.handleMissing(id, nowMs);
    }
    for (const endpoint of endpoints) this.list(endpoint);
    this.noteChange(nowMs);
  }

  /**
   * Whether an endpoint has not been listed with another incarnation since.
   *
   * @example
   * if (!directory.isCurrentIncarnation(placed.endpoint)) return;
   */
  isCurrentIncarnation(endpoint: ServingEndpoint): boolean {
    const listed = this.endpoints.get(endpoint.id);
    return listed === undefined || !isOtherIncarnation(listed, endpoint);
  }

  /**
   * Records that an endpoint announced its leaving in an answer. It gets no new
   * requests from then on, whatever the list says of this incarnation.
   *
   * @param endpoint as it was listed when the answered request was sent.
   * @returns whether this is new.
   * @example
   * if (head.isLeaving) directory.noteLeaving(placed.endpoint);
   */
  noteLeaving(endpoint: ServingEndpoint): boolean {
    if (!this.isCurrentIncarnation(endpoint)) return false;
    const {id} = endpoint;
    const listed = this.endpoints.get(id);
    const isNew = this.announcements.noteLeaving(endpoint);
    if (listed === undefined || listed.isLeaving) return isNew;
    this.endpoints.set(id, {...listed, isLeaving: true});
    this.index();
    return true;
  }

  /**
   * Records that an endpoint requested backoff in an answer. It gets no requests
   * of this instance until the backoff is over or it restarts.
   *
   * @param endpoint as it was listed when the answered request was sent.
   * @example
   * directory.noteBackoff(placed.endpoint, head.backoffMs, nowMs);
   */
  noteBackoff(
    endpoint: ServingEndpoint,
    backoffMs: number,
    nowMs: number,
  ): void {
    if (!this.isCurrentIncarnation(endpoint)) return;
    this.announcements.noteBackoff(endpoint, backoffMs, nowMs);
  }

  /** Time until an endpoint's backoff is over; 0 when there is none. */
  backoffLeftMs(endpoint: ServingEndpoint, nowMs: number): number {
    return this.announcements.backoffLeftMs(endpoint, nowMs);
  }

  /**
   * Records that another endpoint answers at the address of this one. It gets no
   * requests for a time, unless it is listed with another start or address.
   *
   * @param endpoint as it was listed when the answered request was sent.
   * @returns whether this is new.
   * @example
   * if (head.isMisdirected) directory.noteGone(placed.endpoint, nowMs);
   */
  noteGone(endpoint: ServingEndpoint, nowMs: number): boolean {
    return (
      this.isCurrentIncarnation(endpoint) && this.gone.note(endpoint, nowMs)
    );
  }

  /** Whether another endpoint was found at the address of this one. */
  isGone(endpoint: ServingEndpoint, nowMs: number): boolean {
    return this.gone.isGone(endpoint, nowMs);
  }

  /**
   * Whether a request that was placed on an endpoint may still be sent: it
   * hasn't been found gone, nor announced that it is leaving or in backoff.
   *
   * @example
   * const mayStillSend = () => directory.mayStillSend(endpoint, nowMs());
   */
  mayStillSend(endpoint: ServingEndpoint, nowMs: number): boolean {
    const {announcements, gone} = this;
    return (
      !gone.isGone(endpoint, nowMs) &&
      !announcements.isLeaving(endpoint) &&
      announcements.backoffLeftMs(endpoint, nowMs) === 0
    );
  }

  /**
   * Sets the data centres that an operator has evacuated. Their endpoints get
   * no new requests until they are restored.
   *
   * @example
   * directory.setEvacuated(new Set([dataCentre]));
   */
  setEvacuated(dataCentres: ReadonlySet<DataCentreId>): void {
    this.evacuated = dataCentres;
    this.index();
  }

  isEvacuated(dataCentre: DataCentreId): boolean {
    return this.evacuated.has(dataCentre);
  }

  /** Evacuated data centres. */
  listEvacuated(): readonly DataCentreId[] {
    return [...this.evacuated];
  }

  /**
   * Endpoints of a service that may get new requests.
   *
   * @example
   * const candidates = directory.findServing(service, nowMs);
   */
  findServing(service: ServiceId, nowMs: number): readonly ServingEndpoint[] {
    return this.findServingOrBackingOff(service, nowMs).filter(
      each => this.backoffLeftMs(each, nowMs) === 0,
    );
  }

  /** Endpoints that may get new requests now or after their backoff. */
  findServingOrBackingOff(
    service: ServiceId,
    nowMs: number,
  ): readonly ServingEndpoint[] {
    this.removeExpired(nowMs);
    return this.gone.leaveOut(this.byService.get(service) ?? [], nowMs);
  }

  /** Number of endpoints of a service that may get requests. */
  countServing(service: ServiceId): number {
    return this.byService.get(service)?.length ?? 0;
  }

  find(id: EndpointId): ServingEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** As {@link find}; also one that was removed a short while ago. */
  findRecent(id: EndpointId): ServingEndpoint | undefined {
    return this.endpoints.get(id) ?? this.removed.find(id);
  }

  /**
   * Whether an endpoint has restarted, or was removed without having announced
   * its leaving.
   *
   * @param endpoint as it was last listed.
   * @example
   * if (directory.isReplaced(watched)) crashes.noteDown(watched.id);
   */
  isReplaced(endpoint: ServingEndpoint): boolean {
    const listed = this.endpoints.get(endpoint.id);
    if (listed !== undefined) return isOtherIncarnation(listed, endpoint);
    return !endpoint.isLeaving && !this.announcements.isLeaving(endpoint);
  }

  /**
   * Whether an endpoint that started later is listed at the address of another.
   * An entry without a start doesn't show that.
   *
   * @example
   * if (directory.hasNewOwner(endpoint)) return 'endpoint_gone';
   */
  hasNewOwner({address, bornEpochMs}: ServingEndpoint): boolean {
    if (bornEpochMs === undefined) return false;
    const isLater = (each: ServingEndpoint): boolean =>
      each.bornEpochMs !== undefined && each.bornEpochMs > bornEpochMs;
    return this.readAll().some(
      each => each.address === address && isLater(each),
    );
  }

  /**
   * Whether a row describes an endpoint as it was before: one that has been
   * removed since, or an earlier start of it.
   *
   * @example
   * const outdated = listed.filter(each => directory.isOutdated(each));
   */
  isOutdated(endpoint: ServingEndpoint): boolean {
    return this.incarnations.isOutdated(endpoint);
  }

  /** All listed endpoints, including those that are leaving. */
  readAll(): readonly ServingEndpoint[] {
    return [...this.endpoints.values()];
  }

  /** Endpoints that are listed, or were until some minutes ago. */
  listKnownIds(): ReadonlySet<EndpointId> {
    return this.incarnations.ids;
  }

  /** Endpoints listed with another incarnation since the last call. */
  takeRestarted(): readonly EndpointId[] {
    const restarted = [...this.restarted];
    this.restarted.clear();
    return restarted;
  }

  private noteChange(nowMs: number): void {
    const restarted = this.incarnations.update(this.readAll(), nowMs);
    for (const id of restarted) this.restarted.add(id);
    this.announcements.retain(this.incarnations.ids);
    this.gone.retain(this.incarnations.ids);
    this.index();
    this.changedAtMs = nowMs;
  }

  private applyOne(change: EndpointChange, nowMs: number): void {
    switch (change.kind) {
      case 'listed':
        this.list(change.endpoint);
        return;
      case 'removed':
        this.handleMissing(change.id, nowMs);
        return;
      case 'unreadable':
        this.remove(change.id, nowMs);
        return;
    }
  }

  private list(endpoint: ServingEndpoint): void {
    const {id} = endpoint;
    this.missing.delete(id);
    // Holds for this incarnation, even if an older list is read afterwards.
    if (endpoint.isLeaving) this.announcements.noteLeaving(endpoint);
    const isLeaving =
      endpoint.isLeaving || this.announcements.isLeaving(endpoint);
    this.endpoints.set(id, {...endpoint, isLeaving});
  }

  private handleMissing(id: EndpointId, nowMs: number): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) return;
    if (this.mayHaveExpired(nowMs) && !endpoint.isLeaving) this.missing.add(id);
    else this.remove(id, nowMs);
  }

  private wasDisturbed(nowMs: number): boolean {
    return nowMs - this.disturbedAtMs < MAX_DISTURBANCE_GAP_MS;
  }

  private mayHaveExpired(nowMs: number): boolean {
    return nowMs - this.disturbedAtMs < this.keepMissingMs;
  }

  private removeExpired(nowMs: number): void {
    if (this.missing.size === 0 || this.mayHaveExpired(nowMs)) return;
    for (const id of this.missing) this.remove(id, nowMs);
    this.index();
  }

  private remove(id: EndpointId, nowMs: number): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint !== undefined) this.removed.add(endpoint, nowMs);
    this.missing.delete(id);
    this.endpoints.delete(id);
  }

  private index(): void {
    this.byService = new Map();
    for (const endpoint of this.endpoints.values()) {
      const isExcluded =
        endpoint.isLeaving || this.evacuated.has(endpoint.dataCentre);
      if (isExcluded) continue;
      const others = this.byService.get(endpoint.service);
      if (others === undefined) {
        this.byService.set(endpoint.service, [endpoint]);
      } else {
        others.push(endpoint);
      }
    }
  }
}
