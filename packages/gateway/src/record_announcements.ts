/** Records what the head of an answer shows of its endpoint. */

import type {Placed} from '@snipestage/routing/placement.js';
import type {ExchangeContext, ReadRequest} from './exchange_context.js';
import type {AnswerHead} from './pass_through_protocol.js';

/** An answer and the attempt that it ends. */
export interface AnsweredAttempt {
  readonly head: AnswerHead;
  readonly request: ReadRequest;
  /** As it was listed when the attempt began. */
  readonly endpoint: Placed['endpoint'];
}

/**
 * Records the leaving, backoff, limits and load in an answer, in the state
 * by which all further attempts of this instance are placed. An answer to
 * another request and an earlier incarnation of the endpoint say nothing of it;
 * another endpoint at its address only that it is gone.
 *
 * @example
 * recordAnnouncements(context, {head, request, endpoint: placed.endpoint});
 */
export function recordAnnouncements(
  context: ExchangeContext,
  answered: AnsweredAttempt,
): void {
  const {head, request, endpoint} = answered;
  const isToOther =
    head.requestId !== undefined && head.requestId !== request.caller.requestId;
  if (isToOther) return;
  if (head.isMisdirected) return recordGone(context, answered);
  if (!context.state.directory.isCurrentIncarnation(endpoint)) return;
  if (head.isLeaving) recordLeaving(context, answered);
  if (head.backoffMs !== undefined)
    recordBackoff(context, answered, head.backoffMs);
  recordRateLimit(context, answered);
  recordBrittleness(context, answered);
  recordLoad(context, answered);
}

function recordGone(
  {state, logger, nowMs}: ExchangeContext,
  {request, endpoint}: AnsweredAttempt,
): void {
  if (!state.directory.noteGone(endpoint, nowMs())) return;
  logger.info('endpoint_found_gone', {
    requestId: request.caller.requestId,
    endpoint: endpoint.id,
    address: endpoint.address,
  });
}

function recordLeaving(
  {state, metrics, logger}: ExchangeContext,
  {request, endpoint}: AnsweredAttempt,
): void {
  const isListedAsLeaving = state.directory.find(endpoint.id)?.isLeaving;
  metrics.countLeavingAnswer(endpoint.service);
  const isNew = state.directory.noteLeaving(endpoint);
  if (!isNew) return;
  logger.info('endpoint_leaving_announced', {
    requestId: request.caller.requestId,
    endpoint: endpoint.id,
    isListedAsLeaving,
  });
}

function recordBackoff(
  {state, metrics, logger, nowMs}: ExchangeContext,
  {request, endpoint}: AnsweredAttempt,
  backoffMs: number,
): void {
  state.directory.noteBackoff(endpoint, backoffMs, nowMs());
  metrics.countBackoffRequest(endpoint.service);
  logger.info('endpoint_backoff_requested', {
    requestId: request.caller.requestId,
    endpoint: endpoint.id,
    backoffMs,
  });
}

/**
 * An answer without a limit lifts the endpoint's limit only if it is signed:
 * others may have lost their headers.
 */
function recordRateLimit(
  {state, logger, nowMs}: ExchangeContext,
  {head, endpoint}: AnsweredAttempt,
): void {
  const {rateLimitPerS, isSigned} = head;
  if (rateLimitPerS === undefined && !isSigned) return;
  const {id} = endpoint;
  const change = state.rateLimits.note(id, rateLimitPerS, nowMs());
  if (change === undefined) return;
  logger.info(`endpoint_rate_limit_${change}`, {
    endpoint: id,
    requestsPerS: rateLimitPerS,
  });
}

/** As with rate limits, only a signed answer can lift it. */
function recordBrittleness(
  {state, logger, nowMs}: ExchangeContext,
  {head, endpoint}: AnsweredAttempt,
): void {
  const {maxRejectionsPerS, isSigned} = head;
  if (maxRejectionsPerS === undefined && !isSigned) return;
  const {id} = endpoint;
  const change = state.brittle.note(id, maxRejectionsPerS, nowMs());
  if (change === undefined) return;
  logger.info(`endpoint_brittle_${change}`, {endpoint: id, maxRejectionsPerS});
}

/** A valid work time switches the load controls of the service on. */
function recordWorkTime(
  {state, metrics, logger}: ExchangeContext,
  {head, endpoint: {id, service}}: AnsweredAttempt,
): void {
  if (head.load?.workTimeRatio !== undefined)
    state.controls.noteSharedMachine(service);
  if (head.hasInvalidWorkTime !== true) return;
  metrics.countInvalidWorkTime(service);
  if (state.withInvalidWorkTime.has(id)) return;
  state.withInvalidWorkTime.add(id);
  logger.warn('work_time_invalid', {endpoint: id, service});
}

function recordLoad(context: ExchangeContext, answered: AnsweredAttempt): void {
  const {state, nowMs} = context;
  const {
    head: {load},
    endpoint: {id},
  } = answered;
  recordWorkTime(context, answered);
  if (load === undefined) return;
  const rateLimitPerS = state.rateLimits.find(id);
  state.loads.noteOwn({endpoint: id, load, rateLimitPerS, atMs: nowMs()});
}
