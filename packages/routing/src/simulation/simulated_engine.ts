/** An engine that runs a number of requests at once, the most urgent first. */

import type {EndpointId} from '@snipestage/types/ids.js';
import type {ReportedLoad} from '../endpoint_monitor.js';

/** A request on its way through an engine. */
export interface SimulatedRequest {
  readonly endpoint: EndpointId;
  /** 0 is served first. */
  readonly tier: number;
  readonly atMs: number;
  /** Its caller leaves then, unless the engine has begun. */
  readonly leavesAtMs: number;
  /** How long an engine that runs nothing else works on it. */
  readonly durationMs: number;
  begunAtMs: number | undefined;
  /** It has ended or its caller has left. */
  readonly onOver: () => void;
}

/** What an engine said of its load with an answer. */
export interface AnsweredLoad {
  readonly load: ReportedLoad;
  readonly atMs: number;
}

interface Running {
  readonly request: SimulatedRequest;
  readonly endsAtMs: number;
}

/** Work takes this much longer with all places taken than with one. */
const SLOWDOWN_WHEN_FULL = 0.5;

/** Time moves forward with {@link advance} and {@link add}. */
export class SimulatedEngine {
  /** The latest answer began then, with this load. */
  answered: AnsweredLoad | undefined;
  private running: Running[] = [];
  private waiting: SimulatedRequest[] = [];

  constructor(private readonly capacity: number) {}

  add(request: SimulatedRequest): void {
    this.advance(request.atMs);
    this.waiting.push(request);
    this.beginWaiting(request.atMs);
  }

  /** Ends and begins what is due until a time. */
  advance(untilMs: number): void {
    for (;;) {
      const next = this.running.reduce<Running | undefined>(
        (first, each) =>
          first === undefined || each.endsAtMs < first.endsAtMs ? each : first,
        undefined,
      );
      if (next === undefined || next.endsAtMs > untilMs) break;
      this.running = this.running.filter(each => each !== next);
      next.request.onOver();
      this.beginWaiting(next.endsAtMs);
    }
    this.dropLeft(untilMs);
  }

  private beginWaiting(nowMs: number): void {
    this.dropLeft(nowMs);
    while (this.running.length < this.capacity && this.waiting.length > 0) {
      const request = this.waiting.reduce((first, each) =>
        each.tier < first.tier ? each : first,
      );
      this.waiting = this.waiting.filter(each => each !== request);
      this.begin(request, nowMs);
    }
  }

  private begin(request: SimulatedRequest, nowMs: number): void {
    const fullness = this.running.length / this.capacity;
    const durationMs = request.durationMs * (1 + SLOWDOWN_WHEN_FULL * fullness);
    request.begunAtMs = nowMs;
    this.running.push({request, endsAtMs: nowMs + durationMs});
    const load = {
      running: this.running.length,
      waiting: this.waiting.length,
      capacity: this.capacity,
    };
    this.answered = {load, atMs: nowMs};
  }

  private dropLeft(nowMs: number): void {
    const left = this.waiting.filter(({leavesAtMs}) => leavesAtMs <= nowMs);
    if (left.length === 0) return;
    this.waiting = this.waiting.filter(each => !left.includes(each));
    for (const {onOver} of left) onOver();
  }
}
