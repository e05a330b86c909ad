/**
 * Simulates one cell under a simulated clock: entry instances with their permit
 * clients, an owner, engines, and messages that are sent in one frame per tick.
 */

import type {RequestClass} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type AttemptId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import type {AttemptOutcome} from '@snipestage/types/permits.js';
import type {CellEndpoint} from '../cell_messages.js';
import type {ClientOutput} from '../client_messages.js';
import {PermitClient} from '../permit_client.js';
import type {PolicyName} from '../policy_set.js';
import {createSeededRandom} from '../random_source.js';
import {CELL, makePermitRequest} from '../test_fixtures.js';
import type {RequestResult} from './attainment.js';
import {
  describeServed,
  describeUnserved,
  measureAttempt,
} from './request_result.js';
import {SimulatedEngine, type EngineAttempt} from './simulated_engine.js';
import {SimulatedOwner} from './simulated_owner.js';
import type {Arrival} from './workload.js';

const STEP_MS = 5;
const TICK_MS = 50;
/** Longest time after the last arrival for requests to finish. */
const MAX_DRAIN_MS = 60_000;
const PROGRESS_EVERY_MS = 50;

/** An event in the cell at a point in time. */
export type SimulatedEvent = {readonly atMs: number} & (
  | {readonly kind: 'crash'; readonly endpoint: string}
  /** Steps take this many times as long; 1 restores normal speed. */
  | {readonly kind: 'slow'; readonly endpoint: string; readonly factor: number}
  /** The owner's process is frozen; messages sent to it are kept. */
  | {readonly kind: 'freeze_owner'}
  | {readonly kind: 'thaw_owner'}
  /** Another owner takes over; decisions and messages in transit are lost. */
  | {readonly kind: 'replace_owner'}
);

/** Options of {@link simulateCell}. */
export interface CellSimulationOptions {
  readonly policy: PolicyName;
  readonly seed: number;
  readonly arrivals: readonly Arrival[];
  readonly durationMs: number;
  readonly endpoints: readonly CellEndpoint[];
  readonly instances?: number;
  readonly maxWaiting?: number;
  readonly events?: readonly SimulatedEvent[];
}

interface LiveRequest {
  readonly arrival: Arrival;
  readonly attempt: AttemptId;
  readonly instance: InstanceId;
  endpoint?: string;
}

/** Runs the workload and returns how each request ended. */
export function simulateCell(options: CellSimulationOptions): RequestResult[] {
  return new CellSimulation(options).run();
}

class CellSimulation {
  private readonly owner: SimulatedOwner;
  private readonly clients = new Map<InstanceId, PermitClient>();
  private readonly engines = new Map<string, SimulatedEngine>();
  private readonly live = new Map<AttemptId, LiveRequest>();
  private readonly results: RequestResult[] = [];
  private readonly owningInstance: InstanceId;
  private readonly classes: readonly RequestClass[];
  private nextArrival = 0;
  private nextEvent = 0;

  constructor(private readonly options: CellSimulationOptions) {
    const {policy, maxWaiting, arrivals, instances = 3} = options;
    const random = createSeededRandom(options.seed);
    for (let index = 1; index <= instances; index++) {
      const instance = brandAs<InstanceId>(`akl-a-${index}`);
      this.clients.set(
        instance,
        new PermitClient({cell: CELL, instance, random, policy, maxWaiting}),
      );
    }
    [this.owningInstance] = this.clients.keys();
    this.classes = [
      ...new Set(arrivals.map(({source}) => source.requestClass)),
    ];
    for (const {id} of options.endpoints) {
      this.engines.set(id, new SimulatedEngine());
    }
    this.owner = new SimulatedOwner({
      ...options,
      classes: this.classes,
      instances: [...this.clients.keys()],
    });
  }

  run(): RequestResult[] {
    this.configure();
    const {durationMs} = this.options;
    for (let nowMs = 0; nowMs <= durationMs + MAX_DRAIN_MS; nowMs += STEP_MS) {
      if (nowMs > durationMs && this.live.size === 0) break;
      this.applyEvents(nowMs);
      this.submitDueArrivals(nowMs);
      this.runEngines(nowMs);
      if (nowMs % PROGRESS_EVERY_MS === 0) this.reportProgress(nowMs);
      if (nowMs % TICK_MS === 0) this.tick(nowMs);
    }
    for (const {arrival} of this.live.values()) {
      this.results.push(describeUnserved(arrival, 'unfinished'));
    }
    return this.results;
  }

  private configure(): void {
    const {endpoints} = this.options;
    for (const client of this.clients.values()) {
      client.configure({kind: 'classes', classes: this.classes}, 0);
      client.configure({kind: 'endpoints', endpoints}, 0);
      for (const instance of this.clients.keys()) {
        client.configure({kind: 'instance_joined', instance}, 0);
      }
    }
    this.announceOwner(0);
    for (let round = 0; round < 4; round++) this.tick(0);
  }

  private announceOwner(nowMs: number): void {
    for (const client of this.clients.values()) {
      this.carryOut(client.ownerChanged(this.owningInstance, nowMs), nowMs);
    }
  }

  private applyEvents(nowMs: number): void {
    const events = this.options.events ?? [];
    while (this.nextEvent < events.length) {
      const event = events[this.nextEvent];
      if (event.atMs > nowMs) return;
      this.nextEvent++;
      this.applyEvent(event, nowMs);
    }
  }

  private applyEvent(event: SimulatedEvent, nowMs: number): void {
    switch (event.kind) {
      case 'slow':
        this.engines.get(event.endpoint)!.stepTimeFactor = event.factor;
        return;
      case 'crash':
        for (const lost of this.engines.get(event.endpoint)!.crash()) {
          this.end(lost, 'crashed', nowMs);
        }
        return;
      case 'freeze_owner':
        this.owner.freeze();
        return;
      case 'thaw_owner':
        this.owner.thaw();
        return;
      case 'replace_owner':
        this.owner.replace(nowMs);
        this.announceOwner(nowMs);
    }
  }

  private submitDueArrivals(nowMs: number): void {
    const {arrivals} = this.options;
    while (this.nextArrival < arrivals.length) {
      const arrival = arrivals[this.nextArrival];
      if (arrival.atMs > nowMs) return;
      this.request(arrival, this.nextArrival++, nowMs);
    }
  }

  private request(arrival: Arrival, index: number, nowMs: number): void {
    const instances = [...this.clients.keys()];
    const instance = instances[index % instances.length];
    const {requestClass, account, meanOutputTokens} = arrival.source;
    const ask = makePermitRequest(`request-${index}`, {
      instance,
      account,
      requestClass: requestClass.id,
      tier: requestClass.tier,
      expectedTokens: meanOutputTokens,
      remainingMs: requestClass.firstTokenTargetMs,
      cheapAllowed: requestClass.cheapEndpointsAllowed,
      prefixHash: arrival.prefixHash,
    });
    this.live.set(ask.attempt, {arrival, attempt: ask.attempt, instance});
    this.carryOut(this.clients.get(instance)!.request(ask, nowMs), nowMs);
  }

  private runEngines(nowMs: number): void {
    for (const engine of this.engines.values()) {
      for (const done of engine.advance(nowMs)) this.end(done, 'ok', nowMs);
    }
  }

  private end(
    done: EngineAttempt,
    outcome: AttemptOutcome,
    nowMs: number,
  ): void {
    const request = this.live.get(done.attempt)!;
    this.live.delete(done.attempt);
    const measured = measureAttempt(done);
    const release = {
      attempt: done.attempt,
      cell: CELL,
      endpoint: brandAs<CellEndpoint['id']>(request.endpoint!),
      outcome,
      outputTokens: done.produced,
      promptTokens: done.promptTokens,
      ...measured,
    };
    const client = this.clients.get(request.instance)!;
    this.carryOut(client.release(release, nowMs), nowMs);
    const {arrival} = request;
    this.results.push(
      outcome === 'ok'
        ? describeServed(arrival, done)
        : describeUnserved(arrival, 'refused', done.produced),
    );
  }

  private reportProgress(nowMs: number): void {
    const byInstance = new Map<InstanceId, EngineAttempt[]>();
    for (const engine of this.engines.values()) {
      for (const running of engine.attempts()) {
        const {instance} = this.live.get(running.attempt)!;
        const known = byInstance.get(instance) ?? [];
        byInstance.set(instance, [...known, running]);
      }
    }
    for (const [instance, running] of byInstance) {
      const progress = running.map(({attempt, produced}) => ({
        attempt,
        outputTokens: produced,
      }));
      const client = this.clients.get(instance)!;
      this.carryOut(client.progress(progress, nowMs), nowMs);
    }
  }

  /**
   * Delivers one frame each way, then advances the time of owner and clients.
   */
  private tick(nowMs: number): void {
    for (const output of this.owner.beginTick()) {
      const client = this.clients.get(output.instance)!;
      this.carryOut(client.receive(output, this.owningInstance, nowMs), nowMs);
    }
    this.owner.endTick(nowMs);
    for (const client of this.clients.values()) {
      this.carryOut(client.tick(nowMs), nowMs);
    }
  }

  private carryOut(outputs: readonly ClientOutput[], nowMs: number): void {
    for (const output of outputs) {
      if (output.kind === 'tell_owner') this.owner.queue(output.input);
      if (output.kind === 'refused') this.refused(output.attempt);
      if (output.kind === 'start') {
        this.start(output.attempt, output.endpoint, nowMs);
      }
    }
  }

  private refused(attempt: AttemptId): void {
    const {arrival} = this.live.get(attempt)!;
    this.results.push(describeUnserved(arrival, 'refused'));
    this.live.delete(attempt);
  }

  private start(attempt: AttemptId, endpoint: string, nowMs: number): void {
    const request = this.live.get(attempt)!;
    request.endpoint = endpoint;
    const {prefixHash, promptTokens, outputTokens} = request.arrival;
    this.engines.get(endpoint)!.submit({
      attempt,
      prefixHash,
      promptTokens,
      outputTokens,
      submittedAtMs: nowMs,
      produced: 0,
    });
  }
}
