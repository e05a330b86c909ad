/** Keeps what is held for callers within the memory of the instance. */

import type {Logger} from '@snipestage/log/logger.js';
import type {
  HeldBytes,
  HolderKey,
  Holding,
  HoldingKind,
} from '@snipestage/routing/held_bytes.js';
import type {GatewayMetrics} from './gateway_metrics.js';

/** Options of {@link MemoryGuard}. */
export interface MemoryGuardOptions {
  readonly ledger: HeldBytes;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** Carries out what the ledger decides. */
export class MemoryGuard {
  private readonly held = new Map<Holding, HeldMemory>();

  constructor(private readonly options: MemoryGuardOptions) {
    const {metrics, ledger} = options;
    metrics.readHeldBytes = () => ledger.totalBytes;
  }

  /**
   * Begins to count a body or an answer.
   *
   * @example
   * const body = guard.open(holder, 'incoming_body', requestId);
   */
  open(
    holder: HolderKey,
    kind: HoldingKind,
    requestId: string | undefined,
  ): HeldMemory {
    const holding = this.options.ledger.open(holder, kind);
    const held = new HeldMemory(this, holding, requestId);
    this.held.set(holding, held);
    return held;
  }

  /** @returns false if there is no room: nothing was added. */
  tryAdd(holding: Holding, bytes: number): boolean {
    const {ledger, metrics, nowMs} = this.options;
    const {isHeld, aborted} = ledger.tryAdd(holding, bytes, nowMs());
    if (!isHeld && holding.isOpen) metrics.countMemoryAbort('refused_body');
    this.abort(aborted, holding);
    return isHeld;
  }

  set(holding: Holding, bytes: number): void {
    const {ledger, nowMs} = this.options;
    this.abort(ledger.set(holding, bytes, nowMs()), holding);
  }

  noteRead(holding: Holding): void {
    holding.noteRead(this.options.nowMs());
  }

  hasStreamRoom(holding: Holding): boolean {
    return this.options.ledger.hasStreamRoom(holding);
  }

  close(holding: Holding): void {
    this.held.delete(holding);
    this.options.ledger.close(holding);
  }

  private abort(holdings: readonly Holding[], cause: Holding): void {
    const {ledger, metrics, logger} = this.options;
    for (const holding of holdings) {
      const held = this.held.get(holding);
      this.held.delete(holding);
      metrics.countMemoryAbort(holding.kind);
      logger.warn('memory_bound_reached', {
        requestId: held?.requestId,
        aborted: holding.kind,
        holder: holding.holder,
        causedBy: cause.holder,
        heldBytes: Math.round(ledger.totalBytes),
        limitBytes: Math.round(ledger.limitBytes),
      });
      held?.onAborted();
    }
  }
}

/** One body or answer that is counted. */
export class HeldMemory {
  /** Called when it has to be given up; it is closed by then. */
  onAborted: () => void = () => undefined;

  constructor(
    private readonly guard: MemoryGuard,
    private readonly holding: Holding,
    /** For the log. */
    readonly requestId: string | undefined,
  ) {}

  /** Whether it has been aborted or closed. */
  get isOver(): boolean {
    return !this.holding.isOpen;
  }

  /** Whether a stream may take more from its endpoint. */
  get hasRoom(): boolean {
    return this.guard.hasStreamRoom(this.holding);
  }

  /** @returns false if there is no room: nothing was added. */
  tryAdd(bytes: number): boolean {
    return this.guard.tryAdd(this.holding, bytes);
  }

  /** @param bytes of an answer that are held now. */
  set(bytes: number, kind: HoldingKind): void {
    this.holding.kind = kind;
    this.guard.set(this.holding, bytes);
  }

  /** Counts on as something else. */
  keep(kind: HoldingKind): void {
    this.holding.kind = kind;
  }

  /** Notes that the caller has read some of it. */
  noteRead(): void {
    this.guard.noteRead(this.holding);
  }

  close(): void {
    this.guard.close(this.holding);
  }
}
