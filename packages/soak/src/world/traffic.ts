/** Callers that come at random and go to instances that are in rotation. */

import {randomExponential, randomInt, randomLcg} from 'd3-random';
import {digest} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {Route} from '@snipestage/routing/route.js';
import type {History, SentRequest} from '../history.js';
import {Caller} from './caller.js';
import type {Instance} from './instance.js';
import {HOST, markerPath, ROUTES, type Operator} from './operator.js';

/** What {@link Traffic} is made from. */
export interface TrafficOptions {
  readonly seed: number;
  readonly requestsPerS: number;
  readonly callers: number;
  readonly instances: readonly Instance[];
  readonly operator: Operator;
  readonly history: History;
  readonly nowMs: () => number;
}

const PROBE_EVERY_MS = 1000;
/** Misses in a row after which an instance is out of rotation. */
const MISSES = 2;
const MARKER_SHARE = 0.1;
const LEAVING_SHARE = 0.05;
/** Some wait for longer than an instance that stops may go on. */
const PATIENCES_MS = [1500, 2500, 9000] as const;
const BODY_CHARACTERS = 600;
const PROMPT_TOKENS = [400, 1500, 6000] as const;

/** Draws arrivals and sends them; owns the callers. */
export class Traffic {
  private readonly callers: Caller[];
  private readonly misses = new Map<Instance, number>();
  private readonly source: () => number;
  private readonly nextArrivalMs: () => number;
  private timer: NodeJS.Timeout | undefined;
  private probe: NodeJS.Timeout | undefined;
  private sent = 0;
  private readonly underWay = new Set<Promise<void>>();

  constructor(private readonly options: TrafficOptions) {
    this.callers = Array.from({length: options.callers}, () => new Caller());
    this.source = randomLcg(options.seed);
    this.nextArrivalMs = randomExponential.source(this.source)(
      options.requestsPerS / 1000,
    );
  }

  start(): void {
    this.probe = setInterval(() => void this.probeAll(), PROBE_EVERY_MS);
    this.scheduleNext();
  }

  /** Sends no more and waits for what is under way. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    clearInterval(this.probe);
    await Promise.all(this.underWay);
    for (const caller of this.callers) caller.close();
  }

  private scheduleNext(): void {
    this.timer = setTimeout(() => {
      this.scheduleNext();
      const sending = this.sendOne();
      this.underWay.add(sending);
      void sending.finally(() => this.underWay.delete(sending));
    }, this.nextArrivalMs());
  }

  /** An instance is out after two misses, and in again with the next hit. */
  private async probeAll(): Promise<void> {
    await Promise.all(
      this.options.instances.map(async instance => {
        const isReady = await instance.isReady();
        const misses = this.misses.get(instance) ?? 0;
        this.misses.set(instance, isReady ? 0 : misses + 1);
      }),
    );
  }

  private async sendOne(): Promise<void> {
    const idle = this.callers.filter(({isBusy}) => !isBusy);
    if (idle.length === 0) return;
    const caller = this.pick(idle);
    if (!caller.hasConnection) caller.moveTo(this.pick(this.inRotation()));
    const route = this.pick(ROUTES);
    const isMarker =
      this.options.operator.markerCount > 0 && this.source() < MARKER_SHARE;
    const body = isMarker || route.kind === 'idempotent' ? '' : this.drawBody();
    const request = this.describe(caller, route, isMarker, body);
    const mayLeave = !isMarker && this.source() < LEAVING_SHARE;
    this.options.history.requests.push(request);
    await caller.send({
      request,
      body,
      promptTokens:
        request.kind === 'stream' ? this.pick(PROMPT_TOKENS) : undefined,
      leavesAfterMs: mayLeave ? this.source() * request.waitsForMs : undefined,
      nowMs: this.options.nowMs,
    });
  }

  private describe(
    caller: Caller,
    route: Route,
    isMarker: boolean,
    body: string,
  ): SentRequest {
    const {operator, nowMs, seed} = this.options;
    const instance = caller.instance!;
    const marker = isMarker
      ? 1 + randomInt.source(this.source)(operator.markerCount)()
      : undefined;
    this.sent += 1;
    const prefix = marker === undefined ? route.pathPrefix : markerPath(marker);
    return {
      requestId: `r${seed}-${this.sent}`,
      instance: instance.id,
      life: instance.life,
      kind: isMarker ? 'idempotent' : route.kind,
      isResumable: !isMarker && route.isResumable,
      maxAttempts: route.maxAttempts,
      path: `${prefix}${this.sent}?host=${HOST}`,
      bodyDigest: digest(body),
      ...this.pick(operator.keys),
      marker,
      waitsForMs: this.pick(PATIENCES_MS),
      sentAtMs: nowMs(),
    };
  }

  private inRotation(): readonly Instance[] {
    const {instances} = this.options;
    const ready = instances.filter(
      instance => (this.misses.get(instance) ?? 0) < MISSES,
    );
    // With fewer than half in rotation the balancer uses all.
    return ready.length * 2 < instances.length ? instances : ready;
  }

  private drawBody(): string {
    const length = Math.ceil(this.source() * BODY_CHARACTERS);
    return this.source().toString(36).padEnd(length, 'x');
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.source() * items.length)];
  }
}
