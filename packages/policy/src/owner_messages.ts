/**
 * What an instance tells whoever decides at a cell, and tells again in case it
 * was lost; and how it notices that no answer comes.
 */

import type {CellInput} from './cell_messages.js';
import type {ClientFallback} from './client_fallback.js';
import type {ClientState} from './client_state.js';
import {OwnerWatch} from './owner_watch.js';
import type {WaitingAsk} from './waiting_asks.js';

const DEFAULT_OWNER_SILENT_AFTER_MS = 700;
const DEFAULT_REPEAT_ASK_MS = 300;
const DEFAULT_REPEAT_IN_USE_MS = 5000;
const DEFAULT_PROGRESS_EVERY_MS = 500;
/** Asks said again in one tick. */
const MAX_REPEATED_ASKS = 2;

/** When messages are sent or sent again, and silence is noticed. */
export interface OwnerMessageTimes {
  /** Silence after what an owner always answers; then it is taken as lost. */
  readonly ownerSilentAfterMs?: number;
  readonly repeatAskMs?: number;
  readonly repeatInUseMs?: number;
  /** How often the owner is told of tokens produced. */
  readonly progressEveryMs?: number;
}

/** What an {@link OwnerMessages} is made from. */
export interface OwnerMessagesOptions extends OwnerMessageTimes {
  readonly state: ClientState;
  readonly fallback: ClientFallback;
}

/**
 * Puts the messages into the outputs of the state; sends nothing itself.
 *
 * @example
 * const messages = new OwnerMessages({state, fallback});
 * messages.tell({kind: 'withdraw', attempt}, nowMs);
 */
export class OwnerMessages {
  private readonly state: ClientState;
  private readonly fallback: ClientFallback;
  private readonly times: Required<OwnerMessageTimes>;
  private readonly watch: OwnerWatch;
  private toldInUseAtMs = -Infinity;
  private toldProgressAtMs = -Infinity;

  constructor(options: OwnerMessagesOptions) {
    this.state = options.state;
    this.fallback = options.fallback;
    this.times = {
      ownerSilentAfterMs:
        options.ownerSilentAfterMs ?? DEFAULT_OWNER_SILENT_AFTER_MS,
      repeatAskMs: options.repeatAskMs ?? DEFAULT_REPEAT_ASK_MS,
      repeatInUseMs: options.repeatInUseMs ?? DEFAULT_REPEAT_IN_USE_MS,
      progressEveryMs: options.progressEveryMs ?? DEFAULT_PROGRESS_EVERY_MS,
    };
    this.watch = new OwnerWatch(this.times.ownerSilentAfterMs);
  }

  /** The owner has said something, or another one has come. */
  heard(): void {
    this.watch.heard();
  }

  isOwnerSilent(nowMs: number): boolean {
    return this.watch.isSilent(nowMs);
  }

  /** Tells whoever decides; the owner too when it is only silent. */
  tell(input: CellInput, nowMs: number): void {
    this.fallback.receive(input, nowMs);
    this.state.send(input);
  }

  /** Asks whoever decides, and only that one, for leave to run a request. */
  ask(request: WaitingAsk, nowMs: number): void {
    request.askedAtMs = nowMs;
    const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
    const input: CellInput = {kind: 'ask', ask: {...request.ask, remainingMs}};
    if (this.fallback.isActive) this.fallback.receive(input, nowMs);
    else this.state.send(input);
  }

  /** Asks for all that waits, once another than before decides. */
  askForAll(nowMs: number): void {
    for (const request of this.state.waiting.all()) this.ask(request, nowMs);
  }

  /**
   * A lost ask would wait for ever; and an owner that has nothing to say can't
   * be told from a dead one unless it is asked something that it answers.
   */
  repeatAsks(nowMs: number): void {
    const {repeatAskMs} = this.times;
    const due = this.state.waiting
      .all()
      .filter(({askedAtMs}) => nowMs - askedAtMs >= repeatAskMs);
    for (const request of due.slice(0, MAX_REPEATED_ASKS)) {
      this.watch.asked(nowMs);
      this.ask(request, nowMs);
    }
  }

  tellInUse(nowMs: number): void {
    this.toldInUseAtMs = nowMs;
    this.watch.asked(nowMs);
    this.state.sendInUse();
  }

  /** More often while the owner is silent, so that its return is noticed. */
  repeatInUse(nowMs: number): void {
    const {repeatAskMs, repeatInUseMs} = this.times;
    const everyMs = this.fallback.isActive ? repeatAskMs : repeatInUseMs;
    if (nowMs - this.toldInUseAtMs >= everyMs) this.tellInUse(nowMs);
  }

  /** Does nothing until it is time again, so that it may be called often. */
  tellProgress(nowMs: number): void {
    if (nowMs - this.toldProgressAtMs < this.times.progressEveryMs) return;
    this.toldProgressAtMs = nowMs;
    const progress = this.state.running.takeProgress();
    if (progress.length === 0) return;
    const {instance} = this.state;
    this.tell({kind: 'progress', instance, progress}, nowMs);
  }
}
