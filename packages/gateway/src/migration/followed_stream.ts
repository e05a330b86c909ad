/** A stream at an engine that may be moved to another one. */

import type {Prompt} from '@snipestage/routing/prompt.js';
import type {Route} from '@snipestage/routing/route.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {MigratableStream} from '@snipestage/routing/stream_migration.js';
import type {EndpointId, RequestId} from '@snipestage/types/ids.js';
import type {AnswerWriter} from '../answer_writer.js';
import type {SettledMove, StreamMove} from './stream_move.js';

/** Options of {@link FollowedStream}. */
export interface FollowedStreamOptions {
  readonly requestId: RequestId;
  readonly route: Route;
  readonly prompt: Prompt;
  readonly urgencyRank: number;
  readonly endsAtMs: number;
  readonly endpoint: ServingEndpoint;
  readonly writer: Pick<AnswerWriter, 'events' | 'lastEventId' | 'isOver'>;
  /** Closes the stream from the endpoint. */
  readonly close: () => void;
}

/** A copy that fails again at another engine has little time left. */
const MAX_TRIES = 2;

/** From the start of an attempt to its end. */
export class FollowedStream {
  private firstEventAtMs = 0;
  private lastEventAtMs = 0;
  private events = 0;
  private tries = 0;
  private mayTry = true;
  /** Engines that had no room for it. */
  private readonly failedTargets = new Set<EndpointId>();
  move: StreamMove | undefined;

  constructor(
    readonly options: FollowedStreamOptions,
    private readonly onEnd: (stream: FollowedStream, isWhole: boolean) => void,
  ) {}

  noteEvent(nowMs: number): void {
    if (this.events === 0) this.firstEventAtMs = nowMs;
    this.lastEventAtMs = nowMs;
    this.events += 1;
  }

  /** Events without numbers couldn't be told apart when they are sent again. */
  get isMovable(): boolean {
    const {writer} = this.options;
    const isNumbered = Number.isFinite(
      Number(writer.lastEventId ?? Number.NaN),
    );
    return (
      isNumbered && this.mayTry && this.move === undefined && !writer.isOver
    );
  }

  describe(nowMs: number): MigratableStream {
    const {requestId, route, prompt, urgencyRank, endsAtMs, writer} =
      this.options;
    const {events, firstEventAtMs, lastEventAtMs} = this;
    return {
      requestId,
      urgencyRank,
      isResumable: route.isResumable,
      events: writer.events,
      expectedOutputTokens: prompt.expectedOutputTokens,
      maxOutputTokens: prompt.maxOutputTokens,
      paceMs:
        events < 2
          ? undefined
          : (lastEventAtMs - firstEventAtMs) / (events - 1),
      deadlineLeftMs: endsAtMs - nowMs,
      failedTargets: this.failedTargets,
    };
  }

  /** Carries a move out; a failed one may be followed by another. */
  async begin(move: StreamMove): Promise<void> {
    this.move = move;
    this.tries += 1;
    const next = await move.run();
    if (next === 'stays') return;
    if (next === 'other_target') this.failedTargets.add(move.target.id);
    this.mayTry &&= this.tries < MAX_TRIES;
    this.move = undefined;
  }

  /** See {@link StreamMove.mayBeStopped}. */
  async mayBeStopped(): Promise<boolean> {
    return (await this.move?.mayBeStopped()) ?? false;
  }

  /** The attempt has ended; see {@link StreamMove.settle}. */
  async end(isWhole: boolean): Promise<SettledMove> {
    this.onEnd(this, isWhole);
    this.mayTry = false;
    return (await this.move?.settle(isWhole)) ?? {kind: 'none'};
  }
}
