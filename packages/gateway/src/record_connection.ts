/** Records whether this instance can connect to endpoints. */

import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {ExchangeContext} from './exchange_context.js';

/**
 * Records a connection to an endpoint.
 *
 * @example
 * recordConnected(context);
 */
export function recordConnected(context: ExchangeContext): void {
  const {state, metrics, logger, nowMs} = context;
  metrics.countConnection('open');
  const isolatedForMs = state.isolation.noteConnected(nowMs());
  if (isolatedForMs === undefined) return;
  metrics.setIsolated(false);
  logger.warn('isolation_ended', {afterMs: Math.round(isolatedForMs)});
}

/**
 * Records that no connection to an endpoint could be opened.
 *
 * @example
 * recordConnectFailed(context, endpoint, {tookMs: 100, hasTimedOut: true});
 */
export function recordConnectFailed(
  context: ExchangeContext,
  {id}: ServingEndpoint,
  failed: {readonly tookMs: number; readonly hasTimedOut: boolean},
): void {
  const {state, metrics, logger, nowMs} = context;
  const {hasTimedOut, tookMs} = failed;
  metrics.countConnection(hasTimedOut ? 'timed_out' : 'refused');
  const atMs = nowMs();
  const hasBegun = state.isolation.noteFailed(
    {
      endpoint: id,
      startedAtMs: atMs - tookMs,
      hasTimedOut,
      knownEndpoints: state.directory.readAll().length,
    },
    atMs,
  );
  if (!hasBegun) return;
  metrics.setIsolated(true);
  logger.warn('isolation_began', {endpoint: id, hasTimedOut});
}
