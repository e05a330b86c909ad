/** Counts the bytes that an instance holds, and decides whose to give up. */

import type {Branded} from '@snipestage/types/ids.js';

/**
 * A client account, the address of a caller without one, or an endpoint whose
 * answers are being read.
 */
export type HolderKey = Branded<string, 'HolderKey'>;

/**
 * What is held.
 *
 * - `incoming_body`: a request's body that is being read; nothing has run.
 * - `request_body`: a body that has been read, until the request's answer.
 * - `stream`, `whole_answer`: bytes that the caller has not read yet.
 * - `read_ahead`: an answer that is being read from its endpoint.
 */
export type HoldingKind =
  'incoming_body' | 'request_body' | 'stream' | 'whole_answer' | 'read_ahead';

/** Options of {@link HeldBytes}; default in the brackets. */
export interface HeldBytesOptions {
  /** Bound for all holdings together. */
  readonly maxBytes: number;
  /** Bytes of one stream from which its endpoint is paused (1 MB). */
  readonly maxStreamBytes?: number;
}

const DEFAULT_MAX_STREAM_BYTES = 1_000_000;
/** Rest of the memory: code, connections, kernel buffers, copies in transit. */
const SHARE_OF_MEMORY = 0.25;
/**
 * Bodies of one holder get at most this share, so that a caller that sends
 * slowly on many connections leaves room for the requests of others. So do
 * answers that are read from one endpoint, but for a single one.
 */
const MAX_BODY_SHARE_OF_HOLDER = 0.5;
/** A caller counts as reading for this long after it has read something. */
const COUNTS_AS_READING_MS = 5000;

/** What is held for one request or one answer. */
export class Holding {
  private heldBytes = 0;
  private open = true;
  private lastReadAtMs = Number.NEGATIVE_INFINITY;

  /** @internal Holdings are created by {@link HeldBytes.open}. */
  constructor(
    readonly holder: HolderKey,
    public kind: HoldingKind,
  ) {}

  get bytes(): number {
    return this.heldBytes;
  }

  /** Whether it is counted: neither closed nor aborted. */
  get isOpen(): boolean {
    return this.open;
  }

  /** Notes that the caller has read some of it. */
  noteRead(nowMs: number): void {
    this.lastReadAtMs = nowMs;
  }

  /** Whether its holder should lose anything else first. */
  isAnswerBeingRead(nowMs: number): boolean {
    const isReading = nowMs - this.lastReadAtMs <= COUNTS_AS_READING_MS;
    return this.kind === 'whole_answer' && isReading;
  }

  /** @internal */
  change(bytes: number): void {
    this.heldBytes = bytes;
  }

  /** @internal */
  close(): void {
    this.open = false;
    this.heldBytes = 0;
  }
}

/**
 * Ledger of one instance. The total never exceeds its bound: a body without room
 * is refused, and for answers without room others are aborted.
 *
 * The holder with the most bytes loses its largest holding first. Holders are
 * client accounts, so that a caller with many connections loses its own answers
 * and not those of others.
 */
export class HeldBytes {
  private readonly holdings = new Set<Holding>();
  private readonly byHolder = new Map<HolderKey, number>();
  private sumBytes = 0;
  private readonly maxBytes: number;
  private readonly maxStreamBytes: number;

  constructor(options: HeldBytesOptions) {
    this.maxBytes = options.maxBytes;
    const {maxStreamBytes = DEFAULT_MAX_STREAM_BYTES} = options;
    this.maxStreamBytes = Math.min(maxStreamBytes, options.maxBytes);
  }

  /**
   * Ledger for an instance with this much memory.
   *
   * @example
   * const held = HeldBytes.forMemory(250_000_000);
   */
  static forMemory(memoryBytes: number): HeldBytes {
    return new HeldBytes({maxBytes: memoryBytes * SHARE_OF_MEMORY});
  }

  get totalBytes(): number {
    return this.sumBytes;
  }

  get limitBytes(): number {
    return this.maxBytes;
  }

  /** Begins to count; holds nothing yet. */
  open(holder: HolderKey, kind: HoldingKind): Holding {
    const holding = new Holding(holder, kind);
    this.holdings.add(holding);
    return holding;
  }

  /** Whether a stream may take more from its endpoint. */
  hasStreamRoom({bytes}: Holding): boolean {
    return bytes < this.maxStreamBytes;
  }

  /**
   * Adds bytes to a request's body if there is room, or if room can be made at
   * the expense of a holder that holds more.
   *
   * @returns whether the bytes are held now, and the holdings that were closed
   * for them and have to be aborted.
   * @example
   * const {isHeld, aborted} = held.tryAdd(body, contentLength, nowMs);
   */
  tryAdd(
    holding: Holding,
    bytes: number,
    nowMs: number,
  ): {readonly isHeld: boolean; readonly aborted: readonly Holding[]} {
    const refused = {isHeld: false, aborted: []};
    if (!holding.isOpen) return refused;
    const {holder} = holding;
    const ownBytes = this.heldBy(holder) + bytes;
    if (ownBytes > this.maxBytes * MAX_BODY_SHARE_OF_HOLDER) return refused;
    const excessBytes = this.sumBytes + bytes - this.maxBytes;
    const victims = this.findVictims(excessBytes, {
      nowMs,
      mayLose: (other, otherBytes) => other !== holder && otherBytes > ownBytes,
    });
    if (victims === undefined) return refused;
    for (const victim of victims) this.close(victim);
    this.change(holding, holding.bytes + bytes);
    return {isHeld: true, aborted: victims};
  }

  /**
   * Sets how much of an answer is held.
   *
   * @returns the holdings that were closed to stay within the bound and have to
   * be aborted; this one may be among them.
   * @example
   * for (const each of held.set(answer, unreadBytes, nowMs)) abort(each);
   */
  set(holding: Holding, bytes: number, nowMs: number): readonly Holding[] {
    if (!holding.isOpen) return [];
    this.change(holding, bytes);
    const {holder} = holding;
    const excessBytes = this.sumBytes - this.maxBytes;
    const ownExcessBytes = this.excessReadAhead(holding);
    if (excessBytes <= 0 && ownExcessBytes <= 0) return [];
    const ownBytes = this.heldBy(holder);
    const isOwnFault = ownExcessBytes > excessBytes;
    const victims = this.findVictims(Math.max(excessBytes, ownExcessBytes), {
      nowMs,
      mayLose: (other, otherBytes) =>
        isOwnFault ? other === holder : otherBytes >= ownBytes,
    }) ?? [holding];
    for (const victim of victims) this.close(victim);
    return victims;
  }

  private excessReadAhead({kind, holder, bytes}: Holding): number {
    const ownBytes = this.heldBy(holder);
    if (kind !== 'read_ahead' || bytes === ownBytes) return 0;
    return ownBytes - this.maxBytes * MAX_BODY_SHARE_OF_HOLDER;
  }

  /** Ends a holding; no effect on one that has ended. */
  close(holding: Holding): void {
    if (!this.holdings.delete(holding)) return;
    this.change(holding, 0);
    holding.close();
  }

  private heldBy(holder: HolderKey): number {
    return this.byHolder.get(holder) ?? 0;
  }

  private change(holding: Holding, bytes: number): void {
    const {holder} = holding;
    const addedBytes = bytes - holding.bytes;
    holding.change(bytes);
    this.sumBytes += addedBytes;
    const sum = this.heldBy(holder) + addedBytes;
    if (sum > 0) this.byHolder.set(holder, sum);
    else this.byHolder.delete(holder);
  }

  /** @returns undefined if they don't hold as much. */
  private findVictims(
    excessBytes: number,
    rule: {
      readonly nowMs: number;
      readonly mayLose: (holder: HolderKey, bytes: number) => boolean;
    },
  ): readonly Holding[] | undefined {
    if (excessBytes <= 0) return [];
    const candidates = this.listCandidates(rule.mayLose);
    const compare = (a: Holding, b: Holding) =>
      this.compareLoss(a, b, rule.nowMs);
    // One is enough nearly always. Sorting takes about 1 ms with 2,000 streams.
    const first = candidates.reduce<Holding | undefined>(
      (best, each) => (best && compare(best, each) <= 0 ? best : each),
      undefined,
    );
    if (first !== undefined && first.bytes >= excessBytes) return [first];
    const victims: Holding[] = [];
    let leftBytes = excessBytes;
    for (const holding of candidates.sort(compare)) {
      victims.push(holding);
      leftBytes -= holding.bytes;
      if (leftBytes <= 0) return victims;
    }
    return undefined;
  }

  private listCandidates(
    mayLose: (holder: HolderKey, bytes: number) => boolean,
  ): Holding[] {
    return [...this.holdings].filter(
      ({kind, bytes, holder}) =>
        kind !== 'request_body' &&
        bytes > 0 &&
        mayLose(holder, this.heldBy(holder)),
    );
  }

  /** Orders what may be aborted; negative if the first one goes first. */
  private compareLoss(a: Holding, b: Holding, nowMs: number): number {
    return (
      this.heldBy(b.holder) - this.heldBy(a.holder) ||
      compareHolders(a, b) ||
      Number(a.isAnswerBeingRead(nowMs)) - Number(b.isAnswerBeingRead(nowMs)) ||
      b.bytes - a.bytes
    );
  }
}

function compareHolders(a: Holding, b: Holding): number {
  if (a.holder === b.holder) return 0;
  return a.holder < b.holder ? -1 : 1;
}
