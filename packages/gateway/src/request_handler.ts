/** Takes a caller's request from its head to its final answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {fingerprintOf} from '@snipestage/entry/identify/fingerprint.js';
import type {ClientAccountId, Fingerprint} from '@snipestage/types/ids.js';
import {admit, type Admission} from './admission.js';
import {AnswerWriter} from './answer_writer.js';
import {readRequestBody} from './read_request_body.js';
import {Exchange} from './exchange.js';
import type {ExchangeContext} from './exchange_context.js';
import type {CallerRequest} from './pass_through_protocol.js';

/** What a {@link RequestHandler} is made from. */
export interface RequestHandlerOptions extends ExchangeContext {
  /** Whether answers have to close their connections. */
  readonly isDraining: () => boolean;
  readonly random?: () => number;
}

/** A caller that names no time is given what its route allows. */
const NO_LIMIT_MS = Number.POSITIVE_INFINITY;
const PAYLOAD_TOO_LARGE = 413;
const UNAVAILABLE = 503;
/** Advice where nothing is known of the service: a start takes about that. */
const DEFAULT_RETRY_AFTER_MS = 500;
/** No account: a public route. */
const ANYONE = '' as ClientAccountId;

/** Keeps count of the requests in progress. */
export class RequestHandler {
  private count = 0;
  private readonly random: () => number;

  constructor(private readonly options: RequestHandlerOptions) {
    this.random = options.random ?? Math.random;
  }

  /** Requests that have no final answer yet. */
  get inProgress(): number {
    return this.count;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAtMs = this.options.nowMs();
    let exchange: Exchange | undefined;
    const writer = new AnswerWriter(response, this.options.isDraining, () =>
      exchange?.cancel(),
    );
    this.count += 1;
    const line: Record<string, unknown> = {};
    try {
      exchange = await this.prepare(request, writer, arrivedAtMs, line);
      await exchange?.run();
    } catch (error) {
      this.options.logger.error('request_failed', {
        ...line,
        error: String(error),
      });
      writer.fail(502, {});
    } finally {
      this.count -= 1;
      this.account(writer, response, exchange, arrivedAtMs, line);
    }
  }

  /** @returns undefined when the request has its answer already. */
  private async prepare(
    request: IncomingMessage,
    writer: AnswerWriter,
    arrivedAtMs: number,
    line: Record<string, unknown>,
  ): Promise<Exchange | undefined> {
    const {protocol, state} = this.options;
    const {table} = state;
    const path = request.url ?? '/';
    const caller = protocol.readRequest(request.headers);
    line.requestId = caller.requestId;
    line.version = table?.configuration.version;
    const maxBodyBytes = table?.configuration.limits.maxBodyBytes ?? 0;
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
    const body = await readRequestBody(request, maxBodyBytes);
    if (body === 'too_large') {
      line.reason = 'body_too_large';
      writer.fail(PAYLOAD_TOO_LARGE, {Connection: 'close'});
      return undefined;
    }
    if (body === 'broken') {
      line.reason = 'caller_left';
      return undefined;
    }
    const fingerprint = this.fingerprint(request, admission, body);
    if (this.isRefusedAsSuspect(fingerprint, writer)) {
      line.reason = 'suspected_crash';
      return undefined;
    }
    return new Exchange(
      this.options,
      {
        caller,
        admission,
        method: request.method ?? 'GET',
        path,
        rawHeaders: request.rawHeaders,
        body,
        fingerprint,
        arrivedAtMs,
        endsAtMs: arrivedAtMs + patienceMs(caller, admission),
      },
      writer,
    );
  }

  private turnAway(writer: AnswerWriter, status: number): void {
    const headers =
      status === UNAVAILABLE
        ? this.options.protocol.composeRetryAfter(DEFAULT_RETRY_AFTER_MS)
        : {};
    writer.fail(status, headers);
  }

  /** Requests without a body say too little to be known again. */
  private fingerprint(
    request: IncomingMessage,
    admission: Admission,
    body: Buffer | undefined,
  ): Fingerprint | undefined {
    if (body === undefined || body.length === 0) return undefined;
    const account = admission.clientAccount ?? ANYONE;
    return fingerprintOf(account, request.url ?? '/', body);
  }

  private isRefusedAsSuspect(
    fingerprint: Fingerprint | undefined,
    writer: AnswerWriter,
  ): boolean {
    if (fingerprint === undefined) return false;
    const judgement = this.options.crashes.judge(fingerprint);
    if (judgement.kind !== 'refuse') return false;
    const {protocol} = this.options;
    writer.fail(
      UNAVAILABLE,
      protocol.composeRetryAfter(judgement.retryAfterMs),
    );
    return true;
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

function patienceMs(caller: CallerRequest, {route}: Admission): number {
  return Math.min(caller.waitsForMs ?? NO_LIMIT_MS, route.timeoutMs);
}
