/** One caller's request from its body to the end of its answer. */

import type {IncomingMessage} from 'node:http';
import type {Logger} from '@snipestage/log/logger.js';
import {
  decideAfterFailure,
  failureFor,
  mayRunAgain,
} from '@snipestage/routing/attempt_policy.js';
import type {EndpointSign} from '@snipestage/routing/endpoint_monitor.js';
import {workOf} from '@snipestage/routing/prompt.js';
import type {Placed} from '@snipestage/routing/placement.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {
  DataCentreId,
  EndpointId,
  Fingerprint,
} from '@snipestage/types/ids.js';
import {worseVerdict, type Verdict} from '@snipestage/types/verdict.js';
import type {Admission} from './admission.js';
import type {AnswerWriter, WholeAnswer} from './answer_writer.js';
import type {CrashReporter} from './crash_reporter.js';
import {EndpointCall, type CallFailureReason} from './endpoint_call.js';
import {EventRelay} from './event_relay.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {
  AnswerHead,
  CallerRequest,
  PassThroughProtocol,
} from './pass_through_protocol.js';
import {readWhole} from './read_whole.js';
import type {RoutingState} from './routing_state.js';
import {limitsOnSilence} from './silence_limits.js';

/** What all exchanges share. */
export interface ExchangeContext {
  readonly state: RoutingState;
  readonly protocol: PassThroughProtocol;
  readonly dataCentre: DataCentreId;
  readonly crashes: CrashReporter;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly nowMs: () => number;
  readonly connectTimeoutMs: number;
  /** A request of the account began to run at this time of our clock. */
  readonly onBegun: (admission: Admission, atMs: number) => void;
}

/** A request that is read. */
export interface ReadRequest {
  readonly caller: CallerRequest;
  readonly admission: Admission;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer | undefined;
  readonly fingerprint: Fingerprint | undefined;
  readonly arrivedAtMs: number;
  /** The caller's patience or the operator's limit, whichever is shorter. */
  readonly endsAtMs: number;
}

/** How an attempt ended. */
type AttemptResult =
  | {readonly kind: 'answered'}
  | {
      readonly kind: 'failed';
      readonly verdict: Verdict;
      readonly sign: EndpointSign | undefined;
      readonly reason: string;
      /** The endpoint's own failure, which the caller may be given. */
      readonly answer?: WholeAnswer;
    };

/** Statuses that promise that a request has not run; only we may say so. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Owns the attempts of one request; at most one is under way. */
export class Exchange {
  private readonly excluded = new Set<EndpointId>();
  private verdict: Verdict = 'not_run';
  private runs = 0;
  private offers = 0;
  private call: EndpointCall | undefined;
  private hasExpired = false;
  private hasBegunRun = false;
  private lastFailure: WholeAnswer | undefined;
  private lastReason = 'none';
  /** What the last endpoint seemed to have, and how old that was. */
  private loadWhenChosen: number | undefined;

  constructor(
    private readonly context: ExchangeContext,
    private readonly request: ReadRequest,
    private readonly writer: AnswerWriter,
  ) {}

  /** Resolves when the caller has its final answer or is gone. */
  async run(): Promise<void> {
    const {state, nowMs} = this.context;
    const {service, route} = this.request.admission;
    state.budgetFor(service).countRequest(nowMs());
    const {prompt} = this.request.caller;
    state.demand.count(service, route, prompt, nowMs());
    state.demandToTell.count(service, route, prompt, nowMs());
    const leftMs = Math.max(0, this.request.endsAtMs - nowMs());
    const timer = setTimeout(() => this.expire(), leftMs);
    try {
      await this.attemptUntilAnswered();
    } finally {
      clearTimeout(timer);
    }
  }

  /** The caller hung up: whatever runs for it is ended at once. */
  cancel(): void {
    this.call?.cancel();
  }

  /** For the log line of the request. */
  summarise(): Record<string, unknown> {
    const {firstEventAtMs, longestPauseMs, events} = this.writer;
    const firstMs =
      firstEventAtMs && Math.round(firstEventAtMs - this.request.arrivedAtMs);
    return {
      verdict: this.verdict,
      offers: this.offers,
      runs: this.runs,
      reason: this.lastReason,
      expired: this.hasExpired || undefined,
      events: events || undefined,
      firstEventMs: firstMs,
      longestPauseMs: events > 0 ? Math.round(longestPauseMs) : undefined,
      load: this.loadWhenChosen,
      endpoint: [...this.excluded].at(-1),
    };
  }

  private expire(): void {
    this.hasExpired = true;
    this.lastReason = 'timeout';
    // The answer goes first: what the endpoint did is unknown once we hang up.
    this.fail();
    this.call?.cancel();
  }

  private async attemptUntilAnswered(): Promise<void> {
    for (;;) {
      if (this.writer.isOver) return;
      const placed = this.choose();
      if (placed === undefined) {
        this.lastReason = this.offers === 0 ? 'no_endpoint' : this.lastReason;
        return this.fail();
      }
      const result = await this.attempt(placed);
      if (result.kind === 'answered' || this.writer.isOver) return;
      if (!this.mayGoOn(result)) return this.fail();
    }
  }

  private choose(): Placed | undefined {
    const {state, dataCentre, nowMs} = this.context;
    const {route, service} = this.request.admission;
    const atMs = nowMs();
    const candidates = state.directory.findServing(service, atMs);
    return state.placementFor(service).choose(candidates, {
      route,
      prompt: this.request.caller.prompt,
      dataCentre,
      excluded: this.excluded,
      nowMs: atMs,
    });
  }

  private mayGoOn(result: Extract<AttemptResult, {kind: 'failed'}>): boolean {
    const {state, nowMs} = this.context;
    const {route, service} = this.request.admission;
    this.lastReason = result.reason;
    this.lastFailure = result.answer;
    const candidates = state.directory.findServing(service, nowMs());
    const untried = candidates.filter(({id}) => !this.excluded.has(id)).length;
    const decision = decideAfterFailure({
      route,
      verdict: result.verdict,
      runs: this.runs,
      offers: this.offers,
      deliveredEvents: this.writer.events,
      leftMs: this.request.endsAtMs - nowMs(),
      untried,
    });
    if (decision.kind === 'give_up') return false;
    // Without a connection the endpoint got nothing: that is no arrival.
    if (result.sign === 'unreachable') return true;
    return state.budgetFor(service).tryTake(nowMs());
  }

  private async attempt(placed: Placed): Promise<AttemptResult> {
    const {endpoint} = placed;
    const {state, nowMs} = this.context;
    const {prompt} = this.request.caller;
    const work = prompt === undefined ? 1 : workOf(prompt, true);
    this.offers += 1;
    this.excluded.add(endpoint.id);
    this.loadWhenChosen = Math.round(
      state.monitor.estimateLoad(endpoint.id, nowMs()),
    );
    state.monitor.begin(endpoint.id, work);
    const startedAtMs = nowMs();
    let result: AttemptResult;
    try {
      result = await this.send(placed);
    } finally {
      state.monitor.end(endpoint.id, work);
      this.call = undefined;
    }
    this.settle(endpoint, result, nowMs() - startedAtMs);
    return result;
  }

  /** Draws what an attempt tells of its endpoint and of the request. */
  private settle(
    endpoint: ServingEndpoint,
    result: AttemptResult,
    durationMs: number,
  ): void {
    const {state, crashes, metrics, nowMs} = this.context;
    const {fingerprint, admission} = this.request;
    const atMs = nowMs();
    this.noteReach(endpoint, result, atMs);
    if (result.kind === 'answered') {
      this.verdict = 'ran';
      state.monitor.note(endpoint.id, 'answered', atMs);
      state.refusalDelayFor(admission.service).noteServed(atMs);
      crashes.noteSound(endpoint, fingerprint);
      if (admission.route.kind !== 'stream') {
        state.monitor.noteDuration(endpoint.id, durationMs);
      }
      metrics.countAttempt(admission.service, 'answered');
      return;
    }
    this.verdict = worseVerdict(this.verdict, result.verdict);
    if (result.verdict !== 'not_run') this.runs += 1;
    metrics.countAttempt(admission.service, result.reason);
    if (result.sign !== undefined) {
      state.monitor.note(endpoint.id, result.sign, atMs);
    }
    if (result.reason === 'unreachable') crashes.noteUnreachable(endpoint);
    if (result.reason === 'broken' && fingerprint !== undefined) {
      crashes.noteBroken(endpoint, fingerprint);
    }
    this.context.logger.info('attempt_failed', {
      requestId: this.request.caller.requestId,
      endpoint: endpoint.id,
      reason: result.reason,
      verdict: result.verdict,
      durationMs: Math.round(durationMs),
      load: Math.round(state.monitor.estimateLoad(endpoint.id, atMs)),
    });
  }

  private noteReach(
    endpoint: ServingEndpoint,
    result: AttemptResult,
    nowMs: number,
  ): void {
    const {reach} = this.context.state;
    if (result.kind === 'failed' && result.reason === 'connect_timeout') {
      reach.noteUnreached(endpoint.dataCentre, endpoint.id, nowMs);
    } else if (result.kind === 'answered') {
      reach.noteReached(endpoint.dataCentre);
    }
  }

  private async send(placed: Placed): Promise<AttemptResult> {
    const {endpoint, cacheSource} = placed;
    const {protocol, nowMs, connectTimeoutMs} = this.context;
    const {request, writer} = this;
    const timeLeftMs = Math.max(1, Math.floor(request.endsAtMs - nowMs()));
    const call = new EndpointCall({
      address: endpoint.address,
      method: request.method,
      path: request.path,
      headers: protocol.composeForwarded(request.rawHeaders, {
        endpoint: endpoint.id,
        clientAccount: request.admission.clientAccount,
        timeLeftMs,
        tier: request.admission.tier,
        lastEventId: writer.lastEventId ?? request.caller.lastEventId,
        cacheSource: cacheSource?.address,
        bodyBytes: request.body?.length,
      }),
      body: request.body,
      connectTimeoutMs: Math.min(connectTimeoutMs, timeLeftMs),
    });
    this.call = call;
    const silence = this.watchSilence(call, timeLeftMs);
    const head = await call.head;
    if (head.kind === 'failed') {
      silence.stop();
      return this.failedWithoutHead(head, silence.hasFired);
    }
    return this.takeHead(endpoint, call, head.response, silence);
  }

  private failedWithoutHead(
    head: {readonly reason: CallFailureReason; readonly verdict: Verdict},
    wasSilent: boolean,
  ): AttemptResult {
    if (wasSilent) {
      // Given up before the connection stood: nobody was silent, there was no
      // way, as with a connect timeout of our own.
      const hadNoWay = head.verdict === 'not_run';
      return {
        kind: 'failed',
        verdict: head.verdict,
        sign: hadNoWay ? 'unreachable' : 'silent',
        reason: hadNoWay ? 'connect_timeout' : 'silent',
      };
    }
    const {reason, verdict} = head;
    if (reason === 'cancelled') {
      return {kind: 'failed', verdict, sign: undefined, reason};
    }
    const sign = reason === 'broken' ? 'failed' : 'unreachable';
    return {kind: 'failed', verdict, sign, reason};
  }

  private async takeHead(
    endpoint: ServingEndpoint,
    call: EndpointCall,
    response: IncomingMessage,
    silence: SilenceWatch,
  ): Promise<AttemptResult> {
    const {protocol, state, nowMs} = this.context;
    const head = protocol.readAnswer(
      response.statusCode ?? 0,
      response.headers,
    );
    if (head.load !== undefined) {
      state.monitor.noteLoad(endpoint.id, head.load, nowMs());
    }
    const isOwn =
      head.requestId === this.request.caller.requestId && !head.isEncoded;
    const isSuccess = head.status >= 200 && head.status < 300;
    const isStream = this.request.admission.route.kind === 'stream';
    if (isStream && isSuccess && isOwn && head.isSigned) {
      return this.relay(call, response, head, silence);
    }
    const body = await readWhole(call, response);
    silence.stop();
    if (head.isNotRun || head.isMisdirected) {
      call.cancel();
      const sign = head.isMisdirected ? 'unreachable' : 'rejected';
      const reason = head.isMisdirected ? 'misdirected' : 'rejected';
      return {kind: 'failed', verdict: 'not_run', sign, reason};
    }
    if (body === undefined) return this.brokenAnswer(silence.hasFired);
    if (!isOwn || !head.isSigned) {
      return {
        kind: 'failed',
        verdict: 'ran',
        sign: 'failed',
        reason: 'foreign_answer',
      };
    }
    return this.takeWhole(head, response, body);
  }

  private brokenAnswer(wasSilent: boolean): AttemptResult {
    const reason = wasSilent ? 'silent' : 'broken';
    const sign = wasSilent ? 'silent' : 'failed';
    return {kind: 'failed', verdict: 'ran', sign, reason};
  }

  private takeWhole(
    head: AnswerHead,
    response: IncomingMessage,
    body: Buffer,
  ): AttemptResult {
    const headers = this.context.protocol.composeAnswer(response.rawHeaders);
    const answer = {status: head.status, headers, body};
    const isFinal = head.status < 500 && !PROMISING_STATUSES.has(head.status);
    if (isFinal && !this.writer.hasBegun) {
      this.noteBegun();
      this.writer.sendWhole(answer);
      return {kind: 'answered'};
    }
    return {
      kind: 'failed',
      verdict: 'ran',
      sign: 'failed',
      reason: `status_${head.status}`,
      answer: PROMISING_STATUSES.has(head.status) ? undefined : answer,
    };
  }

  private async relay(
    call: EndpointCall,
    response: IncomingMessage,
    head: AnswerHead,
    silence: SilenceWatch,
  ): Promise<AttemptResult> {
    const {protocol} = this.context;
    const relay = new EventRelay({
      call,
      response,
      writer: this.writer,
      status: head.status,
      headers: protocol.composeAnswer(response.rawHeaders),
      onEvent: () => {
        silence.restart();
        this.noteBegun();
      },
    });
    const isWhole = await relay.run();
    silence.stop();
    if (isWhole) return {kind: 'answered'};
    call.cancel();
    return this.brokenAnswer(silence.hasFired);
  }

  private noteBegun(): void {
    if (this.hasBegunRun) return;
    this.hasBegunRun = true;
    this.context.onBegun(this.request.admission, this.context.nowMs());
  }

  /**
   * Ends an attempt that has been silent for too long, where another may take
   * over. Where none may, silence is no reason to end anything.
   */
  private watchSilence(call: EndpointCall, timeLeftMs: number): SilenceWatch {
    const {route, service} = this.request.admission;
    const {state, nowMs} = this.context;
    const limits = limitsOnSilence(route, timeLeftMs);
    const onSilent = (): boolean => {
      const maySwitch = mayRunAgain(route) && this.runs + 1 < route.maxAttempts;
      const candidates = state.directory.findServing(service, nowMs());
      const hasOther = candidates.some(({id}) => !this.excluded.has(id));
      if (!maySwitch || !hasOther) return false;
      if (!state.budgetFor(service).hasRoom(nowMs())) return false;
      call.cancel();
      return true;
    };
    return new SilenceWatch(limits, onSilent);
  }

  /** The final answer when no endpoint gives one. */
  private fail(): void {
    if (this.writer.isOver) return;
    const {state, protocol, nowMs} = this.context;
    const {service} = this.request.admission;
    if (this.lastFailure !== undefined && !this.hasExpired) {
      this.writer.sendWhole(this.lastFailure);
      return;
    }
    const verdict = worseVerdict(this.verdict, this.call?.verdict ?? 'not_run');
    this.verdict = verdict;
    const retryAfterMs = state.refusalDelayFor(service).adviseMs(nowMs());
    const failure = failureFor(verdict, {
      timedOut: this.hasExpired,
      retryAfterMs,
    });
    const headers =
      failure.retryAfterMs === undefined
        ? {}
        : protocol.composeRetryAfter(failure.retryAfterMs);
    this.writer.fail(failure.status, headers);
  }
}

/** Times the silence before the first event and between events. */
class SilenceWatch {
  private timer: NodeJS.Timeout | undefined;
  hasFired = false;

  constructor(
    private readonly limits: {
      readonly firstMs: number;
      readonly nextMs: number;
    },
    /** @returns whether the attempt was ended. */
    private readonly onSilent: () => boolean,
  ) {
    this.arm(limits.firstMs);
  }

  restart(): void {
    this.arm(this.limits.nextMs);
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private arm(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      this.hasFired = this.onSilent();
    }, delayMs);
  }
}
