/** State that the parts of a cell's owner share. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import type {AttemptId, CellId, RequestClassId} from '@snipestage/types/ids.js';
import {CellEndpoints} from './cell_endpoints.js';
import type {CellOutput} from './cell_messages.js';
import {CellMeter} from './cell_meter.js';
import type {WaitingRequest} from './dispatch_queue.js';
import type {LatencyTargets} from './limit_policy.js';
import {PermitBook, type HeldPermit} from './permit_book.js';
import type {PolicySet} from './policy_set.js';
import type {RandomSource} from './random_source.js';
import {StandingAllotments} from './standing_allotments.js';

const TERM_RANGE = 2 ** 32;

/** Counts since the owner started. */
export interface CellCounters {
  granted: number;
  startedUnasked: number;
  released: number;
  refusedOverloaded: number;
  refusedDeadline: number;
  refusedNoEndpoint: number;
  withdrawn: number;
}

/** Options of {@link CellState}. */
export interface CellStateOptions {
  readonly cell: CellId;
  readonly random: RandomSource;
  readonly policy: PolicySet;
}

/** Queue, permits, endpoints and pending outputs of one cell. */
export class CellState {
  readonly policy: PolicySet;
  readonly random: RandomSource;
  readonly book = new PermitBook();
  readonly meter = new CellMeter();
  readonly endpoints: CellEndpoints;
  readonly allotments: StandingAllotments;
  readonly counters: CellCounters = {
    granted: 0,
    startedUnasked: 0,
    released: 0,
    refusedOverloaded: 0,
    refusedDeadline: 0,
    refusedNoEndpoint: 0,
    withdrawn: 0,
  };
  private readonly targets = new Map<RequestClassId, LatencyTargets>();
  private outputs: CellOutput[] = [];

  constructor({cell, policy, random}: CellStateOptions) {
    this.policy = policy;
    this.random = random;
    this.endpoints = new CellEndpoints(policy, this.book);
    this.allotments = new StandingAllotments({
      cell,
      term: Math.floor(random() * TERM_RANGE),
      book: this.book,
      endpoints: this.endpoints,
    });
  }

  configureClasses(classes: readonly RequestClass[]): void {
    this.policy.queue.configure(classes);
    this.targets.clear();
    for (const requestClass of classes) {
      this.targets.set(requestClass.id, requestClass);
    }
  }

  targetsOf(requestClass: RequestClassId): LatencyTargets | undefined {
    return this.targets.get(requestClass);
  }

  /** Removes a request from the queue and releases its claim to an endpoint. */
  removeWaiting(attempt: AttemptId): WaitingRequest | undefined {
    const request = this.policy.queue.remove(attempt);
    if (request?.ask.suspect) this.endpoints.releaseSuspect(attempt);
    return request;
  }

  hold(permit: HeldPermit, nowMs: number): void {
    const {attempt, endpoint, suspect} = permit;
    this.book.hold(permit);
    if (suspect) this.endpoints.occupy(endpoint, attempt);
    const inFlight = this.book.inFlight().get(endpoint) ?? 0;
    this.endpoints.limitOf(endpoint)?.started(inFlight, nowMs);
  }

  free(attempt: AttemptId): HeldPermit | undefined {
    const permit = this.book.free(attempt);
    if (permit !== undefined) this.endpoints.releaseSuspect(attempt);
    return permit;
  }

  sendGrant({instance, attempt, endpoint}: HeldPermit): void {
    this.send({kind: 'grant', instance, grant: {attempt, endpoint}});
  }

  send(...outputs: readonly CellOutput[]): void {
    this.outputs.push(...outputs);
  }

  takeOutputs(): CellOutput[] {
    const outputs = this.outputs;
    this.outputs = [];
    return outputs;
  }
}
