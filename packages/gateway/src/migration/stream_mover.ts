/** Moves this instance's streams away from engines that leave. */

import {mayOffer} from '@snipestage/routing/placement.js';
import type {EngineDescription} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import {TokensPerEvent} from '@snipestage/routing/stream_length.js';
import {
  expectLeftMs,
  planMoves,
  type MigratableStream,
  type MigrationTarget,
  type PlannedMove,
} from '@snipestage/routing/stream_migration.js';
import type {EndpointId, ServiceId} from '@snipestage/types/ids.js';
import {FollowedStream, type FollowedStreamOptions} from './followed_stream.js';
import type {MigrationContext} from './migration_context.js';
import {StreamMove} from './stream_move.js';

/** Each look wakes the process; short beside a notice of 2.7 s. */
const LOOK_EVERY_MS = 250;
/** Engines keep a copy longer than a continuation takes. */
const DEFAULT_HANDLE_TTL_MS = 2000;

interface PlannableStream extends MigratableStream {
  readonly followed: FollowedStream;
}

/**
 * Follows streams while they run. Streams are followed only for services whose
 * load controls are on and whose engines move requests.
 */
export class StreamMover {
  private readonly streams = new Set<FollowedStream>();
  /** Moves in progress; their streams may have ended. */
  private readonly moves = new Set<StreamMove>();
  private readonly tokensPerEvent = new TokensPerEvent();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly context: MigrationContext) {}

  /**
   * Follows the stream of an attempt, which has to end it.
   *
   * @returns undefined for streams that are never moved.
   * @example
   * const followed = mover.follow({endpoint, route, ...rest});
   */
  follow(
    options: Omit<FollowedStreamOptions, 'prompt'> &
      Partial<Pick<FollowedStreamOptions, 'prompt'>>,
  ): FollowedStream | undefined {
    const {route, endpoint, prompt} = options;
    const mayMove = route.kind === 'stream' && !route.isResumable;
    if (!mayMove || prompt === undefined) return undefined;
    if (this.findEngine(endpoint.service) === undefined) return undefined;
    const stream = new FollowedStream({...options, prompt}, (ended, isWhole) =>
      this.drop(ended, isWhole),
    );
    this.streams.add(stream);
    this.timer ??= setInterval(() => this.look(), LOOK_EVERY_MS).unref();
    return stream;
  }

  private drop(stream: FollowedStream, isWhole: boolean): void {
    this.streams.delete(stream);
    if (isWhole) {
      const length = stream.describe(this.context.nowMs());
      this.tokensPerEvent.note(stream.options.endpoint.service, length);
    }
    if (this.streams.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  /** Undefined where requests aren't moved. */
  private findEngine(service: ServiceId): EngineDescription | undefined {
    const {state} = this.context;
    if (!state.controls.isOn(service)) return undefined;
    const engine = state.table?.findService(service)?.engine;
    return engine?.migratesRequests === true ? engine : undefined;
  }

  private look(): void {
    const atMs = this.context.nowMs();
    const byEngine = new Map<EndpointId, FollowedStream[]>();
    for (const stream of this.streams) {
      const {id} = stream.options.endpoint;
      const others = byEngine.get(id);
      if (others === undefined) byEngine.set(id, [stream]);
      else others.push(stream);
    }
    for (const streams of byEngine.values()) {
      this.moveFrom(streams[0].options.endpoint, streams, atMs);
    }
  }

  private moveFrom(
    source: ServingEndpoint,
    streams: readonly FollowedStream[],
    atMs: number,
  ): void {
    const {directory, departures} = this.context.state;
    const engine = this.findEngine(source.service);
    if (engine === undefined || !directory.isCurrentIncarnation(source)) return;
    const listed = directory.find(source.id);
    if (listed !== undefined) departures.note(listed, atMs);
    const departure = departures.find(source);
    if (departure === undefined) return;
    if (!this.context.state.budgetFor(source.service).hasRoom(atMs)) return;
    const movable = streams.filter(each => each.isMovable);
    if (movable.length === 0) return;
    const {goesAtMs, noticedAtMs} = departure;
    const moves = planMoves({
      source,
      streams: movable.map(followed => ({
        ...followed.describe(atMs),
        followed,
      })),
      departing: this.countMoves(each => each.source.id === source.id),
      leavesInMs: goesAtMs === undefined ? undefined : goesAtMs - atMs,
      noticedAgoMs: atMs - noticedAtMs,
      targets: this.listTargets(source, engine, atMs),
      tokensPerEvent: this.tokensPerEvent.of(source.service),
    });
    for (const move of moves) this.begin(move, source, engine, goesAtMs);
  }

  private countMoves(isCounted: (move: StreamMove) => boolean): number {
    return [...this.moves].filter(isCounted).length;
  }

  private listTargets(
    source: ServingEndpoint,
    {batchSize}: EngineDescription,
    atMs: number,
  ): readonly MigrationTarget[] {
    const {state} = this.context;
    const {monitor, reach, warmup} = state;
    return state.directory
      .findServing(source.service, atMs)
      .filter(
        each =>
          mayOffer(each, atMs, state) &&
          !monitor.isDown(each.id, atMs) &&
          !reach.isCut(each.dataCentre, atMs) &&
          (!warmup.isCold(each.id, atMs) || warmup.mayAdmit(each, atMs)),
      )
      .map(endpoint => ({
        endpoint,
        freePlaces:
          Math.min(batchSize, endpoint.capacity) -
          Math.ceil(monitor.estimateLoad(endpoint.id, atMs)),
        arriving: this.countMoves(each => each.target.id === endpoint.id),
      }));
  }

  private begin(
    {stream, target, finishInMs}: PlannedMove<PlannableStream>,
    source: ServingEndpoint,
    {handleTtlMs = DEFAULT_HANDLE_TTL_MS}: EngineDescription,
    goesAtMs: number | undefined,
  ): void {
    const {followed} = stream;
    const {nowMs} = this.context;
    const {requestId, close} = followed.options;
    const move = new StreamMove({
      context: this.context,
      requestId,
      source,
      target,
      finishByMs: nowMs() + finishInMs,
      handleTtlMs,
      isNeeded: () => this.isNeeded(followed, goesAtMs),
      closeStream: close,
    });
    this.moves.add(move);
    void followed
      .begin(move)
      .catch(error => {
        const fields = {requestId, error: String(error)};
        this.context.logger.error('stream_move_failed', fields);
      })
      .finally(() => this.moves.delete(move));
  }

  private isNeeded(
    followed: FollowedStream,
    goesAtMs: number | undefined,
  ): boolean {
    if (followed.options.writer.isOver) return false;
    if (goesAtMs === undefined) return true;
    const atMs = this.context.nowMs();
    const {service} = followed.options.endpoint;
    const tokensPerEvent = this.tokensPerEvent.of(service);
    const leftMs = expectLeftMs(followed.describe(atMs), tokensPerEvent) ?? 0;
    return leftMs > goesAtMs - atMs;
  }
}
