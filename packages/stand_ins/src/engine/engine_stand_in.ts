/** A stand-in for a model engine: OpenAI-compatible streams from a batch. */

import type {ServerResponse} from 'node:http';
import {parseJson} from '../http/exchange.js';
import {
  resetSocket,
  StandInServer,
  type Answer,
  type Call,
  type ListenOptions,
} from '../http/stand_in_server.js';
import {LaggedValue} from '../lagged_value.js';
import {Batch, type BatchOptions} from './batch.js';
import {engineControlSchema, type EngineControl} from './engine_control.js';
import {EngineCounters} from './engine_counters.js';
import {HeldSequences} from './held_sequences.js';
import {EngineOrders, type EngineOrder} from './engine_orders.js';
import {PrefixCache, type PrefixCacheOptions} from './prefix_cache.js';
import type {CompletionFormat, Sequence} from './sequence.js';
import {
  SequenceFactory,
  type SequenceFactoryOptions,
} from './sequence_factory.js';

/** Options of {@link EngineStandIn}. */
export interface EngineStandInOptions
  extends ListenOptions, SequenceFactoryOptions {
  readonly batch?: BatchOptions;
  readonly prefixCache?: PrefixCacheOptions;
  readonly loadLagMs?: number;
  /** How long a stream can be resumed after its connection has closed. */
  readonly holdForMs?: number;
  /** Time from a poison request's crash to the restart; null stays down. */
  readonly restartAfterMs?: number | null;
}

const DEFAULT_HOLD_FOR_MS = 2000;
const DEFAULT_RESTART_AFTER_MS = 1000;

/** One engine with one batch. */
export class EngineStandIn extends StandInServer {
  readonly counters = new EngineCounters();
  readonly orders = new EngineOrders();
  readonly batch: Batch;
  private readonly cache: PrefixCache;
  private readonly factory: SequenceFactory;
  private readonly held: HeldSequences;
  private readonly attached = new Map<string, Sequence>();
  private readonly load: LaggedValue<{running: number; waiting: number}>;
  private readonly restartAfterMs: number | null;
  private restartTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineStandInOptions = {}) {
    super(options);
    this.restartAfterMs =
      options.restartAfterMs === undefined
        ? DEFAULT_RESTART_AFTER_MS
        : options.restartAfterMs;
    this.factory = new SequenceFactory(options);
    this.cache = new PrefixCache(options.prefixCache);
    this.load = new LaggedValue({running: 0, waiting: 0}, options.loadLagMs);
    this.held = new HeldSequences(
      options.holdForMs ?? DEFAULT_HOLD_FOR_MS,
      sequence => this.counters.countCancelled(sequence),
    );
    this.batch = new Batch(options.batch ?? {}, {
      countPrefillTokens: sequence => this.countPrefillTokens(sequence),
      onToken: () => (this.counters.tokensProduced += 1),
      onFinished: sequence => this.finish(sequence),
      onPoison: () => void this.crash(this.restartAfterMs),
    });
    this.serveCompletions();
    this.serveStreamControl();
    this.serveReports();
  }

  override async stop(): Promise<void> {
    clearTimeout(this.restartTimer);
    this.batch.clear();
    this.held.dropAll();
    await super.stop();
  }

  /**
   * Resets every connection, drops all sequences and the cache, and restarts
   * after a while.
   *
   * @param restartAfterMs null to stay down.
   * @example
   * await engine.crash(500);
   */
  async crash(restartAfterMs: number | null): Promise<void> {
    this.counters.crashes += 1;
    for (const sequence of this.batch.clear()) {
      this.counters.tokensLostInCrashes += sequence.produced;
    }
    this.attached.clear();
    this.held.dropAll();
    this.cache.clear();
    this.updateLoad();
    await super.stop();
    if (restartAfterMs === null) return;
    this.restartTimer = setTimeout(() => void this.start(), restartAfterMs);
  }

  /**
   * Changes the engine's speed, its faults and its reports.
   *
   * @example
   * engine.control({slowFactor: 5, loadLagMs: 2000});
   */
  control(command: EngineControl): void {
    for (const [area, fault] of Object.entries(command.faults ?? {})) {
      this.faults.set(area, fault);
    }
    const {cache, batch, load, orders} = this;
    batch.slowFactor = command.slowFactor ?? batch.slowFactor;
    load.lagMs = command.loadLagMs ?? load.lagMs;
    cache.eventLagMs = command.cacheEventLagMs ?? cache.eventLagMs;
    cache.eventGapEvery = command.cacheEventGapEvery ?? cache.eventGapEvery;
    orders.checksFencing = command.checksFencing ?? orders.checksFencing;
    this.factory.control(command);
    if (command.crash !== undefined) {
      void this.crash(command.crash.restartAfterMs);
    }
  }

  protected override applyControl(command: unknown): void {
    this.control(engineControlSchema.parse(command));
  }

  protected override report(): object {
    const {running, waiting} = this.batch;
    const orders = this.orders.carriedOut;
    return {...this.counters.toJSON(), running, waiting, orders};
  }

  private serveCompletions(): void {
    const formats: ReadonlyArray<[string, CompletionFormat]> = [
      ['/v1/chat/completions', 'chat'],
      ['/v1/completions', 'text'],
    ];
    for (const [path, format] of formats) {
      this.serve({
        method: 'post',
        path,
        area: 'completions',
        run: call => {
          this.complete(call, format);
          return undefined;
        },
      });
    }
  }

  private serveStreamControl(): void {
    this.serve({
      method: 'post',
      path: '/v1/resume',
      area: 'resume',
      run: call => this.resume(call),
    });
    this.serve({
      method: 'post',
      path: '/v1/cancel',
      area: 'cancel',
      run: ({body}) => {
        this.cancel(parseJson<{requestId: string}>(body).requestId);
        return {status: 200, body: {}};
      },
    });
    this.serve({
      method: 'post',
      path: '/v1/orders',
      area: 'orders',
      run: ({body}) => this.orders.submit(parseJson<EngineOrder>(body)),
    });
  }

  private serveReports(): void {
    this.serve({
      method: 'get',
      path: '/v1/load',
      area: 'load',
      run: () => ({status: 200, body: this.reportLoad()}),
    });
    this.serve({
      method: 'get',
      path: '/v1/cache-events',
      area: 'cache_events',
      run: ({request}) => {
        const after = new URL(request.url ?? '', this.url).searchParams;
        const sequence = Number(after.get('after') ?? 0);
        const events = this.cache.eventsAfter(sequence, Date.now());
        return {status: 200, body: {events}};
      },
    });
    this.serve({
      method: 'get',
      path: '/healthz',
      area: 'health',
      run: () => ({status: 200, body: {}}),
    });
  }

  private complete(call: Call, format: CompletionFormat): void {
    const {sequence, lateMs} = this.factory.make(call, format);
    this.counters.countRun(sequence.options.requestId);
    if (call.fault.mode === 'lose_answer') resetSocket(call);
    else if (lateMs === 0) this.attach(sequence, call.response, 0);
    else {
      setTimeout(() => this.attach(sequence, call.response, 0), lateMs);
    }
    this.batch.add(sequence);
    this.updateLoad();
  }

  private attach(
    sequence: Sequence,
    response: ServerResponse,
    offset: number,
  ): void {
    if (response.destroyed) {
      this.holdDetached(sequence);
      return;
    }
    this.attached.set(sequence.options.requestId, sequence);
    sequence.attach(response, offset);
    response.once('close', () => this.holdDetached(sequence));
  }

  /**
   * Removes a sequence whose connection has closed from the batch and holds it
   * for a while so that it can be resumed.
   */
  private holdDetached(sequence: Sequence): void {
    const {requestId} = sequence.options;
    sequence.detach();
    if (this.attached.get(requestId) === sequence) {
      this.attached.delete(requestId);
    }
    if (!this.batch.remove(sequence)) return;
    this.held.hold(sequence);
    this.updateLoad();
  }

  private resume(call: Call): Answer | undefined {
    const {requestId, offset} = parseJson<{requestId: string; offset: number}>(
      call.body,
    );
    const sequence = this.attached.get(requestId) ?? this.held.take(requestId);
    if (sequence === undefined || offset > sequence.produced) {
      return {status: 404, body: {reason: 'It is no longer held.'}};
    }
    this.batch.remove(sequence);
    if (!sequence.isFinished) this.batch.add(sequence);
    this.attach(sequence, call.response, offset);
    this.updateLoad();
    return undefined;
  }

  private cancel(requestId: string): void {
    const sequence = this.attached.get(requestId);
    if (sequence === undefined) {
      this.held.drop(requestId);
      return;
    }
    this.attached.delete(requestId);
    if (this.batch.remove(sequence)) this.counters.countCancelled(sequence);
    sequence.endEarly();
    this.updateLoad();
  }

  private finish(sequence: Sequence): void {
    this.counters.finished += 1;
    this.attached.delete(sequence.options.requestId);
    this.updateLoad();
  }

  private countPrefillTokens(sequence: Sequence): number {
    const {prompt, promptTokens} = sequence.options;
    if (sequence.produced > 0) return 0;
    return promptTokens - this.cache.touch(prompt, Date.now());
  }

  private updateLoad(): void {
    const {running, waiting} = this.batch;
    this.load.set({running, waiting}, Date.now());
  }

  private reportLoad(): object {
    const nowEpochMs = Date.now();
    const {value} = this.load.read(nowEpochMs);
    return {
      ...value,
      cacheUsedShare: this.cache.usedShare,
      measuredAtEpochMs: nowEpochMs - this.load.lagMs,
    };
  }
}
