/** The owner of a simulated cell, and the frames between it and the clients. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {InstanceId} from '@snipestage/types/ids.js';
import type {CellEndpoint, CellInput, CellOutput} from '../cell_messages.js';
import {CellOwner} from '../cell_owner.js';
import {createPolicySet, type PolicyName} from '../policy_set.js';
import {createSeededRandom} from '../random_source.js';
import {CELL} from '../test_fixtures.js';

/** Options of {@link SimulatedOwner}. */
export interface SimulatedOwnerOptions {
  readonly policy: PolicyName;
  readonly seed: number;
  readonly maxWaiting?: number;
  readonly classes: readonly RequestClass[];
  readonly endpoints: readonly CellEndpoint[];
  readonly instances: readonly InstanceId[];
}

/**
 * Sends frames once a tick, so a message sent in one tick arrives in the next.
 *
 * @example
 * owner.queue(input);
 * const outputs = owner.beginTick(); // for the clients to take in
 * owner.endTick(nowMs);
 */
export class SimulatedOwner {
  private owner: CellOwner;
  private isFrozen = false;
  private toOwner: CellInput[] = [];
  private arrived: CellInput[] = [];
  private toClients: CellOutput[] = [];

  constructor(private readonly options: SimulatedOwnerOptions) {
    this.owner = this.create(0);
  }

  /** Freezes the process; messages sent to it are kept. */
  freeze(): void {
    this.isFrozen = true;
  }

  thaw(): void {
    this.isFrozen = false;
  }

  /** Another process takes over the cell; messages in transit are lost. */
  replace(nowMs: number): void {
    this.isFrozen = false;
    this.toOwner = [];
    this.toClients = [];
    this.owner = this.create(nowMs);
  }

  /** Adds a message to the next frame to the owner. */
  queue(input: CellInput): void {
    this.toOwner.push(input);
  }

  /** Accepts the frame to the owner, and returns the one to the clients. */
  beginTick(): CellOutput[] {
    const outputs = this.toClients;
    this.toClients = [];
    this.arrived = this.isFrozen ? [] : this.toOwner.splice(0);
    return outputs;
  }

  /** Handles the messages that have arrived, and advances the time. */
  endTick(nowMs: number): void {
    for (const input of this.arrived.splice(0)) {
      this.toClients.push(...this.owner.receive(input, nowMs));
    }
    if (!this.isFrozen) this.toClients.push(...this.owner.tick(nowMs));
  }

  private create(startedAtMs: number): CellOwner {
    const {policy, maxWaiting, seed} = this.options;
    const owner = new CellOwner({
      cell: CELL,
      random: createSeededRandom(seed),
      startedAtMs,
      policy: createPolicySet(policy),
      maxWaiting,
    });
    for (const input of this.describeCell()) {
      this.toClients.push(...owner.receive(input, startedAtMs));
    }
    return owner;
  }

  private describeCell(): CellInput[] {
    const {classes, endpoints, instances} = this.options;
    return [
      {kind: 'classes', classes},
      {kind: 'endpoints', endpoints},
      ...instances.map((instance): CellInput => ({
        kind: 'instance_joined',
        instance,
      })),
    ];
  }
}
