import {RequestError} from '@snipestage/errors/request_error.js';
import {STOP_MARGIN_MS} from '@snipestage/policy/stop_admission.js';
import test from 'ava';
import {monotonicNowMs} from '../clock.js';
import {StopGate} from './stop_gate.js';

const CALL = {kind: 'timeout', timeoutMs: 0} as const;
const SHUTTING_DOWN = {
  instanceOf: RequestError,
  message: 'The instance is shutting down.',
};

/** A wait that only its signal ends, as that for a place at an endpoint. */
function waitForever(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    if (signal.aborted) reject(signal.reason as Error);
    signal.addEventListener('abort', () => reject(signal.reason as Error));
  });
}

test('what waits is refused as soon as a stop leaves it no time', async t => {
  // A booking waits for a place when the instance is told to stop. Kept in the
  // queue until the end, it would reach the shop's app as a broken connection.
  const gate = new StopGate({clock: monotonicNowMs});
  const signal = new AbortController().signal;
  const waiting = gate.whileStartable(CALL, signal, waitForever);
  gate.close(monotonicNowMs());
  const error = await t.throwsAsync(waiting, SHUTTING_DOWN);
  t.is((error as RequestError).refusal.verdict, 'not_run');
});

test('what may still start waits until the last moment, and no longer', async t => {
  // A booking is taken during a stop and its place does not come free. It has
  // to be refused while that is true, and not when the sockets close.
  const gate = new StopGate({clock: monotonicNowMs});
  const latestStartMs = monotonicNowMs() + 100;
  gate.close(latestStartMs + STOP_MARGIN_MS);
  const signal = new AbortController().signal;
  const waiting = gate.whileStartable(CALL, signal, waitForever);
  await t.throwsAsync(waiting, SHUTTING_DOWN);
  t.true(monotonicNowMs() >= latestStartMs);
});

test('the request’s own end still ends its wait', async t => {
  const gate = new StopGate({clock: monotonicNowMs});
  const request = new AbortController();
  const waiting = gate.whileStartable(CALL, request.signal, waitForever);
  request.abort(new Error('hung up'));
  await t.throwsAsync(waiting, {message: 'hung up'});
});

test('a later end does not open the gate again', t => {
  const gate = new StopGate({clock: monotonicNowMs});
  gate.close(monotonicNowMs());
  gate.close(monotonicNowMs() + 60_000);
  t.throws(() => gate.check(CALL), SHUTTING_DOWN);
});
