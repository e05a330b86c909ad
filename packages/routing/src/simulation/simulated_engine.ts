/** Simulates an engine that runs the most urgent waiting requests first. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {ReportedLoad} from '../endpoint_monitor.js';

/** A request at a simulated engine. */
export interface SimulatedRequest {
  readonly endpoint: EndpointId;
  /** 0 is served first. */
  readonly tier: number;
  readonly atMs: number;
  /** When its caller leaves, unless the engine has begun. */
  readonly leavesAtMs: number;
  /**
   * How long the engine reads its prompt (0). An engine reads one prompt at a
   * time, in the order in which requests got their slots.
   */
  readonly prefillMs?: number;
  /** How long it takes on an engine that runs nothing else. */
  readonly durationMs: number;
  begunAtMs: number | undefined;
  /** Called when it has ended or its caller has left. */
  readonly onEnd: () => void;
}

/** Load that an engine reported with an answer. */
export interface AnsweredLoad {
  readonly load: ReportedLoad;
  readonly atMs: number;
}

/** A time during which an engine neither begins nor ends anything. */
export interface SimulatedStall {
  readonly fromMs: number;
  readonly untilMs: number;
}

interface Running {
  readonly request: SimulatedRequest;
  readonly beginsAtMs: number;
  readonly endsAtMs: number;
}

/** Share by which requests take longer on a full engine than on an idle one. */
const FULL_SLOWDOWN_SHARE = 0.5;

/** Time moves forward with {@link advance} and {@link add}. */
export class SimulatedEngine {
  /** Load reported by the latest answer, and the time at which it began. */
  answered: AnsweredLoad | undefined;
  private running: Running[] = [];
  private waiting: SimulatedRequest[] = [];
  private stall: SimulatedStall | undefined;
  /** When it has read the prompts of all running requests. */
  private readUntilMs = 0;

  constructor(private readonly capacity: number) {}

  add(request: SimulatedRequest): void {
    this.advance(request.atMs);
    this.waiting.push(request);
    if (!this.isStalled(request.atMs)) this.beginWaiting(request.atMs);
  }

  /** Lets the engine stand still; stalls must not overlap. */
  stallDuring(stall: SimulatedStall): void {
    this.advance(stall.fromMs);
    this.stall = stall;
  }

  /** Ends and begins all requests that are due until a time. */
  advance(untilMs: number): void {
    if (this.isStalled(untilMs)) {
      this.dropAbandoned(untilMs);
      return;
    }
    this.resume();
    for (;;) {
      const next = this.running.reduce<Running | undefined>(
        (first, each) =>
          first === undefined || dueAt(each) < dueAt(first) ? each : first,
        undefined,
      );
      if (next === undefined || dueAt(next) > untilMs) break;
      this.take(next);
    }
    this.dropAbandoned(untilMs);
  }

  /** The next thing that happens to a running request. */
  private take(next: Running): void {
    const {request, beginsAtMs, endsAtMs} = next;
    const atMs = dueAt(next);
    if (request.begunAtMs === undefined && beginsAtMs <= request.leavesAtMs) {
      request.begunAtMs = beginsAtMs;
      this.report(beginsAtMs);
      if (endsAtMs > beginsAtMs) return;
    }
    this.running = this.running.filter(each => each !== next);
    request.onEnd();
    this.beginWaiting(atMs);
  }

  private isStalled(nowMs: number): boolean {
    const {stall} = this;
    return (
      stall !== undefined && nowMs >= stall.fromMs && nowMs < stall.untilMs
    );
  }

  /** After a stall, what was running goes on from where it was. */
  private resume(): void {
    const {stall} = this;
    if (stall === undefined) return;
    this.stall = undefined;
    const lengthMs = stall.untilMs - stall.fromMs;
    this.readUntilMs += lengthMs;
    this.running = this.running.map(each => ({
      ...each,
      beginsAtMs: each.beginsAtMs + lengthMs,
      endsAtMs: each.endsAtMs + lengthMs,
    }));
    this.beginWaiting(stall.untilMs);
  }

  private beginWaiting(nowMs: number): void {
    this.dropAbandoned(nowMs);
    while (this.running.length < this.capacity && this.waiting.length > 0) {
      const request = this.waiting.reduce((first, each) =>
        each.tier < first.tier ? each : first,
      );
      this.waiting = this.waiting.filter(each => each !== request);
      this.admit(request, nowMs);
    }
  }

  private admit(request: SimulatedRequest, nowMs: number): void {
    const {prefillMs = 0} = request;
    const fullness = this.running.length / this.capacity;
    const durationMs =
      request.durationMs * (1 + FULL_SLOWDOWN_SHARE * fullness);
    this.readUntilMs = Math.max(this.readUntilMs, nowMs) + prefillMs;
    const beginsAtMs = prefillMs === 0 ? nowMs : this.readUntilMs;
    const running = {request, beginsAtMs, endsAtMs: beginsAtMs + durationMs};
    this.running.push(running);
    if (beginsAtMs <= nowMs) this.take(running);
  }

  private report(atMs: number): void {
    const load = {
      running: this.running.length,
      waiting: this.waiting.length,
      capacity: this.capacity,
    };
    this.answered = {load, atMs};
  }

  private dropAbandoned(nowMs: number): void {
    const abandoned = this.waiting.filter(
      ({leavesAtMs}) => leavesAtMs <= nowMs,
    );
    if (abandoned.length === 0) return;
    this.waiting = this.waiting.filter(each => !abandoned.includes(each));
    for (const {onEnd} of abandoned) onEnd();
  }
}

/** When a running request begins, ends, or is abandoned by its caller. */
function dueAt({request, beginsAtMs, endsAtMs}: Running): number {
  if (request.begunAtMs !== undefined) return endsAtMs;
  return Math.min(beginsAtMs, request.leavesAtMs);
}
