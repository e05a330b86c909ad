/**
 * Messages of an instance to the owner of a cell or to its own fallback, their
 * repetition in case they were lost, and the detection of a silent owner.
 */

import type {CellInput} from './cell_messages.js';
import type {ClientFallback} from './client_fallback.js';
import type {ClientState} from './client_state.js';
import {OwnerSilenceDetector} from './owner_silence_detector.js';
import type {PendingRequest} from './pending_requests.js';

const DEFAULT_OWNER_SILENT_AFTER_MS = 700;
const DEFAULT_REPEAT_REQUEST_MS = 300;
const DEFAULT_REPEAT_IN_USE_MS = 5000;
const DEFAULT_PROGRESS_EVERY_MS = 500;
/** Most requests that are repeated in one tick. */
const MAX_REPEATED_REQUESTS_PER_TICK = 2;

/** Intervals of messages and their repetition, and the silence time-out. */
export interface OwnerMessageTimes {
  /**
   * Silence after a message that requires an answer until the owner counts as
   * lost.
   */
  readonly ownerSilentAfterMs?: number;
  readonly repeatRequestMs?: number;
  readonly repeatInUseMs?: number;
  /** Interval of progress messages to the owner. */
  readonly progressEveryMs?: number;
}

/** Options of {@link OwnerMessages}. */
export interface OwnerMessagesOptions extends OwnerMessageTimes {
  readonly state: ClientState;
  readonly fallback: ClientFallback;
}

/**
 * Adds the messages to the outputs of the state; sends nothing itself.
 *
 * @example
 * const messages = new OwnerMessages({state, fallback});
 * messages.notify({kind: 'withdraw', attempt}, nowMs);
 */
export class OwnerMessages {
  private readonly state: ClientState;
  private readonly fallback: ClientFallback;
  private readonly times: Required<OwnerMessageTimes>;
  private readonly silenceDetector: OwnerSilenceDetector;
  private inUseSentAtMs = -Infinity;
  private progressSentAtMs = -Infinity;

  constructor(options: OwnerMessagesOptions) {
    this.state = options.state;
    this.fallback = options.fallback;
    this.times = {
      ownerSilentAfterMs:
        options.ownerSilentAfterMs ?? DEFAULT_OWNER_SILENT_AFTER_MS,
      repeatRequestMs: options.repeatRequestMs ?? DEFAULT_REPEAT_REQUEST_MS,
      repeatInUseMs: options.repeatInUseMs ?? DEFAULT_REPEAT_IN_USE_MS,
      progressEveryMs: options.progressEveryMs ?? DEFAULT_PROGRESS_EVERY_MS,
    };
    this.silenceDetector = new OwnerSilenceDetector(
      this.times.ownerSilentAfterMs,
    );
  }

  /** Records a message from the owner, or a change of owner. */
  resetSilence(): void {
    this.silenceDetector.reset();
  }

  isOwnerSilent(nowMs: number): boolean {
    return this.silenceDetector.isSilent(nowMs);
  }

  /** Passes a message to the fallback, if active, and to the owner, if any. */
  notify(input: CellInput, nowMs: number): void {
    this.fallback.receive(input, nowMs);
    this.state.send(input);
  }

  /**
   * Requests a permit from the fallback if it is active, else from the owner.
   */
  ask(request: PendingRequest, nowMs: number): void {
    request.lastSentAtMs = nowMs;
    const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
    const input: CellInput = {kind: 'ask', ask: {...request.ask, remainingMs}};
    if (this.fallback.isActive) this.fallback.receive(input, nowMs);
    else this.state.send(input);
  }

  /**
   * Requests permits for all waiting requests, after a change of who decides.
   */
  requestAllWaiting(nowMs: number): void {
    for (const request of this.state.waiting.all()) this.ask(request, nowMs);
  }

  /**
   * Repeats requests for permits, as a lost one would wait for ever. An owner
   * answers the repetition of a request that it has queued, so that an owner
   * that has nothing to send can be distinguished from a dead one.
   */
  repeatRequests(nowMs: number): void {
    const {repeatRequestMs} = this.times;
    const due = this.state.waiting
      .all()
      .filter(({lastSentAtMs}) => nowMs - lastSentAtMs >= repeatRequestMs);
    for (const request of due.slice(0, MAX_REPEATED_REQUESTS_PER_TICK)) {
      this.silenceDetector.replyExpected(nowMs);
      this.ask(request, nowMs);
    }
  }

  sendInUse(nowMs: number): void {
    this.inUseSentAtMs = nowMs;
    this.silenceDetector.replyExpected(nowMs);
    this.state.sendInUse();
  }

  /**
   * Repeats more often during the fallback, so that an owner's return is
   * noticed.
   */
  repeatInUse(nowMs: number): void {
    const {repeatRequestMs, repeatInUseMs} = this.times;
    const everyMs = this.fallback.isActive ? repeatRequestMs : repeatInUseMs;
    if (nowMs - this.inUseSentAtMs >= everyMs) this.sendInUse(nowMs);
  }

  /**
   * Does nothing until the interval has passed, so that it may be called often.
   */
  sendProgress(nowMs: number): void {
    if (nowMs - this.progressSentAtMs < this.times.progressEveryMs) return;
    this.progressSentAtMs = nowMs;
    const progress = this.state.running.takeProgress();
    if (progress.length === 0) return;
    const {instance} = this.state;
    this.notify({kind: 'progress', instance, progress}, nowMs);
  }
}
