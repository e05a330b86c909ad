/** Refuses requests that engines can't begin in time. */

import {
  ADMIT,
  LoadShedder,
  type ArrivedRequest,
  type ShedDecision,
} from './load_shedder.js';
import type {RefusedSessions} from './refused_sessions.js';
import type {Pressure, RoomPressure} from './room_pressure.js';

/** Options of {@link RoomShedder}; defaults in brackets. */
export interface RoomShedderOptions {
  readonly pressure: RoomPressure;
  readonly sessions: RefusedSessions;
  /** Share of a request's peers that another shedder refuses (0). */
  readonly readShedShare?: (request: ArrivedRequest) => number;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

/** A request that is to be refused, and when room is free again. */
export interface Shortage {
  readonly reason: 'begins_too_late' | 'memory_full' | 'room_for_urgent';
  /** Share of requests like this one to be refused. */
  readonly share: number;
  /** Time after which the queue is short enough. */
  readonly drainMs: number;
}

/**
 * Half of what more urgent requests may wait is kept for them, since loads are
 * about a second old and more is on its way. Refusing begins there.
 */
const RESERVED_SHARE = 0.5;
/** Callers come back after at most this share of the time that they have. */
const MAX_RETRY_SHARE = 1 / 3;
/** Newer loads are known after that time. */
const MIN_RETRY_MS = 250;
/** Longest delay, in times that a queue needs to drain. */
const RETRY_SPREAD = 2;

/**
 * A refusal must be in the interest of callers. A late answer still has a good
 * part of its value, so that lateness alone is no reason: requests are refused
 * when no engine can begin them within the time that their callers have, or
 * when they would make more urgent ones late.
 */
export class RoomShedder extends LoadShedder {
  private readonly random: () => number;

  constructor(private readonly options: RoomShedderOptions) {
    super();
    this.random = options.random ?? Math.random;
  }

  decide(request: ArrivedRequest): ShedDecision {
    const {pressure, sessions, readShedShare} = this.options;
    const measured = pressure.measure(request);
    const shortage = findShortage(request, measured);
    if (shortage === undefined || sessions.isDue(request)) return ADMIT;
    const shed = readShedShare?.(request) ?? 0;
    const rest = 1 - (1 - shortage.share) / Math.max(1e-9, 1 - shed);
    if (sessions.drawFor(request) >= rest) return ADMIT;
    sessions.noteRefused(request);
    return {
      kind: 'refuse',
      reason: shortage.reason,
      retryAfterMs: retryAfterMs(request, shortage.drainMs, this.random()),
    };
  }

  noteAdmitted(request: ArrivedRequest): void {
    this.options.sessions.noteAdmitted(request);
  }

  noteEnded(): void {}
}

/**
 * Why a request is to be refused; undefined when it isn't. The most urgent rank
 * is never refused.
 *
 * @example
 * const shortage = findShortage(request, pressure.measure(request));
 */
export function findShortage(
  request: ArrivedRequest,
  measured: Pressure,
): Shortage | undefined {
  const {waitMs, typicalWaitMs, leftMs, urgentMs, hasMemory} = measured;
  if (request.urgencyRank === 0 || waitMs <= 0) return undefined;
  if (waitMs > leftMs)
    return {
      reason: 'begins_too_late',
      share: 1,
      drainMs: waitMs - Math.max(0, leftMs),
    };
  if (!hasMemory) return {reason: 'memory_full', share: 1, drainMs: waitMs};
  const fromMs = urgentMs * RESERVED_SHARE;
  if (!(waitMs > fromMs)) return undefined;
  // All instances see the same queue: if all refused everything above a limit,
  // engines would run idle until newer loads are known.
  const share = Math.min(1, (typicalWaitMs - fromMs) / Math.max(1, urgentMs));
  return {reason: 'room_for_urgent', share, drainMs: typicalWaitMs - fromMs};
}

/**
 * When a caller should come back: after the queue has drained, spread over as
 * long again, so that callers don't return at once.
 *
 * @param random at least 0 and below 1.
 * @example
 * const delayMs = retryAfterMs(request, shortage.drainMs, Math.random());
 */
export function retryAfterMs(
  {endsAtMs, nowMs}: ArrivedRequest,
  drainMs: number,
  random: number,
): number {
  const latestMs = Math.max(0, endsAtMs - nowMs) * MAX_RETRY_SHARE;
  const firstMs = Math.max(MIN_RETRY_MS, drainMs);
  const lastMs = Math.min(latestMs, firstMs * RETRY_SPREAD);
  // Long queues drain after the latest time at which callers come back.
  const fromMs = Math.min(firstMs, lastMs / RETRY_SPREAD);
  return fromMs + (lastMs - fromMs) * random;
}
