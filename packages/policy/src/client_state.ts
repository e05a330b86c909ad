/** State that the parts of a permit client share. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {AttemptId, CellId, InstanceId} from '@snipestage/types/ids.js';
import type {
  PermitGrant,
  PermitInUse,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {CellEndpoint, CellInput} from './cell_messages.js';
import {ClientAllotment} from './client_allotment.js';
import type {CellConfigurationInput, ClientOutput} from './client_messages.js';
import {RunningAttempts, type AttemptStart} from './running_attempts.js';
import {PendingRequests} from './pending_requests.js';

/** Options of {@link ClientState}. */
export interface ClientStateOptions {
  readonly cell: CellId;
  readonly instance: InstanceId;
}

/** Waiting and running requests of one cell, its owner and pending outputs. */
export class ClientState {
  readonly cell: CellId;
  readonly instance: InstanceId;
  readonly waiting = new PendingRequests();
  readonly running = new RunningAttempts();
  readonly allotment = new ClientAllotment();
  readonly instances = new Set<InstanceId>();
  endpoints: readonly CellEndpoint[] = [];
  classes: readonly RequestClass[] = [];
  owner: InstanceId | null = null;
  private outputs: ClientOutput[] = [];

  constructor({cell, instance}: ClientStateOptions) {
    this.cell = cell;
    this.instance = instance;
    this.instances.add(instance);
  }

  configure(input: CellConfigurationInput): void {
    switch (input.kind) {
      case 'endpoints':
        this.endpoints = input.endpoints;
        return;
      case 'classes':
        this.classes = input.classes;
        return;
      case 'instance_joined':
        this.instances.add(input.instance);
        return;
      case 'instance_gone':
        if (input.instance === this.instance) return;
        this.instances.delete(input.instance);
    }
  }

  start(start: AttemptStart): PermitInUse {
    const {ask, endpoint} = start;
    this.outputs.push({kind: 'start', attempt: ask.attempt, endpoint});
    return this.running.start(start);
  }

  /** Handles a permit granted by an owner or by this instance itself. */
  granted(grant: PermitGrant, from: InstanceId, nowMs: number): void {
    const request = this.waiting.started(grant.attempt, nowMs);
    if (request === undefined) return this.returnUnusedPermit(grant, from);
    const {ask} = request;
    const {endpoint} = grant;
    this.start({ask, endpoint, underAllotment: false, nowMs});
  }

  /**
   * Returns a permit for an attempt that has ended, or that runs elsewhere
   * because its owner was silent; otherwise the permit would never be freed.
   */
  returnUnusedPermit(grant: PermitGrant, from: InstanceId): void {
    const {attempt, endpoint} = grant;
    const inUse = this.running.get(attempt);
    if (inUse?.endpoint === endpoint && from === this.owner) return;
    const {cell, instance} = this;
    const release: PermitRelease = {
      attempt,
      cell,
      endpoint,
      outcome: 'cancelled',
      outputTokens: 0,
      promptTokens: 0,
    };
    const input: CellInput = {kind: 'release', instance, release};
    this.outputs.push({kind: 'tell_owner', owner: from, input});
    if (inUse !== undefined && from === this.owner) this.sendInUse();
  }

  refused(refusal: PermitRefusal): void {
    const {attempt} = refusal;
    if (this.waiting.remove(attempt) === undefined) return;
    this.outputs.push({kind: 'refused', attempt, refusal});
  }

  /** Drops the allotment; attempts started under it then count individually. */
  dropAllotment(): void {
    this.allotment.reset();
    this.running.detachFromAllotment();
  }

  isKnown(attempt: AttemptId): boolean {
    return this.waiting.has(attempt) || this.running.get(attempt) !== undefined;
  }

  sendInUse(): void {
    const {instance, running} = this;
    this.send({kind: 'in_use', instance, permits: running.all()});
  }

  send(input: CellInput): void {
    if (this.owner === null) return;
    this.outputs.push({kind: 'tell_owner', owner: this.owner, input});
  }

  takeOutputs(): ClientOutput[] {
    const outputs = this.outputs;
    this.outputs = [];
    return outputs;
  }
}
