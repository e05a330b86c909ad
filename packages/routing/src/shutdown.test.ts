import test from 'ava';
import {Shutdown} from './shutdown.js';

const SIGNAL_MS = 1000;
/** Requests have 8,000 ms less what is kept for the last writes. */
const SHUTDOWN = {graceMs: 8000};

const ARRIVALS = [
  {what: 'before the signal', atMs: 0, patienceMs: 60_000, isTaken: true},
  {
    what: 'a long one while the balancer still sends',
    atMs: SIGNAL_MS + 2000,
    patienceMs: 60_000,
    isTaken: true,
  },
  {
    what: 'a long one later, on a connection that is still open',
    atMs: SIGNAL_MS + 2600,
    patienceMs: 12_000,
    isTaken: false,
  },
  {
    what: 'a short one that ends within the grace time',
    atMs: SIGNAL_MS + 6300,
    patienceMs: 1000,
    isTaken: true,
  },
  {
    what: 'a short one that does not',
    atMs: SIGNAL_MS + 6700,
    patienceMs: 1000,
    isTaken: false,
  },
  {
    what: 'anything after the grace time',
    atMs: SIGNAL_MS + 7500,
    patienceMs: 1,
    isTaken: false,
  },
];

for (const {what, atMs, patienceMs, isTaken} of ARRIVALS) {
  test(`a stop ${isTaken ? 'takes' : 'refuses'} ${what}`, t => {
    const shutdown = new Shutdown(SHUTDOWN);
    if (atMs >= SIGNAL_MS) shutdown.begin(SIGNAL_MS);
    const endsAtMs = atMs + patienceMs;
    const taken = shutdown.mayTake({nowMs: atMs, endsAtMs, usualMs: 2000});
    t.is(taken, isTaken);
  });
}

test('a second signal does not begin the grace time anew', t => {
  const shutdown = new Shutdown(SHUTDOWN);
  shutdown.begin(SIGNAL_MS);
  shutdown.begin(SIGNAL_MS + 5000);
  t.is(shutdown.sinceMs(SIGNAL_MS + 6000), 6000);
  t.true(shutdown.isGraceOver(SIGNAL_MS + 7400));
});

test('a grace time that is shorter than the balancer needs takes what ends in it', t => {
  // The balancer still sends when the grace time is nearly over. Answers that
  // usually take longer than what is left would be cut.
  const shutdown = new Shutdown({graceMs: 2000});
  shutdown.begin(0);
  const long = {nowMs: 500, endsAtMs: 10_500};
  t.false(shutdown.mayTake({...long, usualMs: 1500}));
  t.true(shutdown.mayTake({...long, usualMs: 300}));
  t.true(shutdown.mayTake({...long, usualMs: undefined}));
  t.true(shutdown.mayTake({nowMs: 500, endsAtMs: 1300, usualMs: 1500}));
});
