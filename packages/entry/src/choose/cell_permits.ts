/** Acquires permits from cell owners, in the own data centre first. */

import {RequestError} from '@snipestage/errors/request_error.js';
import {chooseCell} from '@snipestage/policy/cell_choice.js';
import {rankByRendezvous} from '@snipestage/policy/rendezvous.js';
import type {Cell} from '@snipestage/policy/cells.js';
import type {RequestClass} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type AttemptId,
  type CellId,
  type DataCentreId,
  type EndpointId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import type {
  CellPermitRequest,
  PermitRefusal,
} from '@snipestage/types/permits.js';
import type {MonotonicClock} from '../clock.js';
import type {ConfigurationStore} from '../configure/configuration_store.js';
import type {EndpointDirectory} from '../endpoints/endpoint_directory.js';
import {CellClients} from './cell_clients.js';
import {CellMap} from './cell_map.js';
import {CellOwners} from './cell_owners.js';
import type {ClusterView} from './cluster_view.js';
import {PermitSearch, type CandidateCell} from './permit_search.js';
import type {PermitRecord, PermitRouter} from './permit_router.js';
import {
  Permits,
  type AttemptReport,
  type Permit,
  type PermitRequest,
} from './permits.js';

/** Options of {@link CellPermits}. */
export interface CellPermitsOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly store: ConfigurationStore;
  readonly directory: EndpointDirectory;
  readonly view: ClusterView;
  readonly router: PermitRouter;
  readonly owners: CellOwners;
  readonly clients: CellClients;
  readonly clock: MonotonicClock;
  readonly tickMs: number;
  readonly endpointsPerCell?: number;
}

const NO_ENDPOINT_RETRY_AFTER_MS = 2000;
const IDLE_AFTER_MS = 1000;
const IDLE_TICK_FACTOR = 5;

/** Keeps the map of cells up to date and acquires permits for requests. */
export class CellPermits extends Permits {
  private map: CellMap;
  private timer: NodeJS.Timeout | undefined;
  private activeAtMs = Number.NEGATIVE_INFINITY;
  private isIdle = true;
  private isStopped = false;

  constructor(private readonly options: CellPermitsOptions) {
    super();
    const {directory, view, router} = options;
    this.map = this.createMap();
    router.connect((from, record) => this.receive(from, record));
    // The directory changes with each new configuration too.
    directory.onChange(() => this.reconfigure());
    view.onChange(() => this.reconfigure());
  }

  start(): void {
    this.schedule();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /**
   * Schedules the next tick. Waking up twenty times a second accounts for most
   * of the CPU time of an idle instance, so ticks are less frequent while it is
   * idle.
   */
  private schedule(): void {
    clearTimeout(this.timer);
    if (this.isStopped) return;
    const {clock, tickMs} = this.options;
    this.isIdle = clock() - this.activeAtMs > IDLE_AFTER_MS;
    const delayMs = this.isIdle ? tickMs * IDLE_TICK_FACTOR : tickMs;
    this.timer = setTimeout(() => this.tick(), delayMs);
  }

  private tick(): void {
    this.options.owners.tick();
    this.options.clients.tick();
    this.schedule();
  }

  private markActive(): void {
    this.activeAtMs = this.options.clock();
    if (this.isIdle) this.schedule();
  }

  /** Handles a record from a peer or from this instance. */
  receive(from: InstanceId, record: PermitRecord): void {
    this.markActive();
    const {owners, clients} = this.options;
    if (record.kind === 'to_owner') {
      owners.receive(record.cell, record.input, from);
    } else {
      clients.receive(record.cell, record.output, from);
    }
  }

  get cells(): CellMap {
    return this.map;
  }

  async acquire(request: PermitRequest, signal: AbortSignal): Promise<Permit> {
    this.markActive();
    const groups = this.map.serving(request.target);
    if (groups.length === 0) throw noEndpoint();
    const search = new PermitSearch({
      clients: this.options.clients,
      clock: this.options.clock,
      cells: groups.map((cells, rank) =>
        this.chooseCandidate(cells, request, rank),
      ),
      spillAfterMs: request.requestClass.firstTokenTargetMs,
    });
    const result = await search.run(signal);
    if (result.kind === 'refused') throw refusalError(result.refusal);
    return this.createPermit(request, result.found);
  }

  snapshot(): object {
    return {
      owned: this.options.owners.snapshot(),
      clients: this.options.clients.snapshot(),
    };
  }

  private chooseCandidate(
    cells: readonly Cell[],
    request: PermitRequest,
    rank: number,
  ): CandidateCell {
    const cell = rank === 0 ? this.chooseLocalCell(cells, request) : undefined;
    const key = request.prefixHash ?? request.attempt;
    const ids = cells.map(({id}) => id);
    const chosen = cell ?? rankByRendezvous(key, ids)[0];
    // Results are matched by attempt id, so each data centre gets its own.
    const attempt = brandAs<AttemptId>(
      rank === 0 ? request.attempt : `${request.attempt}@${rank}`,
    );
    return {cell: chosen, ask: this.composeAsk(request, attempt, chosen)};
  }

  /** Chooses by expected wait among the cells that include this instance. */
  private chooseLocalCell(
    cells: readonly Cell[],
    request: PermitRequest,
  ): CellId | undefined {
    const {self, clients} = this.options;
    const own = cells.filter(({instances}) => instances.includes(self));
    return chooseCell({
      loads: own.map(({id}) => clients.load(id)),
      prefixHash: request.prefixHash,
      random: Math.random,
    });
  }

  private composeAsk(
    request: PermitRequest,
    attempt: AttemptId,
    cell: CellId,
  ): CellPermitRequest {
    const {requestClass} = request;
    return {
      attempt,
      cell,
      instance: this.options.self,
      clientAccount: request.clientAccount.id,
      requestClass: requestClass.id,
      tier: requestClass.tier,
      expectedTokens: request.expectedTokens,
      remainingMs: request.remainingMs,
      prefixHash: request.prefixHash,
      fingerprint: request.fingerprint,
      suspect: request.suspect ?? false,
      cheapAllowed: request.repeatable && requestClass.cheapEndpointsAllowed,
      excluded: request.excluded,
    };
  }

  private createPermit(
    request: PermitRequest,
    {cell, ask, endpointId}: CandidateCell & {readonly endpointId: EndpointId},
  ): Permit {
    const {clients, directory} = this.options;
    const {attempt} = ask;
    const release = (report: AttemptReport) =>
      clients.release({
        attempt,
        cell,
        endpoint: endpointId,
        outcome: report.outcome,
        promptTokens: report.promptTokens ?? 0,
        outputTokens: report.outputTokens ?? 0,
        firstTokenMs: report.firstTokenMs,
        betweenTokensMs: report.betweenTokensMs,
      });
    const endpoint = directory.endpoints.get(endpointId);
    if (endpoint === undefined) {
      // The endpoint was removed after the grant, for example by a ticket.
      release({outcome: 'cancelled'});
      throw noEndpoint();
    }
    return {
      endpoint,
      release,
      progress: tokens => {
        this.markActive();
        clients.progress(cell, attempt, tokens);
      },
    };
  }

  private reconfigure(): void {
    const {store, view, owners, clients} = this.options;
    this.map = this.createMap();
    const classes: RequestClass[] = [...store.current.requestClasses.values()];
    const present = new Set(view.present().map(member => member.id));
    owners.configure(this.map, classes, present);
    clients.configure(this.map, classes);
  }

  private createMap(): CellMap {
    const {store, directory, view, dataCentre, endpointsPerCell} = this.options;
    return new CellMap({
      configuration: store.current,
      members: view.live(),
      dataCentre,
      endpointsPerCell,
      endpoints: directory.endpoints,
    });
  }
}

function noEndpoint(): RequestError {
  return new RequestError('No endpoint serves this now.', {
    code: 'no_endpoint',
    verdict: 'not_run',
    retryAfterMs: NO_ENDPOINT_RETRY_AFTER_MS,
  });
}

const MESSAGES: Readonly<Record<PermitRefusal['reason'], string>> = {
  overloaded: 'There is more work than the endpoints can take.',
  deadline_unreachable: 'The request can not start before its deadline.',
  no_endpoint: 'No endpoint can take the request now.',
};

function refusalError(refusal: PermitRefusal): RequestError {
  return new RequestError(MESSAGES[refusal.reason], {
    code: refusal.reason,
    verdict: 'not_run',
    retryAfterMs: refusal.retryAfterMs,
  });
}
