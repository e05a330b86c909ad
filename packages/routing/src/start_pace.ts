/** Gives endpoints that have just started or recovered a growing share. */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import {AnswerTimes} from './answer_times.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import type {EndpointRateLimits} from './endpoint_rate_limits.js';
import {
  LoadCorrection,
  type AttemptEnd,
  type ObservedAttempt,
} from './load_correction.js';
import type {LoadReading} from './load_view.js';
import type {PlacementRequest} from './placement.js';
import {deepestSharedPart, hasLongPrefix} from './prompt.js';
import {countReadTokens, RampingEndpoint} from './ramping_endpoint.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {SettledPeers} from './settled_peers.js';
import {SignsOfLife} from './signs_of_life.js';
import {FIRST_SHARE, StartRamp, type RampCause} from './start_ramp.js';
import type {WarmupGate} from './warmup_gate.js';

/** A change of an endpoint's share, for logs and metrics. */
export interface PaceChange {
  readonly kind: 'begun' | 'halved' | 'ended';
  readonly endpoint: ServingEndpoint;
  readonly cause: RampCause;
  readonly share: number;
  /** Time since the ramp began. */
  readonly afterMs: number;
}

/** Options of {@link StartPace}; defaults in brackets. */
export interface StartPaceOptions {
  readonly monitor: EndpointMonitor;
  /** Whether the load controls of a service are on. */
  readonly isOn: (service: ServiceId) => boolean;
  /** Endpoints of a service that may get requests. */
  readonly findServing: (
    service: ServiceId,
    nowMs: number,
  ) => readonly ServingEndpoint[];
  /** Goes first: a cold endpoint has no share of its own (none is cold). */
  readonly warmup?: WarmupGate;
  /** Go first: as with {@link warmup} (none is limited). */
  readonly rateLimits?: EndpointRateLimits;
  /** Receives each change (none). */
  readonly onChange?: (change: PaceChange) => void;
}

/** What is known of a list of endpoints besides the endpoints. */
export interface ListedContext {
  /** Endpoints listed with another incarnation than before. */
  readonly restarted: readonly EndpointId[];
  /** Since when the list could not be read; undefined if it could be. */
  readonly disturbedSinceMs: number | undefined;
}

/**
 * Load pattern: an engine starts with an empty cache, and dozens of instances
 * see it idle at the same moment. Their fill gives it most requests until newer
 * loads are known, and each long prompt costs it several times the tokens.
 *
 * Such an endpoint begins with a small share; see {@link StartRamp}. Of the
 * prompts for which it is the primary engine it gets the same share, chosen by a
 * hash, so that all instances send it the same prefixes and its cache fills with
 * those first. All instances reach about the same share without a message of its
 * own: from the list of endpoints and the loads that all of them know.
 */
export class StartPace extends LoadCorrection {
  private readonly known = new Map<EndpointId, ServiceId>();
  private readonly ramping = new Map<EndpointId, RampingEndpoint>();
  private readonly times = new AnswerTimes();
  private readonly signs = new SignsOfLife();
  private readonly peers: SettledPeers;

  constructor(private readonly options: StartPaceOptions) {
    super();
    this.peers = new SettledPeers({
      ...options,
      isRamping: id => this.ramping.has(id),
    });
  }

  /**
   * Takes the list of endpoints. Those of a service that wasn't known before are
   * not new. After a disturbance, when endpoints have started isn't known; they
   * count as started when it began, so that none is new after a long one.
   *
   * @example
   * pace.noteListed(directory.readAll(), {restarted, disturbedSinceMs}, nowMs);
   */
  noteListed(
    listed: readonly ServingEndpoint[],
    {restarted, disturbedSinceMs}: ListedContext,
    nowMs: number,
  ): void {
    const services = new Set(this.known.values());
    const sinceMs = disturbedSinceMs ?? nowMs;
    for (const endpoint of listed) {
      const {id, service} = endpoint;
      const isNew = !this.known.has(id) && services.has(service);
      this.known.set(id, service);
      const isRestarted = restarted.includes(id);
      if (!isNew && !isRestarted) continue;
      const cause = isRestarted ? 'restarted' : 'new';
      this.begin(endpoint, new StartRamp(cause, sinceMs), nowMs);
    }
  }

  /** Another instance has read a load from an answer of an endpoint. */
  noteReported({endpoint: id, load, atMs}: LoadReading, nowMs: number): void {
    const service = this.known.get(id);
    if (service === undefined || !this.options.isOn(service)) return;
    const endpoint = this.options
      .findServing(service, nowMs)
      .find(each => each.id === id);
    if (endpoint !== undefined) this.noteSign(endpoint, atMs, nowMs);
    // Judged as it arrives: between two requests of an instance may be a second,
    // and the instances would change the share apart from each other.
    this.ramping.get(id)?.judge(nowMs);
    // A silent endpoint is reported as one with waiting requests.
    if (load.waiting === 0) this.options.monitor.endPause(id, atMs);
  }

  /** Forgets failures that this instance's own links have caused. */
  forgetFailures(): void {
    this.signs.forgetFailures();
  }

  /**
   * Share of an endpoint while it has a small one.
   *
   * @example
   * const startShare = pace.find(endpoint, nowMs);
   */
  find(endpoint: ServingEndpoint, nowMs: number): number | undefined {
    const ramping = this.ramping.get(endpoint.id);
    if (ramping === undefined) return undefined;
    ramping.judge(nowMs);
    const share = ramping.ramp.shareAt(nowMs);
    if (share < 1) return share;
    this.ramping.delete(endpoint.id);
    this.report('ended', endpoint, ramping.ramp, nowMs);
    return undefined;
  }

  slownessOf(): number {
    return 1;
  }

  extraLoadOf(): number {
    return 0;
  }

  loadPerRequest(): number {
    return 1;
  }

  /**
   * An endpoint that is missing counts as one that has just recovered: the first
   * requests are sent before any instance knows that it answers again.
   */
  shareOf(endpoint: ServingEndpoint, nowMs: number): number {
    const {warmup, rateLimits, findServing} = this.options;
    const {id, service} = endpoint;
    const isMissing = (): boolean =>
      this.signs.isMissing(id, () => findServing(service, nowMs), nowMs);
    const share = this.find(endpoint, nowMs) ?? (isMissing() ? FIRST_SHARE : 1);
    if (share >= 1 || warmup?.isCold(id, nowMs)) return 1;
    if (rateLimits?.find(id) !== undefined) return 1;
    return Math.min(1, Math.max(share, this.peers.leastShare(endpoint, nowMs)));
  }

  /** Whether the prompt's prefix is among those that it gets already. */
  hasRoomFor(endpoint: ServingEndpoint, request: PlacementRequest): boolean {
    const {prompt, nowMs} = request;
    if (prompt === undefined || !hasLongPrefix(prompt)) return true;
    const share = this.shareOf(endpoint, nowMs);
    if (share >= 1) return true;
    const prefix = deepestSharedPart(prompt)?.id;
    const place = hashText(`${endpoint.id}\n${prefix}\nstart`) / 2 ** 32;
    return place < share || this.peers.doAllWait(endpoint, nowMs);
  }

  noteSent(attempt: ObservedAttempt): void {
    this.ramping.get(attempt.endpoint.id)?.noteSent(attempt);
  }

  noteFirstEvent(attempt: ObservedAttempt, nowMs: number): void {
    const {endpoint} = attempt;
    const {id, service} = endpoint;
    this.noteSign(endpoint, nowMs, nowMs);
    const ramping = this.ramping.get(id);
    if (ramping !== undefined) ramping.noteFirstEvent(attempt, nowMs);
    else {
      const waitMs = nowMs - attempt.sentAtMs;
      this.times.noteFirstEvent(service, waitMs, countReadTokens(attempt));
    }
  }

  noteEnded(attempt: ObservedAttempt, end: AttemptEnd, nowMs: number): void {
    const {endpoint, route} = attempt;
    const {outcome, pausesMs} = end;
    // Only streams have a first event.
    if (end.isAnswered && route.kind !== 'stream')
      this.noteFirstEvent(attempt, nowMs);
    const ramping = this.ramping.get(endpoint.id);
    ramping?.noteEnded(attempt);
    if (outcome !== undefined && outcome !== 'answered') {
      if (outcome !== 'rejected') this.signs.noteFailure(endpoint.id);
      ramping?.noteFailure(attempt, nowMs);
    } else if (ramping !== undefined) {
      ramping.notePauses(attempt, pausesMs, nowMs);
    } else {
      this.times.notePauses(endpoint.service, pausesMs);
    }
  }

  retain(ids: ReadonlySet<EndpointId>): void {
    this.signs.retain(ids);
    for (const id of this.known.keys()) {
      if (ids.has(id)) continue;
      this.known.delete(id);
      this.ramping.delete(id);
    }
  }

  forget(id: EndpointId): void {
    this.signs.forget(id);
    this.ramping.delete(id);
  }

  private begin(
    endpoint: ServingEndpoint,
    ramp: StartRamp,
    nowMs: number,
  ): void {
    const {id, service} = endpoint;
    if (!this.options.isOn(service) || endpoint.isLeaving) return;
    if (this.ramping.has(id) || ramp.shareAt(nowMs) >= 1) return;
    const {times, peers} = this;
    const {monitor} = this.options;
    const onHalved = (atMs: number) =>
      this.report('halved', endpoint, ramp, atMs);
    const options = {ramp, times, peers, monitor, onHalved};
    const ramping = new RampingEndpoint(endpoint, options);
    this.ramping.set(id, ramping);
    this.report('begun', endpoint, ramp, nowMs);
  }

  private noteSign(
    endpoint: ServingEndpoint,
    atMs: number,
    nowMs: number,
  ): void {
    const peers = () => this.options.findServing(endpoint.service, nowMs);
    if (!this.signs.note(endpoint.id, peers, atMs)) return;
    this.begin(endpoint, new StartRamp('recovered', atMs), nowMs);
  }

  private report(
    kind: PaceChange['kind'],
    endpoint: ServingEndpoint,
    ramp: StartRamp,
    nowMs: number,
  ): void {
    const share = ramp.shareAt(nowMs);
    const afterMs = Math.max(0, nowMs - ramp.sinceMs);
    const {cause} = ramp;
    this.options.onChange?.({kind, endpoint, cause, share, afterMs});
  }
}
