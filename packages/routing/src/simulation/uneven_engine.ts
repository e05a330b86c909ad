/** Simulates an engine whose machine has its own speed and slow moments. */

import type {ReportedLoad} from '../endpoint_monitor.js';
import type {Prompt} from '../prompt.js';
import {countSharedTokens, deepestSharedPart} from '../prompt.js';

/** A stream at an engine. */
export interface UnevenStream {
  readonly prompt: Prompt;
  /** From which it fetches the shared part if it lacks it. */
  readonly source: UnevenEngine | undefined;
  readonly sentAtMs: number;
  readonly events: number;
  /** Times of its events so far. */
  readonly eventsAtMs: number[];
  /** With the first event. */
  onHead(load: ReportedLoad, nowMs: number): void;
  onFirstEvent(nowMs: number): void;
  onEnd(nowMs: number): void;
}

/** Options of {@link UnevenEngine}. */
export interface UnevenEngineOptions {
  /** Duration of work there, relative to an engine of usual speed. */
  readonly speed: number;
  readonly capacity: number;
  /** At least 0 and below 1. */
  readonly random: () => number;
}

const READ_TOKENS_PER_MS = 56;
const STEP_MS = 6.5;
const TOKENS_PER_EVENT = 3;
/** Growth of a step per running request. */
const GROWTH_PER_REQUEST = 0.015;
/** Share of the time to read a shared part that fetching it saves. */
const FETCHED_SAVING = 0.8;
const MOMENT_MS = 600;
const SLOW_MOMENT_SHARE = 0.15;
const SLOW_MOMENT_RATIO = 2.5;

interface Running {
  readonly stream: UnevenStream;
  tokens: number;
}

/**
 * Reads one whole prompt between two steps of its streams. Time moves forward
 * with {@link advance}.
 */
export class UnevenEngine {
  private readonly waiting: UnevenStream[] = [];
  private running: Running[] = [];
  private readonly cached = new Set<string>();
  private nowMs = 0;
  private momentUntilMs = 0;
  private moment = 1;

  constructor(private readonly options: UnevenEngineOptions) {}

  add(stream: UnevenStream, nowMs: number): void {
    this.advance(nowMs);
    this.nowMs = Math.max(this.nowMs, nowMs);
    this.waiting.push(stream);
  }

  advance(untilMs: number): void {
    while (this.nowMs < untilMs && this.waiting.length + this.running.length) {
      this.read();
      this.step();
    }
  }

  get load(): ReportedLoad {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      capacity: this.options.capacity,
      workTimeRatio: this.moment,
    };
  }

  private read(): void {
    if (this.running.length >= this.options.capacity) return;
    const stream = this.waiting.shift();
    if (stream === undefined) return;
    const {prompt, source} = stream;
    const part = deepestSharedPart(prompt)?.id ?? '';
    const isFetched = source?.cached.has(part) ?? false;
    const share = this.cached.has(part) ? 1 : isFetched ? FETCHED_SAVING : 0;
    const saved = countSharedTokens(prompt) * share;
    this.cached.add(part);
    this.work((prompt.tokens - saved) / READ_TOKENS_PER_MS);
    this.running.push({stream, tokens: TOKENS_PER_EVENT - 1});
    stream.onHead(this.load, this.nowMs);
  }

  private step(): void {
    this.work(STEP_MS * (1 + GROWTH_PER_REQUEST * this.running.length));
    for (const each of this.running) {
      each.tokens += 1;
      if (each.tokens % TOKENS_PER_EVENT !== 0) continue;
      const {stream} = each;
      stream.eventsAtMs.push(this.nowMs);
      if (stream.eventsAtMs.length === 1) stream.onFirstEvent(this.nowMs);
    }
    const ended = this.running.filter(
      ({stream}) => stream.eventsAtMs.length >= stream.events,
    );
    this.running = this.running.filter(each => !ended.includes(each));
    for (const {stream} of ended) stream.onEnd(this.nowMs);
  }

  private work(usualMs: number): void {
    const {speed, random} = this.options;
    let left = usualMs * speed;
    while (left > 0) {
      if (this.nowMs >= this.momentUntilMs) {
        this.moment = random() < SLOW_MOMENT_SHARE ? SLOW_MOMENT_RATIO : 1;
        this.momentUntilMs = this.nowMs + MOMENT_MS * (0.5 + random());
      }
      const untilMs = this.momentUntilMs - this.nowMs;
      const done = Math.min(left, untilMs / this.moment);
      left -= done;
      this.nowMs += done * this.moment;
    }
  }
}
