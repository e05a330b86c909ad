/** Callers that come at random and go where the balancer sends them. */

import {setMaxListeners} from 'node:events';
import {setTimeout as pause} from 'node:timers/promises';
import {randomExponential, randomLcg} from 'd3-random';
import type {History} from '../history.js';
import {Caller} from './caller.js';
import type {Instance} from './instance.js';
import type {Operator} from './operator.js';
import {RequestDraw, type DrawnRequest} from './request_draw.js';
import {Rotation} from './rotation.js';

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

/** The others use the connection that they have, as long as it lasts. */
const NEW_CONNECTION_SHARE = 0.3;
/** Of the new connections: the first request comes later. */
const EARLY_SHARE = 0.2;
/** As long as an instance may go on after it has been told to stop. */
const LONGEST_EARLY_MS = 7500;
/** After a long stream: its caller sends the next over the same connection. */
const NEXT_AT_ONCE_SHARE = 0.5;

/** Draws arrivals and sends them; owns the callers. */
export class Traffic {
  private readonly callers: Caller[];
  private readonly source: () => number;
  private readonly nextArrivalMs: () => number;
  private readonly rotation: Rotation;
  private readonly draw: RequestDraw;
  private readonly stopping = new AbortController();
  private timer: NodeJS.Timeout | undefined;
  private readonly underWay = new Set<Promise<void>>();

  constructor(private readonly options: TrafficOptions) {
    const {seed, operator, nowMs, instances, requestsPerS} = options;
    this.callers = Array.from(
      {length: options.callers},
      () => new Caller(nowMs),
    );
    this.source = randomLcg(seed);
    // Each caller that waits before its first request listens.
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

  /** Sends no more and waits for what is under way. */
  async stop(): Promise<void> {
    clearTimeout(this.timer);
    this.rotation.stop();
    this.stopping.abort();
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

  private async sendOne(): Promise<void> {
    const idle = this.callers.filter(({isBusy}) => !isBusy);
    if (idle.length === 0) return;
    const caller = this.pick(idle);
    caller.isBusy = true;
    if (await this.findConnection(caller)) await this.useConnection(caller);
    else this.noteUnreached(caller);
    caller.isBusy = false;
  }

  /** Keeps the connection that it has or opens one. */
  private async findConnection(caller: Caller): Promise<boolean> {
    const isKept =
      caller.hasConnection && this.source() >= NEW_CONNECTION_SHARE;
    if (isKept) return true;
    if (!(await this.connect(caller))) return false;
    if (this.source() >= EARLY_SHARE) return true;
    await this.waitBeforeFirst();
    return caller.hasConnection || this.connect(caller);
  }

  private async waitBeforeFirst(): Promise<void> {
    const {signal} = this.stopping;
    await pause(this.source() * LONGEST_EARLY_MS, undefined, {signal}).catch(
      () => undefined,
    );
  }

  /** Where its connection is refused a caller opens one more, elsewhere. */
  private async connect(caller: Caller): Promise<boolean> {
    const candidates = this.rotation.candidatesFor(
      this.callers.indexOf(caller),
    );
    const first = this.pick(candidates);
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
    while (await this.goesOn(caller, drawn)) {
      drawn = this.draw.drawLongStream(caller.instance!);
      await this.send(caller, drawn);
    }
  }

  private async send(caller: Caller, drawn: DrawnRequest): Promise<void> {
    this.options.history.requests.push(drawn.request);
    await caller.send(drawn);
  }

  /** Whether a caller sends the next request the moment its stream has ended. */
  private async goesOn(caller: Caller, drawn: DrawnRequest): Promise<boolean> {
    const {outcome} = drawn.request;
    if (!drawn.isLong || outcome?.kind !== 'answered') return false;
    if (this.stopping.signal.aborted) return false;
    // Node.js frees the connection after it has told of the answer's end.
    await new Promise(done => setImmediate(done));
    return caller.hasConnection && this.source() < NEXT_AT_ONCE_SHARE;
  }

  private noteUnreached(caller: Caller): void {
    const {request} = this.draw.drawFor(caller.instance!);
    request.outcome = {kind: 'not_connected'};
    request.endedAtMs = request.sentAtMs;
    this.options.history.requests.push(request);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.source() * items.length)];
  }
}
