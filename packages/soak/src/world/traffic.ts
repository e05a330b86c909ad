/**
 * Requests that arrive at random, over connections that the balancer assigns.
 */

import {setMaxListeners} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';
import {randomExponential, randomLcg} from 'd3-random';
import type {History} from '../history.js';
import {Caller} from './caller.js';
import type {Instance} from './instance.js';
import type {Operator} from './operator.js';
import {mayTakeUp, RequestDraw, type DrawnRequest} from './request_draw.js';
import {Rotation} from './rotation.js';

/** Options of {@link Traffic}. */
export interface TrafficOptions {
  readonly seed: number;
  readonly requestsPerS: number;
  readonly callers: number;
  readonly instances: readonly Instance[];
  readonly operator: Operator;
  readonly history: History;
  readonly nowMs: () => number;
}

/**
 * Of the requests; the others use the open connection of their caller, if any.
 */
const NEW_CONNECTION_SHARE = 0.3;
/** Of the new connections: their first request is sent after a delay. */
const EARLY_CONNECTION_SHARE = 0.2;
/** About as long as an instance may run on after it has been told to stop. */
const MAX_FIRST_REQUEST_DELAY_MS = 7500;
/**
 * Of the long streams: the caller at once starts the next over its connection.
 */
const IMMEDIATE_NEXT_SHARE = 0.5;

/** While most of them go to one instance; also their share that does. */
const CONCENTRATED_SHARE = 0.9;
/** Times as many requests as usual come then. */
const CONCENTRATED_RATE_FACTOR = 3;

const MAX_TAKE_UPS = 5;
/** The pause of a caller whose try was refused. */
const TAKE_UP_RETRY_MS = 500;
const CRASHING_EVERY_MS = 350;
const LATE_STREAM_EVERY_MS = 300;
const UPLOAD_EVERY_MS = 700;

/** Draws arrivals and sends the requests; owns the callers. */
export class Traffic {
  private readonly callers: Caller[];
  private readonly source: () => number;
  private readonly nextArrivalMs: () => number;
  private readonly rotation: Rotation;
  private readonly draw: RequestDraw;
  private readonly stopping = new AbortController();
  private timer: NodeJS.Timeout | undefined;
  private takeUps = 0;
  private crashingParts = 0;
  private readonly inFlight = new Set<Promise<void>>();
  /** Chooses the instance of most new connections, if there is such. */
  private concentratedOn: number | undefined;

  constructor(private readonly options: TrafficOptions) {
    const {seed, operator, nowMs, instances, requestsPerS} = options;
    this.callers = Array.from(
      {length: options.callers},
      () => new Caller(nowMs),
    );
    this.source = randomLcg(seed);
    // Each caller that waits before its first request adds a listener.
    setMaxListeners(0, this.stopping.signal);
    this.draw = new RequestDraw({seed, source: this.source, operator, nowMs});
    this.rotation = new Rotation(instances);
    this.nextArrivalMs = randomExponential.source(this.source)(
      requestsPerS / 1000,
    );
  }

  start(): void {
    this.rotation.start();
    this.scheduleNext();
  }

  /** Stops sending and waits for the requests in flight. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    this.rotation.stop();
    this.stopping.abort();
    await Promise.all(this.inFlight);
    for (const caller of this.callers) caller.close();
  }

  /**
   * Repeats a request that crashes endpoints at any instance.
   *
   * @returns a function that ends it.
   */
  repeatCrashing(): () => void {
    const {instances} = this.options;
    const drawn = this.draw.drawCrashing(instances[0]);
    const timer = setInterval(() => {
      const instance = this.pick(instances);
      const sending = this.sendOnce(instance, drawn);
      this.inFlight.add(sending);
      void sending.finally(() => this.inFlight.delete(sending));
    }, CRASHING_EVERY_MS);
    return () => clearInterval(timer);
  }

  /**
   * Lets most new connections go to one of the instances in rotation, and
   * callers open more of them: those of a data centre, or of all.
   *
   * @returns a function that ends it.
   */
  concentrate(target: number): () => void {
    this.concentratedOn = target;
    return () => (this.concentratedOn = undefined);
  }

  /**
   * Sends prompts with a part that crashes engines, no two alike, to any
   * instance.
   *
   * @returns a function that ends it.
   */
  sendCrashingPart(): () => void {
    const {instances} = this.options;
    this.draw.sendsParts = true;
    this.crashingParts += 1;
    const part = `crashing-${this.crashingParts}`;
    const timer = setInterval(() => {
      const instance = this.pick(instances);
      const drawn = this.draw.drawCrashingPart(instance, part);
      const sending = this.sendOnce(instance, drawn);
      this.inFlight.add(sending);
      void sending.finally(() => this.inFlight.delete(sending));
    }, CRASHING_EVERY_MS);
    return () => clearInterval(timer);
  }

  /**
   * Sends streams that last nearly as long as the grace time, to any instance.
   *
   * @returns a function that ends it.
   */
  sendLateStreams(): () => void {
    return this.sendEach(LATE_STREAM_EVERY_MS, instance =>
      this.draw.drawLateStream(instance),
    );
  }

  /**
   * Sends requests with large bodies to any instance.
   *
   * @returns a function that ends it.
   */
  sendUploads(): () => void {
    return this.sendEach(UPLOAD_EVERY_MS, instance =>
      this.draw.drawUpload(instance),
    );
  }

  private sendEach(
    everyMs: number,
    draw: (instance: Instance) => DrawnRequest,
  ): () => void {
    const timer = setInterval(() => {
      const instance = this.pick(this.options.instances);
      const sending = this.sendOnce(instance, draw(instance));
      this.inFlight.add(sending);
      void sending.finally(() => this.inFlight.delete(sending));
    }, everyMs);
    return () => clearInterval(timer);
  }

  private async sendOnce(
    instance: Instance,
    drawn: DrawnRequest,
  ): Promise<void> {
    const caller = new Caller(this.options.nowMs);
    if (await caller.connectTo(instance)) {
      await this.send(caller, this.draw.repeat(drawn, instance));
    }
    caller.close();
  }

  private scheduleNext(): void {
    this.timer = setTimeout(
      () => {
        this.scheduleNext();
        const sending = this.sendOne();
        this.inFlight.add(sending);
        void sending.finally(() => this.inFlight.delete(sending));
      },
      this.nextArrivalMs() /
        (this.concentratedOn === undefined ? 1 : CONCENTRATED_RATE_FACTOR),
    );
  }

  private async sendOne(): Promise<void> {
    const idle = this.callers.filter(({isBusy}) => !isBusy);
    if (idle.length === 0) return;
    const caller = this.pick(idle);
    caller.isBusy = true;
    if (await this.ensureConnection(caller)) await this.useConnection(caller);
    else this.recordUnconnected(caller);
    caller.isBusy = false;
  }

  /** Keeps the caller's connection or opens one; false when it was refused. */
  private async ensureConnection(caller: Caller): Promise<boolean> {
    const isKept =
      caller.hasConnection && this.source() >= this.newConnectionShare;
    if (isKept) return true;
    if (!(await this.connect(caller))) return false;
    if (this.source() >= EARLY_CONNECTION_SHARE) return true;
    await this.waitBeforeFirstRequest();
    return caller.hasConnection || this.connect(caller);
  }

  private get newConnectionShare(): number {
    return this.concentratedOn === undefined
      ? NEW_CONNECTION_SHARE
      : CONCENTRATED_SHARE;
  }

  /** The instance for a new connection of a caller. */
  private chooseInstance(candidates: readonly Instance[]): Instance {
    const {concentratedOn} = this;
    if (concentratedOn === undefined || this.source() >= CONCENTRATED_SHARE)
      return this.pick(candidates);
    const isOfAll = concentratedOn % 2 === 0;
    const chosenFrom = isOfAll ? this.rotation.candidatesFor(0) : candidates;
    return chosenFrom[concentratedOn % chosenFrom.length];
  }

  private async waitBeforeFirstRequest(): Promise<void> {
    const {signal} = this.stopping;
    await pause(this.source() * MAX_FIRST_REQUEST_DELAY_MS, undefined, {
      signal,
    }).catch(() => undefined);
  }

  /** Tries a second instance when the first one refuses the connection. */
  private async connect(caller: Caller): Promise<boolean> {
    const candidates = this.rotation.candidatesFor(
      this.callers.indexOf(caller),
    );
    const first = this.chooseInstance(candidates);
    if (await caller.connectTo(first)) return true;
    const isElsewhere = (instance: Instance) => instance !== first;
    const others = candidates.filter(isElsewhere);
    const next =
      others.length > 0 ? others : this.options.instances.filter(isElsewhere);
    return next.length > 0 && caller.connectTo(this.pick(next));
  }

  private async useConnection(caller: Caller): Promise<void> {
    let drawn = this.draw.drawFor(caller.instance!);
    await this.send(caller, drawn);
    while (await this.sendsNextAtOnce(caller, drawn)) {
      drawn = this.draw.drawLongStream(caller.instance!);
      await this.send(caller, drawn);
    }
  }

  private async send(caller: Caller, drawn: DrawnRequest): Promise<void> {
    this.options.history.requests.push(drawn.request);
    await caller.send(drawn);
    if (drawn.request.takesUp === undefined) await this.takeUp(drawn);
  }

  /** Takes up a stream that was broken off, at one instance after another. */
  private async takeUp(drawn: DrawnRequest): Promise<void> {
    const {instances, nowMs} = this.options;
    let last = drawn;
    for (let tries = 0; tries < MAX_TAKE_UPS; tries += 1) {
      this.takeUps += 1;
      const instance = instances[this.takeUps % instances.length];
      if (!mayTakeUp(last.request)) return;
      if (last.request.outcome?.kind === 'answered') {
        await pause(TAKE_UP_RETRY_MS);
      }
      const caller = new Caller(nowMs);
      const isConnected = await caller.connectTo(instance);
      const next = this.draw.takeUp(last, instance);
      if (isConnected && next !== undefined) await this.send(caller, next);
      caller.close();
      if (next === undefined) return;
      if (isConnected) last = next;
    }
  }

  /**
   * Whether a caller sends the next request as soon as its stream has ended.
   */
  private async sendsNextAtOnce(
    caller: Caller,
    drawn: DrawnRequest,
  ): Promise<boolean> {
    const {outcome} = drawn.request;
    if (!drawn.isLong || outcome?.kind !== 'answered') return false;
    if (this.stopping.signal.aborted) return false;
    // Node.js frees the connection only after it has emitted the answer's end.
    await new Promise(done => setImmediate(done));
    return caller.hasConnection && this.source() < IMMEDIATE_NEXT_SHARE;
  }

  private recordUnconnected(caller: Caller): void {
    const {request} = this.draw.drawFor(caller.instance!);
    request.outcome = {kind: 'not_connected'};
    request.endedAtMs = request.sentAtMs;
    this.options.history.requests.push(request);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.source() * items.length)];
  }
}
