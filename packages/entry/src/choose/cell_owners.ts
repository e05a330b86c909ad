/** Owners of the cells that are assigned to this instance. */

import type {
  CellInput,
  CellOutput,
  ReportedLoad,
} from '@snipestage/policy/cell_messages.js';
import {CellOwner, type CellSnapshot} from '@snipestage/policy/cell_owner.js';
import type {Cell} from '@snipestage/policy/cells.js';
import {
  createPolicySet,
  type PolicyName,
} from '@snipestage/policy/policy_set.js';
import type {RequestClass} from '@snipestage/types/configuration.js';
import type {CellId, InstanceId} from '@snipestage/types/ids.js';
import type {MonotonicClock} from '../clock.js';
import type {CellMap} from './cell_map.js';
import type {PermitRouter} from './permit_router.js';

/** Options of {@link CellOwners}. */
export interface CellOwnersOptions {
  readonly self: InstanceId;
  readonly router: PermitRouter;
  readonly clock: MonotonicClock;
  readonly policy?: PolicyName;
  readonly maxWaiting?: number;
}

/** A longer gap between two ticks means that the process was suspended. */
const MAX_TICK_GAP_MS = 1000;

interface OwnersConfiguration {
  readonly map: CellMap;
  readonly classes: readonly RequestClass[];
  readonly present: ReadonlySet<InstanceId>;
}

interface OwnedCell {
  readonly owner: CellOwner;
  readonly instances: Set<InstanceId>;
}

/** Creates an owner for each cell that is assigned to this instance. */
export class CellOwners {
  private readonly owned = new Map<CellId, OwnedCell>();
  private configuration: OwnersConfiguration | undefined;
  private tickedAtMs = Number.POSITIVE_INFINITY;

  constructor(private readonly options: CellOwnersOptions) {}

  get count(): number {
    return this.owned.size;
  }

  /** Applies a new map: adds and removes owned cells and their instances. */
  configure(
    map: CellMap,
    classes: readonly RequestClass[],
    present: ReadonlySet<InstanceId>,
  ): void {
    this.configuration = {map, classes, present};
    const cells = map.ownedBy(this.options.self);
    const kept = new Set(cells.map(cell => cell.id));
    for (const id of this.owned.keys()) {
      if (!kept.has(id)) this.owned.delete(id);
    }
    for (const cell of cells) {
      const owned = this.owned.get(cell.id) ?? this.create(cell.id);
      this.deliver(cell.id, owned, {kind: 'classes', classes});
      const endpoints = map.endpointsOf(cell);
      this.deliver(cell.id, owned, {kind: 'endpoints', endpoints});
      this.updateInstances(cell, owned, present);
    }
  }

  receive(cell: CellId, input: CellInput, from: InstanceId): void {
    const owned = this.owned.get(cell);
    // This instance isn't the owner any more; the client asks the new one.
    if (owned === undefined) return;
    if (!owned.instances.has(from)) this.join(cell, owned, from);
    this.deliver(cell, owned, input);
  }

  tick(): void {
    const nowMs = this.options.clock();
    const gapMs = nowMs - this.tickedAtMs;
    this.tickedAtMs = nowMs;
    if (gapMs > MAX_TICK_GAP_MS) this.recreateOwners();
    for (const [cell, {owner}] of this.owned) {
      this.sendAll(cell, owner.tick(this.options.clock()));
    }
  }

  reportLoad(cell: CellId, load: ReportedLoad): void {
    const owned = this.owned.get(cell);
    if (owned !== undefined) this.deliver(cell, owned, {kind: 'load', load});
  }

  snapshot(): CellSnapshot[] {
    const nowMs = this.options.clock();
    return [...this.owned.values()].map(({owner}) => owner.snapshot(nowMs));
  }

  /**
   * Replaces all owners after the process was suspended. Their queues have long
   * been served elsewhere and their times include the suspension, so they would
   * refuse requests that could be served. The new owners start as empty as
   * those of another instance would.
   */
  private recreateOwners(): void {
    this.owned.clear();
    if (this.configuration === undefined) return;
    const {map, classes, present} = this.configuration;
    this.configure(map, classes, present);
  }

  private create(cell: CellId): OwnedCell {
    const {clock, policy, maxWaiting} = this.options;
    const owner = new CellOwner({
      cell,
      random: Math.random,
      startedAtMs: clock(),
      policy: createPolicySet(policy ?? 'tiered'),
      maxWaiting: maxWaiting ?? 2000,
    });
    const owned = {owner, instances: new Set<InstanceId>()};
    this.owned.set(cell, owned);
    return owned;
  }

  /**
   * Adds the cell's instances and removes those that are no longer present.
   * Instances of other data centres, which joined with their first message,
   * stay while they are present.
   */
  private updateInstances(
    cell: Cell,
    owned: OwnedCell,
    present: ReadonlySet<InstanceId>,
  ): void {
    for (const instance of cell.instances) {
      if (!owned.instances.has(instance)) this.join(cell.id, owned, instance);
    }
    for (const instance of owned.instances) {
      if (present.has(instance)) continue;
      owned.instances.delete(instance);
      this.deliver(cell.id, owned, {kind: 'instance_gone', instance});
    }
  }

  private join(cell: CellId, owned: OwnedCell, instance: InstanceId): void {
    owned.instances.add(instance);
    this.deliver(cell, owned, {kind: 'instance_joined', instance});
  }

  private deliver(cell: CellId, owned: OwnedCell, input: CellInput): void {
    this.sendAll(cell, owned.owner.receive(input, this.options.clock()));
  }

  private sendAll(cell: CellId, outputs: readonly CellOutput[]): void {
    for (const output of outputs) {
      const record = {kind: 'to_client', cell, output} as const;
      this.options.router.send(output.instance, record);
    }
  }
}
