/** Handles a caller's request from its head to its final answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {fingerprintOf} from '@snipestage/entry/identify/fingerprint.js';
import {mayRunAgain} from '@snipestage/routing/attempt_policy.js';
import {listSharedParts} from '@snipestage/routing/prompt.js';
import type {RequestSlots} from '@snipestage/routing/request_slots.js';
import type {Shutdown} from '@snipestage/routing/shutdown.js';
import type {StreamOrigin} from '@snipestage/routing/stream_origin.js';
import type {
  ClientAccountId,
  Fingerprint,
  PromptPartId,
} from '@snipestage/types/ids.js';
import {admit, type Admission} from './admission.js';
import {AnswerWriter} from './answer_writer.js';
import {CatchUpGate} from './catch_up_gate.js';
import {CallerConnections, type ConnectionFacts} from './caller_connections.js';
import {isBehind} from './event_loop_watch.js';
import {MAX_HEADER_BYTES} from './callers_server.js';
import type {MemoryGuard} from './memory_guard.js';
import {RequestMemory} from './request_memory.js';
import {Exchange} from './exchange.js';
import type {ExchangeContext} from './exchange_context.js';
import type {CallerRequest} from './pass_through_protocol.js';

/** Options of {@link RequestHandler}; default in the brackets. */
export interface RequestHandlerOptions extends ExchangeContext {
  readonly shutdown: Shutdown;
  /** Bounds what is held for callers; undefined: no bound. */
  readonly memory?: MemoryGuard;
  /** Bounds the requests in progress; undefined: no bound. */
  readonly slots?: RequestSlots;
  /** At least 0 and below 1 (`Math.random`). */
  readonly random?: () => number;
}

/** When a request was read, and when it may have come. */
interface Arrival {
  readonly readAtMs: number;
  readonly earliestMs: number;
  /** For which its connection may have waited to be accepted. */
  readonly queuedMs: number;
}

/** Endpoints may be handed half a second more than a caller has left. */
const MIN_TIME_LEFT_MS = 400;
/** For a caller that states no timeout; its route's timeout applies. */
const NO_LIMIT_MS = Number.POSITIVE_INFINITY;
const REQUEST_TIMEOUT = 408;
const PAYLOAD_TOO_LARGE = 413;
const HEADERS_TOO_LARGE = 431;
const UNAVAILABLE = 503;
/**
 * Without a configuration: about the time that an instance's start takes; with
 * too many connections, that in which the balancer spreads new ones.
 */
const DEFAULT_RETRY_AFTER_MS = 500;
/** While this instance stops, another one can take the request at once. */
const RETRY_ELSEWHERE_AFTER_MS = 0;
/** A record of the stream may arrive, or the store may be back, by then. */
const STREAM_UNKNOWN_RETRY_AFTER_MS = 500;
/** Aborted answers and answered requests free memory within about that time. */
const NO_MEMORY_RETRY_AFTER_MS = 1000;
/** Slots are free again when requests have ended. */
const NO_SLOT_RETRY_AFTER_MS = 1000;
/** Time for the rest of a body after the answer, enough for a slow link. */
const UNREAD_BODY_LINGER_MS = 10_000;
/** For fingerprints of requests without an account, on public routes. */
const NO_ACCOUNT = '' as ClientAccountId;
const NO_BODY = Buffer.alloc(0);

/** Handles requests and counts those in progress. */
export class RequestHandler {
  readonly connections: CallerConnections;
  private count = 0;
  private readonly exchanges = new Set<Exchange>();
  /** Refuse requests that no endpoint has been chosen for yet. */
  private readonly refusals = new Set<(reason: string) => void>();
  private readonly random: () => number;
  private readonly gate: CatchUpGate;

  constructor(private readonly options: RequestHandlerOptions) {
    this.random = options.random ?? Math.random;
    this.connections = new CallerConnections(options.nowMs, () =>
      this.gate.recheck(),
    );
    const {queue} = this.connections;
    this.gate = new CatchUpGate({
      isBehind: () => isBehind(options),
      hasBacklog: () => queue.isBehind,
    });
  }

  /**
   * Requests whose final answer hasn't been handed to the kernel yet. An answer
   * that was written to its connection still counts: with a slow caller most of
   * it may be buffered here, and would be cut off if the process ended.
   */
  get inProgress(): number {
    return this.count;
  }

  /**
   * Ends all requests in progress with a final answer, since the instance ends.
   * If the connection closed without one, the caller couldn't know whether its
   * request was read.
   *
   * @param reason for the log.
   */
  giveUpAll(reason: string): void {
    for (const exchange of this.exchanges) exchange.giveUp(reason);
    for (const refuse of this.refusals) refuse(reason);
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const readAtMs = this.options.nowMs();
    const facts = this.connections.noteRequest(request, readAtMs);
    if (this.count >= (this.options.slots?.maxRequests ?? Infinity)) {
      this.refuseUncounted(request, response);
      return;
    }
    const arrival = this.estimateArrival(readAtMs, facts);
    let exchange: Exchange | undefined;
    const {shutdown, memory: guard, slots} = this.options;
    const writer = new AnswerWriter(
      response,
      // Pipelined answers behind one that closes the connection would be lost.
      () => shutdown.isStopping && this.connections.isLastAnswer(request),
      () => exchange?.cancel(),
    );
    this.count += 1;
    const bounds = {memory: guard, slots};
    const memory = new RequestMemory(bounds, writer, reason =>
      exchange?.giveUp(reason),
    );
    const line = this.describeArrival(arrival, facts);
    const closingSide = this.connections.watchClosingSide(request);
    this.connections.followAnswer(request, response, () => {
      this.count -= 1;
      writer.noteDisconnected();
      memory.closeAnswer();
      closeUnlessRead(request);
    });
    const refuse = (reason: string) => {
      if (writer.isOver) return;
      line.reason = reason;
      // Node.js (20) doesn't end a request whose answer came before its body.
      response.once('close', () => request.destroy());
      this.refuseElsewhere(writer);
    };
    this.refusals.add(refuse);
    try {
      exchange = await this.prepare(request, writer, memory, arrival, line);
      this.refusals.delete(refuse);
      if (exchange !== undefined) await this.run(exchange);
    } catch (error) {
      this.options.logger.error('request_failed', {
        ...line,
        error: String(error),
      });
      writer.fail(502, {});
    } finally {
      this.refusals.delete(refuse);
      memory.closeBody();
      if (writer.isUnfinished) line.closedBy = closingSide();
      this.account(writer, response, exchange, arrival.readAtMs, line);
    }
  }

  private async run(exchange: Exchange): Promise<void> {
    this.exchanges.add(exchange);
    try {
      await exchange.run();
    } finally {
      this.exchanges.delete(exchange);
    }
  }

  /** A request may have waited in its connection, and that to be accepted. */
  private estimateArrival(
    readAtMs: number,
    {openedAtMs, maxQueuedMs}: ConnectionFacts,
  ): Arrival {
    const {earliestArrivalMs = () => readAtMs} = this.options;
    const readSinceMs = Math.min(readAtMs, earliestArrivalMs());
    const queuedSinceMs = maxQueuedMs > 0 ? openedAtMs - maxQueuedMs : readAtMs;
    return {
      readAtMs,
      earliestMs: Math.min(readSinceMs, queuedSinceMs),
      queuedMs: readAtMs - queuedSinceMs,
    };
  }

  /**
   * Log fields of a request: whether it may have waited to be read, how long
   * after the signal to stop it came, and on what kind of connection.
   */
  private describeArrival(
    {readAtMs, earliestMs}: Arrival,
    facts: ConnectionFacts,
  ): Record<string, unknown> {
    const heldUpMs = Math.round(readAtMs - earliestMs) || undefined;
    const sinceStopMs = this.options.shutdown.sinceMs(readAtMs);
    return {
      heldUpMs,
      acceptedAfterMs: Math.round(facts.maxQueuedMs) || undefined,
      sinceStopMs: sinceStopMs && Math.round(sinceStopMs),
      connectionAgeMs: Math.round(readAtMs - facts.openedAtMs),
      connectionRequests: facts.requests,
    };
  }

  /** @returns undefined when the request was refused or its caller left. */
  private async prepare(
    request: IncomingMessage,
    writer: AnswerWriter,
    memory: RequestMemory,
    arrival: Arrival,
    line: Record<string, unknown>,
  ): Promise<Exchange | undefined> {
    const {protocol, state} = this.options;
    const {table} = state;
    const path = request.url ?? '/';
    const caller = protocol.readRequest(request.headers);
    line.requestId = caller.requestId;
    line.lastEventId = caller.lastEventId;
    line.resumes = caller.resumes;
    line.version = table?.configuration.version;
    const {maxHeaderBytes = MAX_HEADER_BYTES, maxBodyBytes = 0} =
      table?.configuration.limits ?? {};
    if (countHeaderBytes(request.rawHeaders) > maxHeaderBytes) {
      line.reason = 'headers_too_large';
      writer.fail(HEADERS_TOO_LARGE, {Connection: 'close'});
      return undefined;
    }
    const admitted = admit({
      table,
      host: request.headers.host ?? '',
      path,
      request: caller,
      random: this.random(),
    });
    if (admitted.kind === 'turned_away') {
      line.reason = admitted.reason;
      request.resume();
      this.turnAway(writer, admitted.status);
      return undefined;
    }
    const {admission} = admitted;
    line.route = admission.route.id;
    line.account = admission.clientAccount;
    line.urgencyRank = admission.urgencyRank;
    const hasSlot = memory.begin(
      caller.requestId,
      admission.clientAccount,
      request.socket.remoteAddress,
    );
    if (!hasSlot) {
      line.reason = 'too_many_requests';
      request.resume();
      writer.fail(
        UNAVAILABLE,
        protocol.composeRetryAfter(NO_SLOT_RETRY_AFTER_MS),
      );
      return undefined;
    }
    const limitMs = timeLimitMs(caller, admission);
    const body = await memory.readBody(request, {
      maxBytes: maxBodyBytes,
      timeoutMs: limitMs,
    });
    if (body === 'timed_out') {
      line.reason = 'body_too_slow';
      this.options.metrics.countOverload('body_time');
      writer.fail(REQUEST_TIMEOUT, {Connection: 'close'});
      return undefined;
    }
    if (body === 'no_memory') {
      line.reason = 'no_memory';
      writer.fail(
        UNAVAILABLE,
        protocol.composeRetryAfter(NO_MEMORY_RETRY_AFTER_MS),
      );
      return undefined;
    }
    if (body === 'too_large') {
      line.reason = 'body_too_large';
      writer.fail(PAYLOAD_TOO_LARGE, {Connection: 'close'});
      return undefined;
    }
    if (body === 'broken') {
      line.reason ??= 'caller_left';
      return undefined;
    }
    // Connections are accepted in the order in which they came: it has waited
    // for almost as long as it may have.
    if (arrival.queuedMs >= limitMs) {
      line.reason = 'waited_too_long';
      writer.fail(
        UNAVAILABLE,
        protocol.composeRetryAfter(DEFAULT_RETRY_AFTER_MS),
      );
      return undefined;
    }
    await this.gate.pass(admission.urgencyRank);
    if (writer.hasCallerLeft) {
      line.reason ??= 'caller_left';
      return undefined;
    }
    const endsAtMs = deadlineOf(arrival, limitMs);
    const latestEndsAtMs = arrival.readAtMs + limitMs;
    if (!this.mayAdmit(admission, latestEndsAtMs)) {
      line.reason = 'stopping';
      this.refuseElsewhere(writer);
      return undefined;
    }
    const fingerprint = this.fingerprint(request, admission, body);
    if (this.isRefusedAsSuspect(fingerprint, writer)) {
      line.reason = 'suspected_crash';
      return undefined;
    }
    const origin = await this.findOrigin(caller, admission, endsAtMs, line);
    if (origin === 'unknown') {
      writer.fail(
        UNAVAILABLE,
        protocol.composeRetryAfter(STREAM_UNKNOWN_RETRY_AFTER_MS),
      );
      return undefined;
    }
    const parts = listSharedParts(caller.prompt);
    const trial = await this.admitParts(parts, writer, line);
    if (trial === undefined) return undefined;
    return new Exchange(
      this.options,
      {
        caller,
        admission: origin ? {...admission, service: origin.service} : admission,
        origin,
        method: request.method ?? 'GET',
        path,
        rawHeaders: request.rawHeaders,
        body,
        content: {fingerprint, parts},
        trial,
        arrivedAtMs: arrival.readAtMs,
        endsAtMs,
        latestEndsAtMs,
      },
      writer,
    );
  }

  /**
   * Origin of the stream that a caller takes up; undefined if it takes up none.
   * An unknown stream could only be resumed by guessing its version.
   */
  private async findOrigin(
    {lastEventId, resumes}: CallerRequest,
    {route, service, clientAccount}: Admission,
    endsAtMs: number,
    line: Record<string, unknown>,
  ): Promise<StreamOrigin | 'unknown' | undefined> {
    const isResumption = route.isResumable && lastEventId !== undefined;
    if (!isResumption) return undefined;
    const {streams, metrics, nowMs} = this.options;
    const resolved = await streams.resolve({
      clientAccount,
      resumes,
      service,
      timeLeftMs: endsAtMs - nowMs(),
    });
    const isTarget =
      resolved.kind === 'known' &&
      route.targets.some(each => each.service === resolved.origin.service);
    if (resolved.kind === 'known' && isTarget) {
      line.originKnownBy = resolved.source;
      metrics.countResumption(service, resolved.source);
      return resolved.origin;
    }
    line.reason =
      resolved.kind === 'known' ? 'stream_of_other_service' : resolved.reason;
    metrics.countResumption(service, String(line.reason));
    return 'unknown';
  }

  /** Takes as little as possible: there may be thousands of such requests. */
  private refuseUncounted(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const {protocol, metrics} = this.options;
    this.connections.followAnswer(request, response, () =>
      closeUnlessRead(request),
    );
    metrics.countOverload('requests');
    request.resume();
    response.writeHead(UNAVAILABLE, {
      ...protocol.composeRetryAfter(NO_SLOT_RETRY_AFTER_MS),
      'Content-Length': 0,
    });
    response.end();
  }

  private refuseElsewhere(writer: AnswerWriter): void {
    const {protocol} = this.options;
    writer.fail(
      UNAVAILABLE,
      protocol.composeRetryAfter(RETRY_ELSEWHERE_AFTER_MS),
    );
  }

  private turnAway(writer: AnswerWriter, status: number): void {
    const headers =
      status === UNAVAILABLE
        ? this.options.protocol.composeRetryAfter(DEFAULT_RETRY_AFTER_MS)
        : {};
    writer.fail(status, headers);
  }

  private mayAdmit({route}: Admission, endsAtMs: number): boolean {
    const {shutdown, state, nowMs} = this.options;
    const {durations} = state;
    // What may not run again must not be cut off, however seldom.
    const usualMs = mayRunAgain(route)
      ? durations.p90Ms(route.id)
      : durations.longestMs(route.id);
    return shutdown.mayAdmit({nowMs: nowMs(), endsAtMs, usualMs});
  }

  private fingerprint(
    request: IncomingMessage,
    {clientAccount = NO_ACCOUNT}: Admission,
    body: Buffer = NO_BODY,
  ): Fingerprint {
    return fingerprintOf(clientAccount, request.url ?? '/', body);
  }

  private isRefusedAsSuspect(
    fingerprint: Fingerprint,
    writer: AnswerWriter,
  ): boolean {
    const decision = this.options.crashes.classify(fingerprint);
    if (decision.kind !== 'refuse') return false;
    const {protocol} = this.options;
    writer.fail(UNAVAILABLE, protocol.composeRetryAfter(decision.retryAfterMs));
    return true;
  }

  /**
   * @returns suspect parts of which the request is a trial; undefined when it
   * was refused for its parts.
   */
  private async admitParts(
    parts: readonly PromptPartId[],
    writer: AnswerWriter,
    line: Record<string, unknown>,
  ): Promise<readonly PromptPartId[] | undefined> {
    const {crashes, protocol} = this.options;
    const admission = await crashes.parts.admit(parts);
    if (admission.kind === 'admitted') return admission.trial;
    line.reason = 'suspected_part';
    line.suspectParts = admission.parts;
    const {retryAfterMs} = admission;
    writer.fail(UNAVAILABLE, protocol.composeRetryAfter(retryAfterMs));
    return undefined;
  }

  private account(
    writer: AnswerWriter,
    response: ServerResponse,
    exchange: Exchange | undefined,
    arrivedAtMs: number,
    line: Readonly<Record<string, unknown>>,
  ): void {
    const {logger, metrics, nowMs} = this.options;
    const durationMs = nowMs() - arrivedAtMs;
    const status = writer.hasCallerLeft ? 0 : response.statusCode;
    metrics.countRequest(String(line.route ?? 'none'), status, durationMs);
    logger.info('request', {
      ...line,
      status,
      durationMs: Math.round(durationMs),
      ...exchange?.summarise(),
    });
  }
}

/**
 * Closes the connection of an answered request whose body doesn't end. A close at
 * once could discard the answer.
 */
function closeUnlessRead(request: IncomingMessage): void {
  if (request.complete || request.destroyed) return;
  const timer = setTimeout(() => {
    // Its connection may carry another request once it is complete.
    if (!request.complete) request.destroy();
  }, UNREAD_BODY_LINGER_MS);
  timer.unref();
  const cancel = () => clearTimeout(timer);
  request.once('end', cancel);
  request.once('close', cancel);
}

/** Bytes of names and values; Node.js decodes each byte to a character. */
function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((bytes, text) => bytes + text.length, 0);
}

/**
 * Deadline of a request, counted from its earliest possible arrival. As it may
 * also have arrived just now, it always gets a minimum of time.
 */
function deadlineOf({readAtMs, earliestMs}: Arrival, limitMs: number): number {
  const minLeftMs = Math.min(limitMs, MIN_TIME_LEFT_MS);
  return Math.max(earliestMs + limitMs, readAtMs + minLeftMs);
}

function timeLimitMs(caller: CallerRequest, {route}: Admission): number {
  return Math.min(caller.callerTimeoutMs ?? NO_LIMIT_MS, route.timeoutMs);
}
