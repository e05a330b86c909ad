import test from 'ava';
import {Shutdown} from './shutdown.js';

const SIGNAL_MS = 1000;
/** Requests have 8,000 ms less the margin for the last writes. */
const SHUTDOWN = {graceMs: 8000};

const ARRIVALS = [
  {what: 'before the signal', atMs: 0, patienceMs: 60_000, isAdmitted: true},
  {
    what: 'a long request while the balancer still sends requests',
    atMs: SIGNAL_MS + 2000,
    patienceMs: 60_000,
    isAdmitted: true,
  },
  {
    what: 'a long request later, on a connection that is still open',
    atMs: SIGNAL_MS + 2600,
    patienceMs: 12_000,
    isAdmitted: false,
  },
  {
    what: 'a short request that ends within the grace time',
    atMs: SIGNAL_MS + 6300,
    patienceMs: 1000,
    isAdmitted: true,
  },
  {
    what: 'a short request that does not',
    atMs: SIGNAL_MS + 6700,
    patienceMs: 1000,
    isAdmitted: false,
  },
  {
    what: 'any request after the grace time',
    atMs: SIGNAL_MS + 7500,
    patienceMs: 1,
    isAdmitted: false,
  },
];

for (const {what, atMs, patienceMs, isAdmitted} of ARRIVALS) {
  test(`a shutdown ${isAdmitted ? 'takes' : 'refuses'} ${what}`, t => {
    const shutdown = new Shutdown(SHUTDOWN);
    if (atMs >= SIGNAL_MS) shutdown.begin(SIGNAL_MS);
    const endsAtMs = atMs + patienceMs;
    const admitted = shutdown.mayAdmit({nowMs: atMs, endsAtMs, usualMs: 2000});
    t.is(admitted, isAdmitted);
  });
}

for (const [usualMs, isAdmitted] of [
  [undefined, false],
  [5000, true],
  [6500, false],
] as const) {
  test(`a long request that may last ${usualMs ?? 'any number of'} ms is ${isAdmitted ? 'taken' : 'refused'} at once after the signal`, t => {
    // Guards against requests that are cut off at the end of the grace time, as
    // nothing was known of their route.
    const shutdown = new Shutdown(SHUTDOWN);
    shutdown.begin(SIGNAL_MS);
    const nowMs = SIGNAL_MS + 1000;
    const arrival = {nowMs, endsAtMs: nowMs + 60_000, usualMs};
    t.is(shutdown.mayAdmit(arrival), isAdmitted);
  });
}

test('a second signal does not restart the grace time', t => {
  const shutdown = new Shutdown(SHUTDOWN);
  shutdown.begin(SIGNAL_MS);
  shutdown.begin(SIGNAL_MS + 5000);
  t.is(shutdown.sinceMs(SIGNAL_MS + 6000), 6000);
  t.true(shutdown.isGraceOver(SIGNAL_MS + 7400));
});

test('the grace time counts from when the signal may have been sent', t => {
  // Guards against a process that is killed with requests unanswered, since it
  // stood still when it was told to stop.
  const shutdown = new Shutdown(SHUTDOWN);
  shutdown.begin(SIGNAL_MS + 4000, SIGNAL_MS);
  t.is(shutdown.leftMs(SIGNAL_MS + 5000), 2400);
  t.false(shutdown.hasBalancerNoticed(SIGNAL_MS + 5000));
  t.true(shutdown.isGraceOver(SIGNAL_MS + 7400));
});

test('within a grace time shorter than the balancer needs only requests that usually end in it are admitted', t => {
  // Guards against answers that are cut because they usually take longer than
  // what is left: the balancer still sends requests when the grace time is
  // nearly over.
  const shutdown = new Shutdown({graceMs: 2000});
  shutdown.begin(0);
  const long = {nowMs: 500, endsAtMs: 10_500};
  t.false(shutdown.mayAdmit({...long, usualMs: 1500}));
  t.true(shutdown.mayAdmit({...long, usualMs: 300}));
  t.false(shutdown.mayAdmit({...long, usualMs: undefined}));
  t.true(shutdown.mayAdmit({nowMs: 500, endsAtMs: 1300, usualMs: 1500}));
});
