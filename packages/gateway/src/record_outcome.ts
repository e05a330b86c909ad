/** Records what an attempt shows of its endpoint and of the request. */

import {abbreviate} from '@snipestage/entry/identify/fingerprint.js';
import type {AnswerEnding} from '@snipestage/connection/answer_end.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {ConnectionPath} from './endpoint_connection.js';
import type {
  AttemptResult,
  ExchangeContext,
  FailedResult,
  ReadRequest,
} from './exchange_context.js';

/** Failures after which an endpoint whose answers broke off may have crashed. */
const MAY_MEAN_DOWN: ReadonlySet<string> = new Set([
  'unreachable',
  'connect_timeout',
]);

/** Endpoint, result and duration of an attempt that has ended. */
export interface AttemptOutcome {
  readonly endpoint: ServingEndpoint;
  readonly result: AttemptResult;
  readonly durationMs: number;
  /** Undefined when no connection was opened. */
  readonly path: ConnectionPath | undefined;
  /** Undefined when no answer was read up to its end. */
  readonly ending: AnswerEnding | undefined;
  /** Whether the answer got beyond its first event. */
  readonly hasBegun: boolean;
}

/**
 * Records an attempt in all state by which later requests are placed, and in
 * the metrics and the log.
 *
 * @example
 * recordOutcome(context, request, {endpoint, result, durationMs});
 */
export function recordOutcome(
  context: ExchangeContext,
  request: ReadRequest,
  outcome: AttemptOutcome,
): void {
  const {result, ending} = outcome;
  if (ending !== undefined)
    context.metrics.countAnswerEnd(request.admission.service, ending);
  if (result.kind === 'answered') recordAnswer(context, request, outcome);
  else recordFailure(context, request, {...outcome, result});
}

function recordAnswer(
  {state, crashes, metrics, nowMs}: ExchangeContext,
  {content, trial, admission}: ReadRequest,
  {endpoint, durationMs, path, hasBegun}: AttemptOutcome,
): void {
  const atMs = nowMs();
  // Another instance's connection proves nothing of the links of this one.
  if (path === 'direct') state.reach.noteReached(endpoint.dataCentre);
  state.monitor.note(endpoint.id, 'answered', atMs);
  state.refusalDelayFor(admission.service).noteServed(atMs);
  crashes.noteAnswered(endpoint, content, atMs - durationMs);
  if (trial.length > 0 && !hasBegun) void crashes.parts.passTrial(trial);
  if (admission.route.kind !== 'stream') {
    state.monitor.noteDuration(endpoint.id, durationMs);
  }
  metrics.countAttempt(admission.service, 'answered');
}

function recordFailure(
  context: ExchangeContext,
  {content, trial, admission, caller}: ReadRequest,
  outcome: AttemptOutcome & {result: FailedResult},
): void {
  const {state, crashes, metrics, nowMs} = context;
  const {endpoint, result, durationMs, ending, hasBegun} = outcome;
  const atMs = nowMs();
  const {reason, verdict, endpointOutcome, connectionBroke = false} = result;
  recordReach(context, endpoint, reason);
  metrics.countAttempt(admission.service, reason);
  if (endpointOutcome !== undefined)
    state.monitor.note(endpoint.id, endpointOutcome, atMs);
  if (endpointOutcome === 'rejected')
    state.brittle.noteRejected(endpoint.id, atMs);
  if (reason === 'misdirected') crashes.noteDown(endpoint.id);
  if (MAY_MEAN_DOWN.has(reason)) crashes.noteUnreachable(endpoint.id);
  if (connectionBroke) {
    crashes.noteBroken(endpoint, content, hasBegun);
    if (trial.length > 0 && !hasBegun)
      void crashes.parts.reviewTrial(trial, endpoint.id);
  }
  context.logger.info('attempt_failed', {
    requestId: caller.requestId,
    fingerprint: abbreviate(content.fingerprint),
    endpoint: endpoint.id,
    softwareVersion: endpoint.softwareVersion,
    reason,
    verdict,
    ...ending,
    ...(connectionBroke ? {parts: content.parts, hasBegun} : {}),
    durationMs: Math.round(durationMs),
    load: Math.round(state.monitor.estimateLoad(endpoint.id, atMs)),
  });
}

function recordReach(
  {state, nowMs}: ExchangeContext,
  {dataCentre, id}: ServingEndpoint,
  reason: string,
): void {
  if (reason === 'connect_timeout') {
    state.reach.noteUnreached(dataCentre, id, nowMs());
  } else if (reason === 'unreachable') {
    state.reach.noteRefused(dataCentre, id, nowMs());
  }
}
