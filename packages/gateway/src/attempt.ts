/** One attempt of a request at one endpoint. */

import type {IncomingMessage} from 'node:http';
import {isWellFormedHead} from '@snipestage/connection/answer_head.js';
import type {ReportedLoad} from '@snipestage/routing/endpoint_monitor.js';
import type {AttemptEnd} from '@snipestage/routing/load_correction.js';
import type {Placed} from '@snipestage/routing/placement.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import {
  limitsOnSilence,
  overdueAfterMs,
} from '@snipestage/routing/silence_limits.js';
import {sharesCache} from '@snipestage/routing/stream_origin.js';
import type {PromptPartId} from '@snipestage/types/ids.js';
import type {Verdict} from '@snipestage/types/verdict.js';
import type {AnswerWriter} from './answer_writer.js';
import type {ProgressRecord} from './attempt_record.js';
import {AttemptTiming} from './attempt_timing.js';
import {UNREAD_BODY_TIMEOUT_MS} from './body_sending.js';
import {EndpointCall} from './endpoint_call.js';
import {isBehind} from './event_loop_watch.js';
import {EventRelay} from './event_relay.js';
import {
  failedWithBrokenAnswer,
  failedWithoutHead,
  FOREIGN_ANSWER,
  MALFORMED_HEAD,
  NO_EVENT_STREAM,
  OVERSIZED_ANSWER,
} from './failed_result.js';
import type {MovedRun} from './migration/moved_run.js';
import {OverdueWatch} from './overdue_watch.js';
import type {
  AttemptResult,
  ExchangeContext,
  FailedResult,
  ReadRequest,
} from './exchange_context.js';
import type {AnswerHead} from './pass_through_protocol.js';
import {readAnswerBody, type AnswerBody} from './read_answer_body.js';
import {recordAnnouncements} from './record_announcements.js';
import {SilenceWatch} from './silence_watch.js';

/**
 * Statuses that promise a caller that its request has not run. They are never
 * passed on from an endpoint: only this system may make that promise.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** An endpoint that crashes as it begins an answer may send one event. */
const EVENTS_OF_BEGUN_ANSWER = 2;
/** Pauses of a stream that are kept; they are enough to tell its pace. */
const MAX_PAUSES = 64;

/** Nothing was sent: another endpoint may have the stream. */
const REPLACED = {
  kind: 'failed',
  path: 'direct',
  reason: 'not_serving',
} as const;

/** Options of {@link Attempt}. */
export interface AttemptOptions {
  readonly context: ExchangeContext;
  readonly request: ReadRequest;
  readonly writer: AnswerWriter;
  readonly placed: Placed;
  /** Suspect parts of the prompt of which the attempt is a trial. */
  readonly trial: readonly PromptPartId[];
  /**
   * Called when the endpoint has been silent for too long; returns whether the
   * attempt has been cancelled for that.
   *
   * @param hasArrived whether the endpoint may have received the request.
   */
  readonly onSilent: (hasArrived: boolean) => boolean;
  /**
   * Called when the answer begins and before each event; returns whether it may
   * be passed on to the caller.
   */
  readonly mayDeliver: () => boolean;
  /** Whether no other endpoint is left to try. */
  readonly isLast: () => boolean;
  /** Called, possibly repeatedly, once the endpoint has begun the request. */
  readonly onBegun: () => void;
  /** Called before an event of a stream is sent to the caller. */
  readonly onEvent: () => void;
  /** It goes on with a stream of which the caller has events already. */
  readonly isContinuation: boolean;
  /** A stopped run that the attempt continues; undefined: it begins one. */
  readonly movedRun: MovedRun | undefined;
  /** Whether the run may have been stopped on this instance's demand. */
  readonly mayBeStopped: () => Promise<boolean>;
}

/** Owns the call to the endpoint; its owner decides what follows a failure. */
export class Attempt {
  private readonly call: EndpointCall;
  private readonly silence: SilenceWatch;
  private readonly timing: AttemptTiming;
  private readonly overdue: OverdueWatch;
  private answeredLoad: ReportedLoad | undefined;
  /** Events that this endpoint sent. */
  private events = 0;
  private lastEventAtMs = 0;
  private readonly pausesMs: number[] = [];

  constructor(private readonly options: AttemptOptions) {
    const {context, request, placed} = options;
    const {state, crashes, nowMs, connectTimeout} = context;
    const {unreadBodyTimeoutMs = UNREAD_BODY_TIMEOUT_MS} = context;
    const timeLeftMs = Math.max(1, request.endsAtMs - nowMs());
    this.timing = new AttemptTiming(nowMs);
    this.overdue = this.createOverdueWatch();
    this.call = new EndpointCall({
      method: request.method,
      path: request.path,
      composeHeaders: () => this.composeHeaders(),
      body: request.body,
      connect: async signal => {
        if (await this.wasReplaced()) return REPLACED;
        return context.connector.open({
          endpoint: placed.endpoint,
          timeoutMs: Math.min(connectTimeout.timeoutMs, timeLeftMs),
          isLast: options.isLast(),
          signal,
        });
      },
      mayStillSend: () => {
        this.timing.noteConnected();
        if (request.admission.route.kind === 'stream') this.overdue.start();
        if (!state.directory.isCurrentIncarnation(placed.endpoint))
          return false;
        // The run goes on where it was: the engine leaves, but has its memory.
        if (options.movedRun?.isAtSource) return true;
        return (
          state.directory.mayStillSend(placed.endpoint, nowMs()) &&
          crashes.mayRun(request.content, options.trial)
        );
      },
      unreadTimeoutMs: Math.min(unreadBodyTimeoutMs, timeLeftMs),
      isStillUp: () => this.isEndpointUp(),
    });
    const limits = limitsOnSilence(request.admission.route, timeLeftMs);
    this.silence = new SilenceWatch(limits, () =>
      options.onSilent(this.verdict !== 'not_run'),
    );
  }

  /** Whether the request may have run, judged by how much of it was sent. */
  get verdict(): Verdict {
    return this.call.verdict;
  }

  /** Whether the endpoint's answer got beyond its first event. */
  get hasBegun(): boolean {
    return this.events >= EVENTS_OF_BEGUN_ANSWER;
  }

  /** How far it has come, for the log and for what is learnt from it. */
  describeProgress(): ProgressRecord {
    const {call, timing} = this;
    return {
      path: call.path,
      forwarder: call.forwarder,
      pathError: call.pathError,
      softwareVersion: this.options.placed.endpoint.softwareVersion,
      ending: call.ending,
      connectMs: timing.connectMs,
      headMs: timing.headMs,
      answeredLoad: this.answeredLoad,
    };
  }

  /** Whether its endpoint has been silent for too long. */
  get isSilent(): boolean {
    return this.silence.isSilent;
  }

  /** Closes the connection, upon which the endpoint stops its work. */
  cancel(): void {
    this.call.cancel();
  }

  /** Cancels it because of its endpoint's silence. */
  cancelAsSilent(): void {
    this.silence.hasFired = true;
    this.call.cancel();
  }

  /** Passes the answer on to the caller, or returns why there is none. */
  async run(): Promise<AttemptResult> {
    try {
      const head = await this.call.head;
      if (head.kind === 'head') return await this.handleHead(head.response);
      return failedWithoutHead({...head, wasSilent: this.silence.hasFired});
    } catch (error) {
      this.call.cancel();
      throw error;
    } finally {
      this.silence.stop();
      this.overdue.stop();
    }
  }

  private composeHeaders(): string[] {
    const {context, request, writer, placed} = this.options;
    const leftMs = request.endsAtMs - context.nowMs();
    return context.protocol.composeForwarded(request.rawHeaders, {
      endpoint: placed.endpoint.id,
      clientAccount: request.admission.clientAccount,
      timeLeftMs: Math.max(1, Math.floor(leftMs)),
      urgencyRank: request.admission.urgencyRank,
      lastEventId: writer.lastEventId ?? request.caller.lastEventId,
      cacheSource: this.findCacheSource(),
      copiedMemory: this.options.movedRun?.memory,
      bodyBytes: request.body?.length,
    });
  }

  private createOverdueWatch(): OverdueWatch {
    const {context, request} = this.options;
    const {state} = context;
    const {route} = request.admission;
    return new OverdueWatch({
      limitMs: overdueAfterMs(route, state.waits.p90Ms(route.id)),
      isBehind: () => isBehind(context),
      onOverdue: () => this.noteOverdue(),
    });
  }

  /** A forwarded connection may be what is slow. */
  private noteOverdue(): void {
    const {context, request, placed} = this.options;
    const {state, metrics, logger, nowMs} = context;
    const {endpoint} = placed;
    const isEndpointSlow =
      this.call.path === 'direct' &&
      state.directory.isCurrentIncarnation(endpoint);
    const load = state.monitor.estimateLoad(endpoint.id, nowMs());
    const isNoted = isEndpointSlow && state.loads.noteSilent(endpoint, nowMs());
    if (!isNoted) return;
    metrics.countOverdueRequest(endpoint.service);
    logger.info('endpoint_overdue', {
      requestId: request.caller.requestId,
      route: request.admission.route.id,
      endpoint: endpoint.id,
      load: Math.round(load),
    });
  }

  private async isEndpointUp(): Promise<boolean> {
    const {context, placed, mayBeStopped} = this.options;
    // A run that was stopped may close its stream as one that has ended does.
    if (await mayBeStopped()) return false;
    return context.probes.isUp(placed.endpoint);
  }

  /**
   * An endpoint that starts again under its id may run another software version
   * than its entry still says, and accepts what names it by its id.
   */
  private async wasReplaced(): Promise<boolean> {
    const {context, placed, isContinuation} = this.options;
    const {endpoint} = placed;
    if (!isContinuation || endpoint.bornEpochMs === undefined) return false;
    return context.probes.isReplaced(endpoint);
  }

  private findCacheSource(): EndpointAddress | undefined {
    const {endpoint, cacheSource} = this.options.placed;
    if (cacheSource === undefined) return undefined;
    return sharesCache(cacheSource, endpoint) ? cacheSource.address : undefined;
  }

  /** What it has shown of its endpoint, once its result is known. */
  describeEnd(result: AttemptResult): AttemptEnd {
    return {
      isAnswered: result.kind === 'answered',
      outcome: result.kind === 'answered' ? 'answered' : result.endpointOutcome,
      pausesMs: this.pausesMs,
      workTimeRatio: this.answeredLoad?.workTimeRatio,
    };
  }

  private countEvent(): void {
    const {context, request, trial} = this.options;
    const atMs = context.nowMs();
    if (this.events > 0 && this.pausesMs.length < MAX_PAUSES) {
      this.pausesMs.push(atMs - this.lastEventAtMs);
    }
    this.lastEventAtMs = atMs;
    this.events += 1;
    if (this.events !== EVENTS_OF_BEGUN_ANSWER) return;
    context.crashes.noteBegun(request.content, trial);
  }

  private async handleHead(response: IncomingMessage): Promise<AttemptResult> {
    this.timing.noteHead();
    if (!isWellFormedHead(response))
      return this.refuse(MALFORMED_HEAD, response);
    const {context, request, placed} = this.options;
    const {protocol} = context;
    const head = protocol.readAnswer(
      response.statusCode ?? 0,
      response.headers,
    );
    this.answeredLoad = head.load;
    recordAnnouncements(context, {head, request, endpoint: placed.endpoint});
    const isOwn =
      head.requestId === request.caller.requestId &&
      !head.isEncoded &&
      head.isSigned;
    const isSuccess = head.status >= 200 && head.status < 300;
    const isStream = request.admission.route.kind === 'stream';
    const isRelayed = isOwn && isStream && isSuccess;
    const isRejected = head.isNotRun || head.isMisdirected;
    if (isRejected && !isRelayed) return this.rejectedAnswer(head, response);
    if (!isOwn) return this.refuse(FOREIGN_ANSWER, response);
    const mayDeliver = isRelayed || this.mayPassOn(head);
    if (mayDeliver && !this.accept()) {
      return this.refuse(this.describeCancelled(), response);
    }
    if (isRelayed) return this.relay(response, head);
    const body = await this.readBody(response);
    if (body === 'broken') return this.brokenAnswer();
    if (body === 'too_long') return this.refuse(OVERSIZED_ANSWER, response);
    return this.handleWholeAnswer(head, response, body);
  }

  /** Whether an answer that isn't relayed may be the caller's, as a whole. */
  private mayPassOn({status}: AnswerHead): boolean {
    const isFinal = status < 500 && !NOT_RUN_STATUSES.has(status);
    return isFinal && !this.options.writer.hasBegun;
  }

  /** Too long is also what finds no room beside the answers of others. */
  private async readBody(response: IncomingMessage): Promise<AnswerBody> {
    const {writer, placed} = this.options;
    const held = writer.openReadAhead(placed.endpoint.id);
    if (held !== undefined) held.onAborted = () => this.call.cancel();
    const body = await readAnswerBody(this.call, response, bytes =>
      held?.set(bytes, 'read_ahead'),
    );
    const wasAborted = held?.isOver === true;
    held?.close();
    return wasAborted ? 'too_long' : body;
  }

  /** @returns whether the answer that begins may be passed on. */
  private accept(): boolean {
    const mayDeliver = this.options.mayDeliver();
    // It may have waited in a queue for longer than an answer may pause.
    if (this.silence.isSilent) this.silence.restart();
    return mayDeliver;
  }

  private describeCancelled(): FailedResult {
    const {verdict} = this;
    const reason = 'cancelled';
    return failedWithoutHead({reason, verdict, wasSilent: false});
  }

  private rejectedAnswer(
    {isMisdirected}: AnswerHead,
    response: IncomingMessage,
  ): FailedResult {
    const rejected: FailedResult = {
      kind: 'failed',
      verdict: 'not_run',
      endpointOutcome: isMisdirected ? 'unreachable' : 'rejected',
      reason: isMisdirected ? 'misdirected' : 'rejected',
      hasArrived: true,
    };
    return this.refuse(rejected, response);
  }

  /** The rest of the answer says nothing: it doesn't matter how it ends. */
  private refuse(
    result: FailedResult,
    response: IncomingMessage,
  ): FailedResult {
    response.on('error', () => undefined);
    this.call.cancel();
    return result;
  }

  private brokenAnswer(): FailedResult {
    const {context, request} = this.options;
    return failedWithBrokenAnswer({
      hasPathBroken: this.call.hasPathBroken,
      wasSilent: this.silence.hasFired,
      isSilent: this.silence.isSilent,
      isCancelled: this.call.isCancelled,
      isLate: context.nowMs() >= request.endsAtMs,
    });
  }

  private handleWholeAnswer(
    head: AnswerHead,
    response: IncomingMessage,
    body: Buffer,
  ): AttemptResult {
    const {context, writer, onBegun} = this.options;
    // Whatever the status, the endpoint has begun to run the request.
    onBegun();
    const headers = context.protocol.composeAnswer(response.rawHeaders);
    const answer = {status: head.status, headers, body};
    if (this.mayPassOn(head)) {
      writer.sendWhole(answer);
      return {kind: 'answered'};
    }
    return {
      kind: 'failed',
      verdict: 'ran',
      endpointOutcome: 'failed',
      reason: `status_${head.status}`,
      hasArrived: true,
      answer: NOT_RUN_STATUSES.has(head.status) ? undefined : answer,
    };
  }

  private async relay(
    response: IncomingMessage,
    head: AnswerHead,
  ): Promise<AttemptResult> {
    const {context, writer, onBegun, onEvent} = this.options;
    this.options.movedRun?.noteContinued();
    const relay = new EventRelay({
      call: this.call,
      response,
      writer,
      status: head.status,
      headers: context.protocol.composeAnswer(response.rawHeaders),
      onEvent: () => {
        this.options.mayDeliver();
        this.silence.restart();
        this.overdue.stop();
        this.countEvent();
        onBegun();
        onEvent();
      },
      // Its endpoint isn't silent while this instance doesn't read it.
      onPaused: () => this.silence.pause(),
      onResumed: () => this.silence.restart(),
    });
    const end = await relay.run();
    writer.noteUnsent(0);
    if (end === 'whole') return {kind: 'answered'};
    if (end === 'no_event') return this.refuse(NO_EVENT_STREAM, response);
    const result = this.brokenAnswer();
    this.call.cancel();
    return result;
  }
}
