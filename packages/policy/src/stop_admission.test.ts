import test from 'ava';
import fc from 'fast-check';
import {
  decideStart,
  STOP_MARGIN_MS,
  STOP_RETRY_AFTER_MS,
  type AttemptLimit,
  type StartDecision,
} from './stop_admission.js';

const SEED = 20_261_203;
const STOP_ENDS_AT_MS = 10_000;

const deadline = (atMs: number): AttemptLimit => ({kind: 'deadline', atMs});
const timeout = (timeoutMs: number): AttemptLimit => ({
  kind: 'timeout',
  timeoutMs,
});
const start = (latestStartMs: number): StartDecision => ({
  kind: 'start',
  latestStartMs,
});
const REFUSE: StartDecision = {
  kind: 'refuse',
  retryAfterMs: STOP_RETRY_AFTER_MS,
};

const TABLE: ReadonlyArray<[string, AttemptLimit, number, StartDecision]> = [
  ['a deadline well before the end', deadline(6000), 0, start(6000)],
  ['a deadline at the last moment', deadline(9000), 0, start(9000)],
  ['a deadline within the margin', deadline(9001), 0, REFUSE],
  ['a deadline after the end', deadline(20_000), 0, REFUSE],
  ['a deadline that has passed', deadline(6000), 6001, REFUSE],
  ['a call with enough time left', timeout(4000), 0, start(5000)],
  ['a call at the last moment', timeout(4000), 5000, start(5000)],
  ['a call a moment too late', timeout(4000), 5001, REFUSE],
  ['a call longer than the grace time', timeout(9500), 0, REFUSE],
  ['any attempt after the end', timeout(0), STOP_ENDS_AT_MS, REFUSE],
];

for (const [title, limit, nowMs, expected] of TABLE) {
  test(`while stopping, ${title}`, t => {
    const input = {limit, nowMs, stopEndsAtMs: STOP_ENDS_AT_MS};
    t.deepEqual(decideStart(input), expected);
  });
}

test('an instance that does not stop starts everything', t => {
  for (const limit of [deadline(-1), deadline(1e9), timeout(1e9)]) {
    t.is(decideStart({limit, nowMs: 5}).kind, 'start');
  }
});

test('an admitted attempt ends before the margin, whenever it starts', t => {
  // If a stopping instance admits a call that outlasts it, it cuts the call;
  // the caller of a booking then can't tell whether it was made.
  const limits = fc.oneof(
    fc.nat(20_000).map(deadline),
    fc.nat(20_000).map(timeout),
  );
  fc.assert(
    fc.property(limits, fc.nat(12_000), (limit, nowMs) => {
      const stopEndsAtMs = STOP_ENDS_AT_MS;
      const decision = decideStart({limit, nowMs, stopEndsAtMs});
      if (decision.kind === 'refuse') return true;
      const endsAtMs =
        limit.kind === 'deadline'
          ? limit.atMs
          : decision.latestStartMs + limit.timeoutMs;
      return endsAtMs <= stopEndsAtMs - STOP_MARGIN_MS;
    }),
    {seed: SEED},
  );
  t.pass();
});
