/**
 * One cell under a simulated clock: entry instances with their permit clients,
 * an owner, engines, and messages that go out in frames once a tick.
 */

import type {RequestClass} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type AttemptId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import type {AttemptOutcome} from '@snipestage/types/permits.js';
import type {CellEndpoint, CellInput, CellOutput} from '../cell_messages.js';
import {CellOwner} from '../cell_owner.js';
import type {ClientOutput} from '../client_messages.js';
import {PermitClient} from '../permit_client.js';
import {createPolicySet, type PolicyName} from '../policy_set.js';
import {createSeededRandom} from '../random_source.js';
import {CELL, makeAsk} from '../test_fixtures.js';
import type {RequestResult} from './attainment.js';
import {SimulatedEngine, type EngineAttempt} from './simulated_engine.js';
import type {Arrival} from './workload.js';

const STEP_MS = 5;
const TICK_MS = 50;
/** For what came last to finish. */
const DRAIN_MS = 60_000;
const PROGRESS_EVERY_MS = 50;

/** Something that happens to the cell at an instant. */
export type SimulatedEvent = {readonly atMs: number} & (
  | {readonly kind: 'crash'; readonly endpoint: string}
  /** Steps take this many times as long; 1 mends it. */
  | {readonly kind: 'slow'; readonly endpoint: string; readonly factor: number}
  /** The owner's process stands still; what is sent to it is kept. */
  | {readonly kind: 'freeze_owner'}
  | {readonly kind: 'thaw_owner'}
  /** The owner's decisions are lost with it, and another one is told to all. */
  | {readonly kind: 'replace_owner'}
);

/** What {@link simulateCell} is made from. */
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

/** Runs the workload; gives how each request ended. */
export function simulateCell(options: CellSimulationOptions): RequestResult[] {
  return new CellSimulation(options).run();
}

class CellSimulation {
  private owner: CellOwner;
  private ownerFrozen = false;
  private readonly clients = new Map<InstanceId, PermitClient>();
  private readonly engines = new Map<string, SimulatedEngine>();
  private readonly live = new Map<AttemptId, LiveRequest>();
  private readonly results: RequestResult[] = [];
  private toOwner: CellInput[] = [];
  private toClients: CellOutput[] = [];
  private readonly owningInstance: InstanceId;
  private readonly classes: readonly RequestClass[];
  private nextArrival = 0;
  private nextEvent = 0;

  constructor(private readonly options: CellSimulationOptions) {
    const random = createSeededRandom(options.seed);
    this.owner = this.createOwner(0);
    for (let index = 1; index <= (options.instances ?? 3); index++) {
      const instance = brandAs<InstanceId>(`akl-a-${index}`);
      const {policy, maxWaiting} = options;
      this.clients.set(
        instance,
        new PermitClient({cell: CELL, instance, random, policy, maxWaiting}),
      );
    }
    [this.owningInstance] = this.clients.keys();
    const {arrivals} = options;
    this.classes = [
      ...new Set(arrivals.map(({source}) => source.requestClass)),
    ];
    for (const {id} of options.endpoints) {
      this.engines.set(id, new SimulatedEngine());
    }
  }

  run(): RequestResult[] {
    this.configure();
    const {durationMs} = this.options;
    for (let nowMs = 0; nowMs <= durationMs + DRAIN_MS; nowMs += STEP_MS) {
      if (nowMs > durationMs && this.live.size === 0) break;
      this.applyEvents(nowMs);
      this.arrive(nowMs);
      this.runEngines(nowMs);
      if (nowMs % PROGRESS_EVERY_MS === 0) this.tellProgress(nowMs);
      if (nowMs % TICK_MS === 0) this.tick(nowMs);
    }
    for (const request of this.live.values()) {
      this.results.push(unserved(request, 'unfinished'));
    }
    return this.results;
  }

  private createOwner(startedAtMs: number): CellOwner {
    const {policy, maxWaiting, seed} = this.options;
    return new CellOwner({
      cell: CELL,
      random: createSeededRandom(seed),
      startedAtMs,
      policy: createPolicySet(policy),
      maxWaiting,
    });
  }

  private configure(): void {
    const {endpoints} = this.options;
    this.configureOwner(0);
    for (const client of this.clients.values()) {
      client.configure({kind: 'classes', classes: this.classes}, 0);
      client.configure({kind: 'endpoints', endpoints}, 0);
      for (const instance of this.clients.keys()) {
        client.configure({kind: 'instance_joined', instance}, 0);
      }
    }
    this.tellOwner(0);
    for (let round = 0; round < 4; round++) this.tick(0);
  }

  private configureOwner(nowMs: number): void {
    const {endpoints} = this.options;
    const inputs: CellInput[] = [
      {kind: 'classes', classes: this.classes},
      {kind: 'endpoints', endpoints},
      ...[...this.clients.keys()].map((instance): CellInput => ({
        kind: 'instance_joined',
        instance,
      })),
    ];
    for (const input of inputs) {
      this.toClients.push(...this.owner.receive(input, nowMs));
    }
  }

  private tellOwner(nowMs: number): void {
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
        this.engines.get(event.endpoint)!.slowness = event.factor;
        return;
      case 'crash':
        for (const lost of this.engines.get(event.endpoint)!.crash()) {
          this.end(lost, 'crashed', nowMs);
        }
        return;
      case 'freeze_owner':
      case 'thaw_owner':
        this.ownerFrozen = event.kind === 'freeze_owner';
        return;
      case 'replace_owner':
        this.ownerFrozen = false;
        this.toOwner = [];
        this.toClients = [];
        this.owner = this.createOwner(nowMs);
        this.configureOwner(nowMs);
        this.tellOwner(nowMs);
    }
  }

  private arrive(nowMs: number): void {
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
    const ask = makeAsk(`request-${index}`, {
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
    const measured = measure(done);
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
    if (outcome === 'ok') this.served(request, done);
    else this.results.push(unserved(request, 'refused', done.produced));
  }

  private served({arrival}: LiveRequest, done: EngineAttempt): void {
    this.results.push({
      arrival,
      outcome: 'served',
      firstTokenMs: done.firstTokenAtMs! - arrival.atMs,
      betweenTokensMs: measure(done).betweenTokensMs,
      totalMs: done.lastTokenAtMs! - arrival.atMs,
      producedTokens: done.produced,
    });
  }

  private tellProgress(nowMs: number): void {
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

  /** One frame each way, then time passes for all. */
  private tick(nowMs: number): void {
    const outputs = this.toClients;
    this.toClients = [];
    const inputs = this.ownerFrozen ? [] : this.toOwner.splice(0);
    for (const output of outputs) {
      const client = this.clients.get(output.instance)!;
      this.carryOut(client.receive(output, this.owningInstance, nowMs), nowMs);
    }
    for (const input of inputs) {
      this.toClients.push(...this.owner.receive(input, nowMs));
    }
    if (!this.ownerFrozen) this.toClients.push(...this.owner.tick(nowMs));
    for (const client of this.clients.values()) {
      this.carryOut(client.tick(nowMs), nowMs);
    }
  }

  private carryOut(outputs: readonly ClientOutput[], nowMs: number): void {
    for (const output of outputs) {
      if (output.kind === 'tell_owner') this.toOwner.push(output.input);
      if (output.kind === 'refused') this.refused(output.attempt);
      if (output.kind === 'start') {
        this.start(output.attempt, output.endpoint, nowMs);
      }
    }
  }

  private refused(attempt: AttemptId): void {
    this.results.push(unserved(this.live.get(attempt)!, 'refused'));
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

function measure(done: EngineAttempt): {
  firstTokenMs?: number;
  betweenTokensMs?: number;
} {
  if (done.firstTokenAtMs === undefined) return {};
  const firstTokenMs = done.firstTokenAtMs - done.submittedAtMs;
  if (done.produced < 2) return {firstTokenMs};
  const spanMs = done.lastTokenAtMs! - done.firstTokenAtMs;
  return {firstTokenMs, betweenTokensMs: spanMs / (done.produced - 1)};
}

function unserved(
  {arrival}: LiveRequest,
  outcome: 'refused' | 'unfinished',
  producedTokens = 0,
): RequestResult {
  return {arrival, outcome, producedTokens};
}
