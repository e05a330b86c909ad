/** Endpoints of a cell, their limits and their eligibility for requests. */

import type {AttemptId, EndpointId} from '@snipestage/types/ids.js';
import type {CellPermitRequest} from '@snipestage/types/permits.js';
import type {CellEndpoint, ReportedLoad} from './cell_messages.js';
import {isEligible, type EndpointView} from './endpoint_choice.js';
import type {LimitPolicy, LimitSnapshot} from './limit_policy.js';
import type {PermitBook} from './permit_book.js';
import type {PolicySet} from './policy_set.js';

/** State of an endpoint, for the state dump. */
export interface EndpointSnapshot extends LimitSnapshot {
  readonly endpoint: EndpointId;
  readonly kind: CellEndpoint['kind'];
  readonly leaving: boolean;
  readonly inFlight: number;
  readonly reserved: number;
  /** The suspect that runs alone on the endpoint or has claimed it. */
  readonly suspect?: AttemptId;
  readonly reportedLoad?: ReportedLoad;
}

interface EndpointState {
  config: CellEndpoint;
  readonly limit: LimitPolicy;
  suspect?: AttemptId;
  reportedLoad?: ReportedLoad;
}

/** Keeps the limit of each endpoint and the suspect that has claimed it. */
export class CellEndpoints {
  /** False until the endpoints are configured for the first time. */
  known = false;
  private readonly states = new Map<EndpointId, EndpointState>();

  constructor(
    private readonly policy: PolicySet,
    private readonly book: PermitBook,
  ) {}

  configure(endpoints: readonly CellEndpoint[]): void {
    this.known = true;
    const present = new Set(endpoints.map(({id}) => id));
    for (const config of endpoints) this.configureOne(config);
    for (const id of this.states.keys()) {
      if (!present.has(id)) this.states.delete(id);
    }
  }

  limitOf(endpoint: EndpointId): LimitPolicy | undefined {
    return this.states.get(endpoint)?.limit;
  }

  reported(load: ReportedLoad): void {
    const state = this.states.get(load.endpoint);
    if (state !== undefined) state.reportedLoad = load;
  }

  /** Current permits of all endpoints that are not leaving. */
  totalPermits(nowMs: number): number {
    let total = 0;
    for (const {config, limit} of this.states.values()) {
      if (!config.leaving) total += limit.permits(nowMs);
    }
    return total;
  }

  /**
   * Permits of each endpoint that may be allotted, those in use included; 0 for
   * endpoints that are leaving or claimed by a suspect.
   */
  allottable(nowMs: number): Map<EndpointId, number> {
    const permits = new Map<EndpointId, number>();
    for (const {config, limit, suspect} of this.states.values()) {
      const open = !config.leaving && suspect === undefined;
      permits.set(config.id, open ? limit.permits(nowMs) : 0);
    }
    return permits;
  }

  /** Whether any endpoint is eligible for the request, whatever its load. */
  canEverRun(ask: CellPermitRequest): boolean {
    return [...this.states.values()].some(({config}) =>
      isEligible(ask, config),
    );
  }

  /**
   * Earliest time at which an eligible endpoint may receive work; `Infinity` if
   * none is eligible.
   */
  usableAtMs(ask: CellPermitRequest, nowMs: number): number {
    let earliest = Infinity;
    for (const {config, limit} of this.states.values()) {
      if (!isEligible(ask, config)) continue;
      earliest = Math.min(earliest, limit.usableAtMs(nowMs));
    }
    return earliest;
  }

  /** Endpoints with a free permit for requests that are not suspects. */
  freeViews(nowMs: number): EndpointView[] {
    const reserved = this.book.reserved();
    const inFlight = this.book.inFlight();
    const views: EndpointView[] = [];
    for (const {config, limit, suspect} of this.states.values()) {
      if (config.leaving || suspect !== undefined) continue;
      const permits = limit.permits(nowMs);
      const free = permits - (reserved.get(config.id) ?? 0);
      if (free <= 0) continue;
      const running = inFlight.get(config.id) ?? 0;
      const {id, kind} = config;
      const probing = limit.isProbing(nowMs);
      views.push({id, kind, limit: permits, inFlight: running, free, probing});
    }
    return views;
  }

  /** The views of endpoints that are eligible for the request. */
  eligible(
    ask: CellPermitRequest,
    views: readonly EndpointView[],
  ): EndpointView[] {
    return views.filter(view => this.isEligibleAt(ask, view.id));
  }

  /**
   * Claims an endpoint for a suspect to run on alone, and returns it once it is
   * empty. Until then the claim keeps other requests off the endpoint: with
   * work always waiting it would never become empty by chance, and the suspect
   * would never run.
   */
  claimForSuspect(
    ask: CellPermitRequest,
    nowMs: number,
  ): EndpointId | undefined {
    const reserved = this.book.reserved();
    const claimed = this.claimOf(ask) ?? this.claimLeastUsed(ask, reserved);
    if (claimed === undefined) return undefined;
    const {id} = claimed.config;
    if ((reserved.get(id) ?? 0) > 0) return undefined;
    return claimed.limit.permits(nowMs) > 0 ? id : undefined;
  }

  /** Records that a suspect runs on an endpoint. */
  occupy(endpoint: EndpointId, suspect: AttemptId): void {
    const state = this.states.get(endpoint);
    if (state !== undefined) state.suspect = suspect;
  }

  /** Releases the endpoint of a suspect that has ended or no longer waits. */
  releaseSuspect(attempt: AttemptId): void {
    for (const state of this.states.values()) {
      if (state.suspect === attempt) state.suspect = undefined;
    }
  }

  /** Lets each limit compare its endpoint with the others. */
  review(nowMs: number): void {
    const inFlight = this.book.inFlight();
    const typicalBetweenTokensMs = this.typicalBetweenTokensMs(nowMs);
    for (const {config, limit} of this.states.values()) {
      const running = inFlight.get(config.id) ?? 0;
      limit.review({inFlight: running, typicalBetweenTokensMs}, nowMs);
    }
  }

  /**
   * Passes the number of running attempts to each limit once a new owner ends
   * its grace period; does nothing if no attempt is running in the cell.
   */
  takeOver(): void {
    const inFlight = this.book.inFlight();
    if (inFlight.size === 0) return;
    for (const {config, limit} of this.states.values()) {
      limit.takeOver(inFlight.get(config.id) ?? 0);
    }
  }

  snapshot(nowMs: number): EndpointSnapshot[] {
    const reserved = this.book.reserved();
    const inFlight = this.book.inFlight();
    return [...this.states.values()].map(state => ({
      ...state.limit.snapshot(nowMs),
      endpoint: state.config.id,
      kind: state.config.kind,
      leaving: state.config.leaving,
      inFlight: inFlight.get(state.config.id) ?? 0,
      reserved: reserved.get(state.config.id) ?? 0,
      suspect: state.suspect,
      reportedLoad: state.reportedLoad,
    }));
  }

  private configureOne(config: CellEndpoint): void {
    const state = this.states.get(config.id);
    const {maxConcurrency} = config;
    if (state === undefined) {
      const limit = this.policy.createLimit({maxConcurrency});
      this.states.set(config.id, {config, limit});
      return;
    }
    state.config = config;
    state.limit.reconfigure(maxConcurrency);
  }

  private isEligibleAt(ask: CellPermitRequest, endpoint: EndpointId): boolean {
    const state = this.states.get(endpoint);
    return state !== undefined && isEligible(ask, state.config);
  }

  private claimOf(ask: CellPermitRequest): EndpointState | undefined {
    for (const state of this.states.values()) {
      if (state.suspect !== ask.attempt) continue;
      if (isEligible(ask, state.config)) return state;
      state.suspect = undefined;
    }
    return undefined;
  }

  /**
   * Allows one claim at a time, so that suspects do not take the whole cell.
   */
  private claimLeastUsed(
    ask: CellPermitRequest,
    reserved: ReadonlyMap<EndpointId, number>,
  ): EndpointState | undefined {
    const states = [...this.states.values()];
    if (states.some(({suspect}) => suspect !== undefined)) return undefined;
    const [least] = states
      .filter(({config}) => isEligible(ask, config))
      .sort((a, b) => used(a, reserved) - used(b, reserved));
    if (least !== undefined) least.suspect = ask.attempt;
    return least;
  }

  /** Lower median, since of two endpoints the slower one is not typical. */
  private typicalBetweenTokensMs(nowMs: number): number | undefined {
    const known = [...this.states.values()]
      .map(({limit}) => limit.snapshot(nowMs).betweenTokensMs)
      .filter(betweenTokensMs => betweenTokensMs !== undefined)
      .sort((a, b) => a - b);
    return known[Math.floor((known.length - 1) / 2)];
  }
}

function used(
  {config}: EndpointState,
  reserved: ReadonlyMap<EndpointId, number>,
): number {
  return reserved.get(config.id) ?? 0;
}
