/** Moves one stream from an engine that leaves to another one. */

import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {RequestId} from '@snipestage/types/ids.js';
import type {MemoryHandle} from '../pass_through_protocol.js';
import type {MemoryCopyResult} from './memory_client.js';
import type {MigrationContext} from './migration_context.js';
import {MovedRun} from './moved_run.js';

/** Options of {@link StreamMove}. */
export interface StreamMoveOptions {
  readonly context: MigrationContext;
  readonly requestId: RequestId;
  readonly source: ServingEndpoint;
  readonly target: ServingEndpoint;
  /** When the move has to be complete. */
  readonly finishByMs: number;
  /** How long engines keep a copy. */
  readonly handleTtlMs: number;
  /** Whether the stream is still expected to be cut if it stays. */
  readonly isNeeded: () => boolean;
  /** Closes the stream from the source. */
  readonly closeStream: () => void;
}

/** What became of the run at the source after the final call. */
type FinalResult =
  | {readonly kind: 'stopped'; readonly run: MovedRun}
  | {readonly kind: 'running'}
  /** It may have been stopped. */
  | {readonly kind: 'unknown'};

/** What a move means for the attempt at the source, once that has ended. */
export type SettledMove =
  | {readonly kind: 'moved'; readonly run: MovedRun}
  /** The stream may have ended because of the final call. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'none'};

/** Time for the final copy, which has little to copy, and its round trip. */
export const FINAL_COPY_MS = 150;
/**
 * Longer than the slowest copies that were seen (1 s). A final call that is
 * given up too early loses a run that could go on.
 */
const FINAL_TIMEOUT_MS = 2000;
/** Events on their way arrive within this time after the run has stopped. */
const CLOSE_WAIT_MS = 100;

/** Whether the stream may be moved by another try. */
export type NextTry = 'stays' | 'other_target' | 'same_target';

/** After other outcomes a further try is no use, or what was done is unknown. */
const NEXT_TRIES: Readonly<Record<string, NextTry>> = {
  no_room: 'other_target',
  busy: 'same_target',
  not_sent: 'same_target',
};

/**
 * Copies without stopping the run first, so that the pause for the final copy is
 * short. Only the final call stops the run; the exchange continues it once that
 * call has been answered and the old stream is closed.
 */
export class StreamMove {
  private final: Promise<FinalResult> | undefined;
  private hasStreamEnded = false;
  private earlyHandle: MemoryHandle | undefined;
  private earlyCopyMs = 0;
  private finalCopyMs = 0;

  constructor(private readonly options: StreamMoveOptions) {}

  get source(): ServingEndpoint {
    return this.options.source;
  }

  get target(): ServingEndpoint {
    return this.options.target;
  }

  /** Resolves when the move has failed or the run has been stopped. */
  async run(): Promise<NextTry> {
    const {context, source} = this.options;
    const beganAtMs = context.nowMs();
    const outcome = await this.carryOut();
    if (outcome !== 'stopped') {
      context.metrics.countMigration(source.service, outcome);
    }
    context.logger.info('stream_move', {
      requestId: this.options.requestId,
      source: source.id,
      target: this.target.id,
      outcome,
      earlyCopyMs: this.earlyCopyMs,
      finalCopyMs: this.finalCopyMs,
      durationMs: Math.round(context.nowMs() - beganAtMs),
    });
    if (this.final !== undefined) return 'stays';
    return NEXT_TRIES[outcome] ?? 'stays';
  }

  /**
   * The stream from the source has ended.
   *
   * @param isWhole whether the caller has its whole answer.
   * @example
   * const settled = await move.settle(result.kind === 'answered');
   */
  async settle(isWhole: boolean): Promise<SettledMove> {
    this.hasStreamEnded = true;
    const final = await this.final;
    if (final?.kind === 'stopped') {
      if (!isWhole) return {kind: 'moved', run: final.run};
      final.run.release('abandoned');
    }
    if (final?.kind !== 'unknown') return {kind: 'none'};
    // The run doesn't go on anywhere, so that its copy is of no use.
    if (this.earlyHandle !== undefined) this.release(this.earlyHandle);
    return {kind: isWhole ? 'none' : 'unknown'};
  }

  /**
   * Whether the run has or may have been stopped: then the end of its stream
   * doesn't show that it is complete.
   */
  async mayBeStopped(): Promise<boolean> {
    const final = await this.final;
    return final !== undefined && final.kind !== 'running';
  }

  private async carryOut(): Promise<string> {
    const {context, finishByMs} = this.options;
    const startedAtMs = context.nowMs();
    const timeoutMs = finishByMs - FINAL_COPY_MS - startedAtMs;
    const early = await this.copy(false, timeoutMs);
    this.earlyCopyMs = Math.round(context.nowMs() - startedAtMs);
    if (early.kind !== 'copied') return early.kind;
    const reason = this.findReasonToStay();
    if (reason !== undefined) {
      this.release(early.handle);
      return reason;
    }
    this.earlyHandle = early.handle;
    this.final = this.stopAndCopy(early.handle);
    const final = await this.final;
    if (final.kind === 'stopped') await this.closeStreamSoon();
    return final.kind;
  }

  private findReasonToStay(): string | undefined {
    const {context, source, finishByMs, isNeeded} = this.options;
    const atMs = context.nowMs();
    if (this.hasStreamEnded) return 'ended';
    if (atMs > finishByMs - FINAL_COPY_MS) return 'too_late';
    if (!isNeeded()) return 'not_needed';
    // The continuation is one more arrival at the service.
    const hasRoom = context.state.budgetFor(source.service).tryTake(atMs);
    return hasRoom ? undefined : 'no_budget';
  }

  private async stopAndCopy(earlier: MemoryHandle): Promise<FinalResult> {
    const {context, source, target} = this.options;
    const startedAtMs = context.nowMs();
    const result = await this.copy(true, FINAL_TIMEOUT_MS);
    this.finalCopyMs = Math.round(context.nowMs() - startedAtMs);
    switch (result.kind) {
      case 'copied':
        return this.stopped(target, result.handle);
      case 'no_room':
        if (result.handle !== undefined) {
          return this.stopped(source, result.handle);
        }
        break;
      case 'lost':
      case 'unreadable':
        return {kind: 'unknown'};
      default:
        break;
    }
    this.release(earlier);
    return {kind: 'running'};
  }

  private release(handle: MemoryHandle): void {
    const {context, source} = this.options;
    void context.client.release(source, handle);
  }

  private copy(isFinal: boolean, timeoutMs: number): Promise<MemoryCopyResult> {
    const {context, requestId, source, target} = this.options;
    const request = {requestId, source, target, isFinal};
    return context.client.copy(request, {timeoutMs});
  }

  private stopped(
    endpoint: ServingEndpoint,
    handle: MemoryHandle,
  ): FinalResult {
    const {context, source, handleTtlMs} = this.options;
    const run = new MovedRun({
      context,
      source,
      endpoint,
      memory: {source: source.address, handle},
      expiresAtMs: context.nowMs() + handleTtlMs,
    });
    return {kind: 'stopped', run};
  }

  /** Its close may be lost, or stuck behind a caller that reads slowly. */
  private async closeStreamSoon(): Promise<void> {
    await new Promise(done => setTimeout(done, CLOSE_WAIT_MS));
    if (!this.hasStreamEnded) this.options.closeStream();
  }
}
