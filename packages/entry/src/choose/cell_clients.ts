/** This instance's permit clients for the cells that it sends requests to. */

import type {CellOutput} from '@snipestage/policy/cell_messages.js';
import type {CellLoad} from '@snipestage/policy/cell_choice.js';
import type {Cell} from '@snipestage/policy/cells.js';
import {PermitClient} from '@snipestage/policy/permit_client.js';
import type {PolicyName} from '@snipestage/policy/policy_set.js';
import type {RequestClass} from '@snipestage/types/configuration.js';
import type {
  AttemptId,
  CellId,
  EndpointId,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {
  CellPermitRequest,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {MonotonicClock} from '../clock.js';
import type {CellMap} from './cell_map.js';
import type {PermitRouter} from './permit_router.js';

/** Result of a permit request. */
export type PermitResult =
  | {readonly kind: 'start'; readonly endpoint: EndpointId}
  | {readonly kind: 'refused'; readonly refusal: PermitRefusal};

/** Called once with the result, unless the request is withdrawn. */
export type PermitListener = (result: PermitResult) => void;

/** Options of {@link CellClients}. */
export interface CellClientsOptions {
  readonly self: InstanceId;
  readonly router: PermitRouter;
  readonly clock: MonotonicClock;
  readonly policy?: PolicyName;
  readonly maxWaiting?: number;
}

type ClientOutputs = ReturnType<PermitClient['tick']>;

interface ClientCell {
  readonly client: PermitClient;
  readonly instances: Set<InstanceId>;
  readonly progress: Map<AttemptId, number>;
  owner: InstanceId | null;
}

/** Holds one permit client per cell, created on first use. */
export class CellClients {
  private readonly cells = new Map<CellId, ClientCell>();
  private readonly listeners = new Map<AttemptId, PermitListener>();
  private map: CellMap | undefined;
  private classes: readonly RequestClass[] = [];

  constructor(private readonly options: CellClientsOptions) {}

  /** Applies a new map of cells and new request classes. */
  configure(map: CellMap, classes: readonly RequestClass[]): void {
    this.map = map;
    this.classes = classes;
    for (const id of this.cells.keys()) this.configureCell(id);
  }

  ask(ask: CellPermitRequest, listener: PermitListener): void {
    const {client} = this.getOrCreateCell(ask.cell);
    this.listeners.set(ask.attempt, listener);
    this.carryOut(ask.cell, client.request(ask, this.options.clock()));
  }

  /** Returns the load that a new request to the cell would meet. */
  load(cell: CellId): CellLoad {
    return this.getOrCreateCell(cell).client.load(this.options.clock());
  }

  withdraw(cell: CellId, attempt: AttemptId): void {
    this.listeners.delete(attempt);
    const {client} = this.getOrCreateCell(cell);
    this.carryOut(cell, client.withdraw(attempt, this.options.clock()));
  }

  progress(cell: CellId, attempt: AttemptId, outputTokens: number): void {
    this.getOrCreateCell(cell).progress.set(attempt, outputTokens);
  }

  release(release: PermitRelease): void {
    const {client, progress} = this.getOrCreateCell(release.cell);
    progress.delete(release.attempt);
    this.carryOut(release.cell, client.release(release, this.options.clock()));
  }

  receive(cell: CellId, output: CellOutput, from: InstanceId): void {
    const {client} = this.getOrCreateCell(cell);
    this.carryOut(cell, client.receive(output, from, this.options.clock()));
  }

  /**
   * Sends token counts in batches, so that no token costs a message of its own.
   */
  tick(): void {
    const nowMs = this.options.clock();
    for (const [id, cell] of this.cells) {
      const {client, progress} = cell;
      if (progress.size > 0) {
        const all = [...progress].map(([attempt, outputTokens]) => ({
          attempt,
          outputTokens,
        }));
        progress.clear();
        this.carryOut(id, client.progress(all, nowMs));
      }
      this.carryOut(id, client.tick(nowMs));
    }
  }

  snapshot(): object[] {
    const nowMs = this.options.clock();
    return [...this.cells.values()].map(({client}) => client.snapshot(nowMs));
  }

  private getOrCreateCell(id: CellId): ClientCell {
    const known = this.cells.get(id);
    if (known !== undefined) return known;
    const {self, policy, maxWaiting} = this.options;
    const client = new PermitClient({
      cell: id,
      instance: self,
      random: Math.random,
      policy,
      maxWaiting,
    });
    const cell: ClientCell = {
      client,
      instances: new Set(),
      progress: new Map(),
      owner: null,
    };
    this.cells.set(id, cell);
    this.configureCell(id);
    return cell;
  }

  private configureCell(id: CellId): void {
    const cell = this.cells.get(id);
    const planned = this.map?.get(id);
    if (cell === undefined || this.map === undefined) return;
    const nowMs = this.options.clock();
    const endpoints = planned ? this.map.endpointsOf(planned) : [];
    const {client} = cell;
    const {classes} = this;
    this.carryOut(id, client.configure({kind: 'classes', classes}, nowMs));
    this.carryOut(id, client.configure({kind: 'endpoints', endpoints}, nowMs));
    if (planned !== undefined) this.updateInstances(cell, planned);
    const owner = planned?.owner ?? null;
    if (owner === cell.owner && owner !== null) return;
    cell.owner = owner;
    this.carryOut(id, client.ownerChanged(owner, nowMs));
  }

  private updateInstances(cell: ClientCell, planned: Cell): void {
    const nowMs = this.options.clock();
    const current = new Set(planned.instances);
    for (const instance of cell.instances) {
      if (current.has(instance)) continue;
      cell.instances.delete(instance);
      const gone = {kind: 'instance_gone', instance} as const;
      this.carryOut(planned.id, cell.client.configure(gone, nowMs));
    }
    for (const instance of current) {
      if (cell.instances.has(instance)) continue;
      cell.instances.add(instance);
      const joined = {kind: 'instance_joined', instance} as const;
      this.carryOut(planned.id, cell.client.configure(joined, nowMs));
    }
  }

  private carryOut(cell: CellId, outputs: ClientOutputs): void {
    for (const output of outputs) {
      switch (output.kind) {
        case 'tell_owner':
          this.options.router.send(output.owner, {
            kind: 'to_owner',
            cell,
            input: output.input,
          });
          break;
        case 'start':
          this.notifyListener(output.attempt, {
            kind: 'start',
            endpoint: output.endpoint,
          });
          break;
        case 'refused':
          this.notifyListener(output.attempt, {
            kind: 'refused',
            refusal: output.refusal,
          });
          break;
      }
    }
  }

  private notifyListener(attempt: AttemptId, result: PermitResult): void {
    const listener = this.listeners.get(attempt);
    this.listeners.delete(attempt);
    listener?.(result);
  }
}
