import test from 'ava';
import {AdaptiveLimit} from './adaptive_limit.js';
import type {LimitSample} from './limit_policy.js';

const TARGETS = {firstTokenTargetMs: 1000, betweenTokensTargetMs: 50};
const OK: LimitSample = {
  outcome: 'ok',
  outputTokens: 100,
  firstTokenMs: 100,
  targets: TARGETS,
};
const CRASHED: LimitSample = {outcome: 'crashed', outputTokens: 0};

/** Step time of an engine: 15 ms, and 1.2 ms for each request it runs. */
function stepMs(inFlight: number): number {
  return 15 + 1.2 * inFlight;
}

/** Runs as many requests as the limit allows, reviewing it each time. */
function saturate(limit: AdaptiveLimit, reviews: number): number[] {
  return Array.from({length: reviews}, (_, index) => {
    const nowMs = index * 500;
    const inFlight = limit.permits(nowMs);
    limit.started(inFlight, nowMs);
    limit.progressed(stepMs(inFlight), TARGETS, nowMs);
    limit.review({inFlight}, nowMs);
    return limit.permits(nowMs);
  });
}

/** A limit that slow streams have lowered. */
function lowerLimit(): AdaptiveLimit {
  const limit = new AdaptiveLimit({maxConcurrency: 64});
  for (let review = 0; review < 10; review++) {
    limit.progressed(90, TARGETS, 0);
    limit.review({inFlight: 20}, 0);
  }
  return limit;
}

test('settles at the batch that just meets the target', t => {
  const limit = new AdaptiveLimit({maxConcurrency: 64});
  const permits = saturate(limit, 20);
  // 45 ms, the target less its margin, is met up to a batch of 25.
  t.true(permits.slice(-5).every(count => count >= 24 && count <= 26));
});

test('does not rise above the maximum concurrency', t => {
  const limit = new AdaptiveLimit({maxConcurrency: 8});
  t.deepEqual(new Set(saturate(limit, 20)), new Set([8]));
});

test('does not rise while it is not used up', t => {
  const limit = lowerLimit();
  const lowered = limit.permits(0);
  limit.started(2, 500);
  limit.progressed(stepMs(2), TARGETS, 500);
  limit.review({inFlight: 2}, 500);
  t.true(lowered < 20);
  t.is(limit.permits(500), lowered);
});

test('one long prompt does not bring the limit down', t => {
  // An idle engine reads a long prompt, and its few other requests wait. Taken
  // for the engine's speed, this lowered the limit: requests then had to ask
  // for permits in an idle cell, and their first tokens came later.
  const limit = new AdaptiveLimit({maxConcurrency: 32});
  limit.progressed(90, TARGETS, 0);
  limit.review({inFlight: 1, typicalBetweenTokensMs: 20}, 0);
  t.true(limit.permits(0) >= 25);
});

test('a first token in time does not raise the limit of a slow stream', t => {
  // Progress reports come less often than reviews. Early first tokens in
  // between raised the limit to the maximum each time, and callers of the top
  // tier got every later token too late.
  const limit = lowerLimit();
  const lowered = limit.permits(0);
  limit.started(lowered, 100);
  limit.finished(OK, 100);
  limit.review({inFlight: lowered}, 100);
  t.is(limit.permits(100), lowered);
});

test('a crash takes the endpoint out until one probe succeeds', t => {
  // The engine crashes while its last load report says that it is idle. Chosen
  // by load alone, it would get every new request.
  const limit = new AdaptiveLimit({maxConcurrency: 8});
  limit.finished(CRASHED, 0);
  limit.finished(CRASHED, 10);
  t.is(limit.permits(999), 0);
  t.is(limit.permits(1000), 1);
  t.true(limit.isProbing());
  limit.finished(CRASHED, 1100);
  t.is(limit.permits(3000), 0);
  t.is(limit.usableAtMs(3000), 3100);
  limit.finished(OK, 3200);
  t.is(limit.permits(3200), 4);
});

test('two failures are tolerated, a third in a row fails the endpoint', t => {
  const limit = new AdaptiveLimit({maxConcurrency: 8});
  const failed: LimitSample = {outcome: 'failed', outputTokens: 0};
  limit.finished(failed, 0);
  limit.finished(failed, 1);
  t.is(limit.permits(1), 8);
  limit.finished(failed, 2);
  t.is(limit.permits(2), 0);
});

test('an endpoint slower than the others gets one request at a time', t => {
  // One engine becomes five times slower while its load report lags. Requests
  // sent there would miss their target needlessly.
  const limit = new AdaptiveLimit({maxConcurrency: 8});
  const review = (inFlight: number, nowMs: number) => {
    limit.progressed(120, TARGETS, nowMs);
    limit.review({inFlight, typicalBetweenTokensMs: 25}, nowMs);
  };
  for (const inFlight of [6, 3, 2, 1, 1]) review(inFlight, 0);
  t.is(limit.snapshot(0).health, 'slow');
  t.is(limit.permits(500), 0);
  t.is(limit.permits(1000), 1);
  limit.progressed(25, TARGETS, 1500);
  limit.review({inFlight: 1, typicalBetweenTokensMs: 25}, 1500);
  t.is(limit.snapshot(1500).health, 'healthy');
});

test('an engine that hangs gets no new work until it produces again', t => {
  // The engine hangs with its connections open. Nothing fails before the
  // timeout between chunks, and until then it would get more and more requests.
  const limit = new AdaptiveLimit({maxConcurrency: 8});
  limit.started(1, 0);
  limit.progressed(20, TARGETS, 500);
  limit.review({inFlight: 2}, 500);
  limit.review({inFlight: 2}, 4000);
  t.is(limit.permits(4000), 0);
  limit.progressed(20, TARGETS, 5000);
  t.true(limit.permits(5000) > 0);
});
