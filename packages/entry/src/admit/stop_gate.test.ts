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

/**
 * A wait that only its signal ends, such as one for a permit in a full queue.
 */
function waitForever(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    if (signal.aborted) reject(signal.reason as Error);
    signal.addEventListener('abort', () => reject(signal.reason as Error));
  });
}

test('a waiting request is refused as soon as a stop leaves no time for it', async t => {
  // A booking waits for a permit when the instance begins to stop. If it stayed
  // in the queue, its caller would see a broken connection instead of a
  // refusal.
  const gate = new StopGate({clock: monotonicNowMs});
  const signal = new AbortController().signal;
  const waiting = gate.whileStartable(CALL, signal, waitForever);
  gate.close(monotonicNowMs());
  const error = await t.throwsAsync(waiting, SHUTTING_DOWN);
  t.is((error as RequestError).refusal.verdict, 'not_run');
});

test('a request that may still start waits until its latest start, not longer', async t => {
  // A booking is admitted during a stop and gets no permit. It must be refused
  // as not run while that is certain, not cut off when the sockets close.
  const gate = new StopGate({clock: monotonicNowMs});
  const latestStartMs = monotonicNowMs() + 100;
  gate.close(latestStartMs + STOP_MARGIN_MS);
  const signal = new AbortController().signal;
  const waiting = gate.whileStartable(CALL, signal, waitForever);
  await t.throwsAsync(waiting, SHUTTING_DOWN);
  t.true(monotonicNowMs() >= latestStartMs);
});

test('aborting the request ends its wait', async t => {
  const gate = new StopGate({clock: monotonicNowMs});
  const request = new AbortController();
  const waiting = gate.whileStartable(CALL, request.signal, waitForever);
  request.abort(new Error('hung up'));
  await t.throwsAsync(waiting, {message: 'hung up'});
});

test('closing again with a later end time does not extend the first', t => {
  const gate = new StopGate({clock: monotonicNowMs});
  gate.close(monotonicNowMs());
  gate.close(monotonicNowMs() + 60_000);
  t.throws(() => gate.check(CALL), SHUTTING_DOWN);
});
