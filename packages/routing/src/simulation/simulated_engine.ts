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

interface Running {
  readonly request: SimulatedRequest;
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

  constructor(private readonly capacity: number) {}

  add(request: SimulatedRequest): void {
    this.advance(request.atMs);
    this.waiting.push(request);
    this.beginWaiting(request.atMs);
  }

  /** Ends and begins all requests that are due until a time. */
  advance(untilMs: number): void {
    for (;;) {
      const next = this.running.reduce<Running | undefined>(
        (first, each) =>
          first === undefined || each.endsAtMs < first.endsAtMs ? each : first,
        undefined,
      );
      if (next === undefined || next.endsAtMs > untilMs) break;
      this.running = this.running.filter(each => each !== next);
      next.request.onEnd();
      this.beginWaiting(next.endsAtMs);
    }
    this.dropAbandoned(untilMs);
  }

  private beginWaiting(nowMs: number): void {
    this.dropAbandoned(nowMs);
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
    const durationMs =
      request.durationMs * (1 + FULL_SLOWDOWN_SHARE * fullness);
    request.begunAtMs = nowMs;
    this.running.push({request, endsAtMs: nowMs + durationMs});
    const load = {
      running: this.running.length,
      waiting: this.waiting.length,
      capacity: this.capacity,
    };
    this.answered = {load, atMs: nowMs};
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
