/** A run that its engine has stopped, and that is to go on from its copy. */

import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {CopiedMemory} from '../pass_through_protocol.js';
import type {MigrationContext} from './migration_context.js';

/** Options of {@link MovedRun}. */
export interface MovedRunOptions {
  readonly context: MigrationContext;
  readonly source: ServingEndpoint;
  /** Where it goes on first: the target, or the source if the copy failed. */
  readonly endpoint: ServingEndpoint;
  readonly memory: CopiedMemory;
  /** The handle isn't used after this time. */
  readonly expiresAtMs: number;
}

/** Owns the handle until it is used or released. */
export class MovedRun {
  private current: ServingEndpoint;
  private isSettled = false;

  constructor(private readonly options: MovedRunOptions) {
    this.current = options.endpoint;
  }

  /** Where the run is to go on now. */
  get endpoint(): ServingEndpoint {
    return this.current;
  }

  get memory(): CopiedMemory {
    return this.options.memory;
  }

  /** Whether it goes on where it was stopped. */
  get isAtSource(): boolean {
    return this.current.id === this.options.source.id;
  }

  /** The engine has taken the run over; the handle is used. */
  noteContinued(): void {
    this.settle(this.isAtSource ? 'returned' : 'moved');
  }

  /**
   * The attempt to continue has failed.
   *
   * @returns whether it may be tried at the source: only if the run certainly
   * didn't begin at the target, since a handle is valid once.
   * @example
   * if (!run.noteFailed(result.verdict)) return fail();
   */
  noteFailed(verdict: Verdict): boolean {
    const {context, source, expiresAtMs} = this.options;
    if (this.isSettled) return false;
    if (verdict !== 'not_run') {
      this.settle('broken');
      return false;
    }
    const atMs = context.nowMs();
    const mayReturn =
      !this.isAtSource &&
      atMs < expiresAtMs &&
      context.state.budgetFor(source.service).tryTake(atMs);
    if (mayReturn) {
      this.current = source;
      return true;
    }
    this.release('refused');
    return false;
  }

  /**
   * Frees the memory unless the run goes on.
   *
   * @example
   * if (writer.isOver) run.release('abandoned');
   */
  release(outcome: 'refused' | 'abandoned'): void {
    if (this.isSettled) return;
    this.settle(outcome);
    const {context, source, memory} = this.options;
    void context.client.release(source, memory.handle);
  }

  private settle(outcome: string): void {
    if (this.isSettled) return;
    this.isSettled = true;
    const {service, id} = this.options.source;
    this.options.context.metrics.countMigration(service, outcome);
    this.options.context.logger.info('stream_continuation', {
      source: id,
      endpoint: this.current.id,
      outcome,
    });
  }
}
