/** An attempt with all records that are kept of it. */

import type {AttemptHistory} from '@snipestage/routing/attempt_history.js';
import type {Placed} from '@snipestage/routing/placement.js';
import {workOf} from '@snipestage/routing/prompt.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {AnswerWriter} from './answer_writer.js';
import {Attempt} from './attempt.js';
import {AttemptObservation, NOTHING_SHOWN} from './attempt_observation.js';
import type {AttemptRecord} from './attempt_record.js';
import type {
  AttemptResult,
  ExchangeContext,
  ReadRequest,
} from './exchange_context.js';
import type {FollowedStream} from './migration/followed_stream.js';
import type {MovedRun} from './migration/moved_run.js';
import type {SettledMove} from './migration/stream_move.js';
import {recordOutcome} from './record_outcome.js';

/** The run was stopped at its engine and goes on from a copy of its memory. */
export interface MovedResult {
  readonly kind: 'moved';
  readonly run: MovedRun;
}

/** How an attempt ended that may have been moved to another engine. */
export type TrackedResult = AttemptResult | MovedResult;

/** Options of {@link TrackedAttempt}. */
export interface TrackedAttemptOptions {
  readonly context: ExchangeContext;
  readonly request: ReadRequest;
  readonly writer: AnswerWriter;
  readonly history: AttemptHistory;
  readonly record: AttemptRecord;
  readonly placed: Placed;
  /** A stopped run that is continued; undefined: it begins one. */
  readonly movedRun: MovedRun | undefined;
  /** It goes on with a stream of which the caller has events already. */
  readonly isContinuation: boolean;
  readonly isLast: () => boolean;
  readonly onBegun: () => void;
  /** Called before an event of a stream is sent to the caller. */
  readonly onEvent: (endpoint: ServingEndpoint) => void;
  /** See {@link AttemptOptions}. */
  readonly mayDeliver: () => boolean;
  /** See {@link AttemptOptions}. */
  readonly onSilent: (hasArrived: boolean) => boolean;
}

/**
 * Runs one attempt, and records it in the state by which later requests are
 * placed, in the metrics and in the log.
 */
export class TrackedAttempt {
  private readonly attempt: Attempt;
  private readonly observation: AttemptObservation;
  private readonly followed: FollowedStream | undefined;
  private readonly startedAtMs: number;
  private readonly work: number;

  constructor(private readonly options: TrackedAttemptOptions) {
    const {context, request, placed} = options;
    const {prompt} = request.caller;
    this.startedAtMs = context.nowMs();
    this.work = prompt === undefined ? 1 : workOf(prompt, true);
    this.noteStart();
    this.observation = new AttemptObservation(context.state, {
      endpoint: placed.endpoint,
      route: request.admission.route,
      prompt,
      sentAtMs: this.startedAtMs,
    });
    this.followed = this.follow();
    this.attempt = this.create();
  }

  get endpointId(): EndpointId {
    return this.options.placed.endpoint.id;
  }

  get endpoint(): ServingEndpoint {
    return this.options.placed.endpoint;
  }

  /** Whether the request may have run there. */
  get verdict(): Verdict {
    return this.attempt.verdict;
  }

  /** Whether its endpoint has been silent for too long. */
  get isSilent(): boolean {
    return this.attempt.isSilent;
  }

  cancel(): void {
    this.attempt.cancel();
  }

  /** Cancels it as another endpoint has taken over from a silent one. */
  cancelAsSilent(): void {
    this.attempt.cancelAsSilent();
  }

  /** Resolves when the attempt has ended and is recorded. */
  async run(): Promise<TrackedResult> {
    const {attempt, observation, followed} = this;
    const {context, placed, record} = this.options;
    const {state, nowMs, metrics} = context;
    const {endpoint, group} = placed;
    let result: AttemptResult;
    let settled: SettledMove | undefined;
    try {
      result = await attempt.run();
      settled = await followed?.end(result.kind === 'answered');
      if (settled !== undefined && settled.kind !== 'none') {
        result = excuse(result);
      }
      observation.end(attempt.describeEnd(result), nowMs());
    } finally {
      observation.end(NOTHING_SHOWN, nowMs());
      state.monitor.end(endpoint.id, this.work);
    }
    const progress = attempt.describeProgress();
    record.noteProgress(progress);
    const {path, ending, headMs} = progress;
    if (headMs !== undefined)
      metrics.observeHeadWait(endpoint.service, group?.side ?? 'none', headMs);
    if (settled?.kind === 'moved') {
      metrics.countAttempt(endpoint.service, 'moved');
      return settled;
    }
    const durationMs = nowMs() - this.startedAtMs;
    const {hasBegun} = attempt;
    const outcome = {endpoint, result, durationMs, path, ending, hasBegun};
    recordOutcome(context, this.options.request, outcome);
    return result;
  }

  private noteStart(): void {
    const {context, placed, history, record} = this.options;
    const {endpoint, group} = placed;
    const {state, metrics} = context;
    const {startedAtMs} = this;
    if (group !== undefined) metrics.notePlacement(endpoint.service, group);
    if (state.rateLimits.find(endpoint.id) !== undefined) {
      metrics.countRateLimitedAttempt(endpoint.service);
    }
    history.begin(endpoint);
    record.noteChoice({
      load: state.monitor.estimateLoad(endpoint.id, startedAtMs),
      loadAgeMs: state.monitor.loadAgeMs(endpoint.id, startedAtMs),
      group,
    });
    state.monitor.begin(endpoint.id, this.work, startedAtMs);
    state.warmup.noteSent(endpoint, startedAtMs);
    state.rateLimits.noteSent(endpoint.id, startedAtMs);
    state.brittle.noteSent(endpoint, startedAtMs);
    state.reach.noteTrial(endpoint.dataCentre, startedAtMs);
  }

  /** Undefined for what is never moved to another engine. */
  private follow(): FollowedStream | undefined {
    const {context, request, placed, writer, movedRun} = this.options;
    // It was brought back to an engine that leaves since others had no room.
    if (movedRun?.isAtSource) return undefined;
    const {admission, caller, endsAtMs} = request;
    const {route, urgencyRank} = admission;
    return context.mover.follow({
      requestId: caller.requestId,
      prompt: caller.prompt,
      route,
      urgencyRank,
      endsAtMs,
      endpoint: placed.endpoint,
      writer,
      close: () => this.cancel(),
    });
  }

  private create(): Attempt {
    const {options, observation, followed} = this;
    const {context, request, writer, placed, movedRun} = options;
    return new Attempt({
      context,
      request,
      writer,
      placed,
      trial: request.trial,
      mayDeliver: options.mayDeliver,
      onSilent: options.onSilent,
      isLast: options.isLast,
      onBegun: options.onBegun,
      isContinuation: options.isContinuation,
      movedRun,
      mayBeStopped: async () => (await followed?.mayBeStopped()) ?? false,
      onEvent: () => {
        observation.noteEvent(context.nowMs());
        followed?.noteEvent(context.nowMs());
        options.onEvent(placed.endpoint);
      },
    });
  }
}

/**
 * A stream that ended after a call to stop it shows no failure of its endpoint,
 * even if the answer to that call is lost.
 */
function excuse(result: AttemptResult): AttemptResult {
  if (result.kind === 'answered') return result;
  const {connectionBroke = false, reason} = result;
  return {
    ...result,
    endpointOutcome: undefined,
    connectionBroke: false,
    reason: connectionBroke ? 'move_lost' : reason,
  };
}
