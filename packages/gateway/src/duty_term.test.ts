import {ABSENT} from '@snipestage/types/store_version.js';
import test from 'ava';
import type {HeldLease} from '@snipestage/agreement/lease.js';
import {brandAs, type FencingToken} from '@snipestage/types/ids.js';
import {DutyTerm} from './duty_term.js';

/** A lease whose state a test sets. */
class ScriptedLease {
  held: HeldLease | undefined;

  guard() {
    const signal = new AbortController().signal;
    return {mayStillSend: () => this.held !== undefined, signal};
  }

  acquire(token: number, atMs: number, followsRelease = false): void {
    this.held = {
      fencingToken: brandAs<FencingToken>(token),
      fenceVersion: ABSENT,
      termEndsAtMs: atMs + 3000,
      renewedAtMs: atMs,
      followsRelease,
    };
  }
}

function makeTerm() {
  const lease = new ScriptedLease();
  const time = {nowMs: 0, epochMs: 0};
  const term = new DutyTerm({
    lease,
    separationMs: 3000,
    nowMs: () => time.nowMs,
    nowEpochMs: () => time.epochMs,
  });
  const pass = (ms: number) => {
    time.nowMs += ms;
    time.epochMs += ms;
  };
  return {lease, time, term, pass};
}

test('a holder that gets the duties back at once waits after its own last act', t => {
  // An instance is stopped and hands its duties over; moments later its
  // successor is stopped and hands them back. Without the wait the provider
  // would see orders of both at the same time.
  const {lease, term, pass} = makeTerm();
  pass(10_000);
  lease.acquire(1, 10_000);
  t.true(term.guard().mayStillSend());
  pass(1000);
  lease.acquire(3, 11_000, true);
  t.is(term.token, undefined);
  pass(1999);
  t.is(term.token, undefined);
  pass(1);
  t.is(term.token, brandAs<FencingToken>(3));
});

test('a holder after a release that has not acted itself acts at once', t => {
  // All instances are stopped one after the other, two seconds each, and each
  // holder hands the duties over. If each successor waited for a term first, it
  // would be stopped before it had acted, and so would the next.
  const {lease, term, pass} = makeTerm();
  pass(3000);
  lease.acquire(2, 3000, true);
  t.is(term.token, brandAs<FencingToken>(2));
  t.true(term.guard().mayStillSend());
  pass(500);
  t.true(term.guard().mayStillSend());
});

test('a process that has just started waits, as its predecessor may have acted', t => {
  // A holder is stopped, started again and gets the duties back from the
  // instance that held them in between.
  const {lease, term, pass} = makeTerm();
  pass(1000);
  lease.acquire(3, 1000, true);
  t.is(term.token, undefined);
  pass(2000);
  t.is(term.token, brandAs<FencingToken>(3));
});

test('acts under the token in force do not delay each other', t => {
  const {lease, term, pass} = makeTerm();
  pass(10_000);
  lease.acquire(1, 10_000);
  t.true(term.guard().mayStillSend());
  pass(4000);
  lease.acquire(3, 14_000, true);
  t.true(term.guard().mayStillSend());
  pass(100);
  t.true(term.guard().mayStillSend());
});

test('a holder after a lapse acts at once', t => {
  // The store was unavailable for longer than a term, or the holder was killed.
  // Nobody has acted for a while, and reports would be late if they waited
  // longer.
  const {lease, term} = makeTerm();
  lease.acquire(1, 0);
  lease.acquire(2, 0);
  t.is(term.token, brandAs<FencingToken>(2));
});

test('after a suspension nothing is sent before a renewal', t => {
  // A machine is suspended for four seconds. Its monotonic clock stood still,
  // so its lease seems in force, although another instance has taken over.
  const {lease, time, term, pass} = makeTerm();
  lease.acquire(1, 0);
  pass(100);
  const guard = term.guard();
  t.true(guard.mayStillSend());
  time.epochMs += 4000;
  t.false(guard.mayStillSend());
  t.is(term.token, undefined);
  pass(200);
  lease.held = {...lease.held!, renewedAtMs: time.nowMs};
  pass(1);
  t.is(term.token, brandAs<FencingToken>(1));
});

test('a guard is valid only for the token under which it was created', t => {
  const {lease, term, pass} = makeTerm();
  lease.acquire(1, 0);
  const guard = term.guard();
  lease.acquire(2, 0);
  pass(5000);
  t.false(guard.mayStillSend());
});
