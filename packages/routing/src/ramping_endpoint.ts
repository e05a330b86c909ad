/** An endpoint that is ramping up, and what its answers show of it. */

import type {AnswerTimes} from './answer_times.js';
import type {EndpointMonitor} from './endpoint_monitor.js';
import type {ObservedAttempt} from './load_correction.js';
import {countSharedTokens} from './prompt.js';
import type {ServingEndpoint} from './serving_endpoint.js';
import {LATE_RATIO, type SettledPeers} from './settled_peers.js';
import type {RampSign, StartRamp} from './start_ramp.js';

/** Options of {@link RampingEndpoint}. */
export interface RampingEndpointOptions {
  readonly ramp: StartRamp;
  readonly times: AnswerTimes;
  readonly peers: SettledPeers;
  readonly monitor: EndpointMonitor;
  readonly onHalved: (nowMs: number) => void;
}

/** Judges the answers and loads of one endpoint for its {@link StartRamp}. */
export class RampingEndpoint {
  readonly ramp: StartRamp;
  /** Attempts of this instance that have no first event yet. */
  private readonly pending = new Set<ObservedAttempt>();
  /** Time of the latest load that was judged. */
  private judgedLoadAtMs: number;

  constructor(
    readonly endpoint: ServingEndpoint,
    private readonly options: RampingEndpointOptions,
  ) {
    this.ramp = options.ramp;
    this.judgedLoadAtMs = options.ramp.sinceMs;
  }

  noteSent(attempt: ObservedAttempt): void {
    this.pending.add(attempt);
  }

  /** An attempt has its first event, or its whole answer. */
  noteFirstEvent(attempt: ObservedAttempt, nowMs: number): void {
    this.pending.delete(attempt);
    this.noteRatio(this.compareWait(attempt, nowMs), attempt, nowMs);
  }

  notePauses(
    attempt: ObservedAttempt,
    pausesMs: readonly number[],
    nowMs: number,
  ): void {
    const {service} = this.endpoint;
    const ratio = this.options.times.comparePauses(service, pausesMs);
    this.noteRatio(ratio, attempt, nowMs);
  }

  noteFailure({sentAtMs}: ObservedAttempt, nowMs: number): void {
    this.noteSign('late', sentAtMs, nowMs);
  }

  noteEnded(attempt: ObservedAttempt): void {
    this.pending.delete(attempt);
  }

  /** Judges the latest load, and attempts that have waited too long. */
  judge(nowMs: number): void {
    for (const attempt of this.pending) {
      const ratio = this.compareWait(attempt, nowMs);
      if (ratio === undefined || ratio <= LATE_RATIO) continue;
      this.pending.delete(attempt);
      this.noteSign('late', attempt.sentAtMs, nowMs);
    }
    const {monitor, peers} = this.options;
    const ageMs = monitor.loadAgeMs(this.endpoint.id, nowMs);
    if (ageMs === undefined || nowMs - ageMs <= this.judgedLoadAtMs) return;
    this.judgedLoadAtMs = nowMs - ageMs;
    const share = this.ramp.shareAt(nowMs);
    const sign = peers.judgeLoad(this.endpoint, share, nowMs);
    if (sign !== undefined) this.noteSign(sign, this.judgedLoadAtMs, nowMs);
  }

  /** Its cache counts as empty: it has to process whole prompts. */
  private compareWait(
    {prompt, sentAtMs}: ObservedAttempt,
    nowMs: number,
  ): number | undefined {
    return this.options.times.compareFirstEvent(
      this.endpoint.service,
      nowMs - sentAtMs,
      prompt?.tokens ?? 0,
    );
  }

  private noteRatio(
    ratio: number | undefined,
    {sentAtMs}: ObservedAttempt,
    nowMs: number,
  ): void {
    if (ratio === undefined) return;
    this.noteSign(ratio > LATE_RATIO ? 'late' : 'equal', sentAtMs, nowMs);
  }

  private noteSign(sign: RampSign, observedAtMs: number, nowMs: number): void {
    const isHalved = this.ramp.note(sign, observedAtMs, nowMs);
    if (isHalved) this.options.onHalved(nowMs);
  }
}

/**
 * Tokens that an endpoint with the shared parts in its cache processes.
 *
 * @example
 * times.noteFirstEvent(service, waitMs, countReadTokens(attempt));
 */
export function countReadTokens({prompt}: ObservedAttempt): number {
  return prompt === undefined ? 0 : prompt.tokens - countSharedTokens(prompt);
}
