/** Decides which streams are moved away from an engine that leaves. */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {EndpointId, RequestId} from '@snipestage/types/ids.js';
import {expectEventsLeft, type StreamLength} from './stream_length.js';
import type {ServingEndpoint} from './serving_endpoint.js';

/** A stream of this instance at an engine that leaves. */
export interface MigratableStream extends StreamLength {
  readonly requestId: RequestId;
  /** 0 is served first. */
  readonly urgencyRank: number;
  /** Its caller can take it up elsewhere, so that it isn't moved. */
  readonly isResumable: boolean;
  /** Mean time between its events; undefined with fewer than two. */
  readonly paceMs: number | undefined;
  /** Time until its caller's deadline. */
  readonly deadlineLeftMs: number;
  /** Engines that had no room for it. */
  readonly failedTargets: ReadonlySet<EndpointId>;
}

/** An engine that may take over streams. */
export interface MigrationTarget {
  readonly endpoint: ServingEndpoint;
  /** Requests that it can take beyond those that it has. */
  readonly freePlaces: number;
  /** Streams that this instance is moving there now. */
  readonly arriving: number;
}

/** An engine that leaves, and where its streams could go. */
export interface EngineDeparture<Stream extends MigratableStream> {
  readonly source: ServingEndpoint;
  /** Streams that aren't being moved yet. */
  readonly streams: readonly Stream[];
  /** Streams that this instance is moving away from it now. */
  readonly departing: number;
  /** Time until the engine is taken away; undefined while it isn't known. */
  readonly leavesInMs: number | undefined;
  /** Time since it was first seen to leave. */
  readonly noticedAgoMs: number;
  /** Not leaving, of any service and version. */
  readonly targets: readonly MigrationTarget[];
  readonly tokensPerEvent: number;
}

/** One stream that is to be moved now. */
export interface PlannedMove<Stream extends MigratableStream> {
  readonly stream: Stream;
  readonly target: ServingEndpoint;
  /** The move has to be complete within this time. */
  readonly finishInMs: number;
}

/**
 * Moves end this long before the engine goes. The list of endpoints may be half
 * a second old when it is read, and the continuation takes round trips.
 */
export const FINISH_MARGIN_MS = 600;
/** Both copies of a stream; with less time than this no move begins. */
export const MOVE_MS = 400;
/** Further copies would only queue on the link of the engine. */
export const MAX_DEPARTING = 2;
export const MAX_ARRIVING = 2;
/**
 * Shortest time for which an engine serves on after a planned leaving is listed.
 * It usually serves until its streams have ended.
 */
export const DEFAULT_DRAIN_MS = 1500;
/**
 * When an engine doesn't say when it goes, a stream is moved only if it is
 * expected to last for this many times the time left.
 */
const UNKNOWN_TIME_FACTOR = 3;
const HASH_VALUES = 2 ** 32;

/**
 * The moves that begin now, in order: the most urgent streams first, then those
 * with the most work left. Called again while streams are left, since moves that
 * end make room for others.
 *
 * A stream without an event stays: if the engine refuses it unrun, it is sent
 * elsewhere as any refused request is.
 *
 * @example
 * for (const {stream, target} of planMoves(departure)) begin(stream, target);
 */
export function planMoves<Stream extends MigratableStream>(
  departure: EngineDeparture<Stream>,
): ReadonlyArray<PlannedMove<Stream>> {
  const leftMs = timeLeftMs(departure);
  const finishInMs = leftMs - FINISH_MARGIN_MS;
  if (finishInMs < MOVE_MS) return [];
  const room = MAX_DEPARTING - departure.departing;
  const targets = listTargets(departure);
  const moves: Array<PlannedMove<Stream>> = [];
  for (const stream of orderByNeed(departure, leftMs)) {
    if (moves.length >= room) break;
    const target = targets.take(stream);
    if (target === undefined) continue;
    moves.push({stream, target, finishInMs});
  }
  return moves;
}

/**
 * Time that a stream is expected to last; undefined while its pace isn't known.
 *
 * @example
 * if ((expectLeftMs(stream, 4) ?? 0) < leavesInMs) return 'stays';
 */
export function expectLeftMs(
  stream: MigratableStream,
  tokensPerEvent: number,
): number | undefined {
  const {paceMs} = stream;
  if (paceMs === undefined) return undefined;
  return paceMs * expectEventsLeft(stream, tokensPerEvent);
}

function timeLeftMs({
  leavesInMs,
  noticedAgoMs,
}: Pick<
  EngineDeparture<MigratableStream>,
  'leavesInMs' | 'noticedAgoMs'
>): number {
  return leavesInMs ?? DEFAULT_DRAIN_MS - noticedAgoMs;
}

/** Streams that would be cut, in the order in which they are moved. */
function orderByNeed<Stream extends MigratableStream>(
  {streams, leavesInMs, tokensPerEvent}: EngineDeparture<Stream>,
  leftMs: number,
): readonly Stream[] {
  const isTimeKnown = leavesInMs !== undefined;
  const lastsBeyondMs = isTimeKnown ? leftMs : UNKNOWN_TIME_FACTOR * leftMs;
  return streams
    .map(stream => ({stream, needMs: expectLeftMs(stream, tokensPerEvent)}))
    .filter(({stream, needMs}) => {
      if (stream.isResumable || needMs === undefined) return false;
      // Without an expectation of its caller, its length is only bounded.
      if (!isTimeKnown && stream.expectedOutputTokens === undefined) {
        return false;
      }
      return needMs > lastsBeyondMs && stream.deadlineLeftMs > leftMs;
    })
    .sort(
      (one, other) =>
        one.stream.urgencyRank - other.stream.urgencyRank ||
        other.needMs! - one.needMs!,
    )
    .map(({stream}) => stream);
}

interface TargetQueue {
  /** The target of a stream; undefined when none has room. */
  take(stream: MigratableStream): ServingEndpoint | undefined;
}

function listTargets({
  source,
  targets,
}: EngineDeparture<MigratableStream>): TargetQueue {
  const open = targets
    .filter(({endpoint}) => canTakeOver(endpoint, source))
    .map(target => ({...target}));
  return {
    take: ({requestId, failedTargets}) => {
      const free = open.filter(
        ({endpoint, freePlaces, arriving}) =>
          freePlaces > 0 &&
          arriving < MAX_ARRIVING &&
          !failedTargets.has(endpoint.id),
      );
      const [first] = free.sort(
        (one, other) => costOf(one, requestId) - costOf(other, requestId),
      );
      if (first === undefined) return undefined;
      first.freePlaces -= 1;
      first.arriving += 1;
      return first.endpoint;
    },
  };
}

/** Memory fits only engines of the same service and software version. */
function canTakeOver(
  target: ServingEndpoint,
  source: ServingEndpoint,
): boolean {
  return (
    target.id !== source.id &&
    !target.isLeaving &&
    target.service === source.service &&
    target.softwareVersion !== undefined &&
    target.softwareVersion === source.softwareVersion
  );
}

/**
 * Random by stream, with shares by free places: all instances see the same
 * loads, and would all choose the engine with the lowest one.
 */
function costOf(
  {endpoint, freePlaces}: MigrationTarget,
  requestId: RequestId,
): number {
  const hash = hashText(`${requestId}\n${endpoint.id}`);
  return -Math.log((hash + 0.5) / HASH_VALUES) / freePlaces;
}
