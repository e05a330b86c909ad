import test from 'ava';
import {chooseInput, InputAccount} from './input_shares.js';

test('input that takes little time never waits', t => {
  // Guards against ordinary callers that are held up by the bound.
  const account = new InputAccount();
  for (let atMs = 0; atMs < 10_000; atMs += 100) {
    account.charge(2, atMs);
    t.false(account.mustWait(atMs, 0));
  }
});

test('input that takes much time waits, and not for ever', t => {
  // Guards against a connection that takes the time of all others, and against
  // one that a suspended process has charged for its own standstill.
  const account = new InputAccount();
  account.charge(20, 0);
  t.true(account.mustWait(0, 0));
  t.true(account.mustWait(300, 0));
  t.false(account.mustWait(400, 0));
  account.charge(1_000_000, 400);
  t.false(account.mustWait(20_400, 0));
});

test('little input passes at once, whatever its connection has used', t => {
  // Guards against ordinary requests that wait as a slow machine takes long for
  // each of them.
  const account = new InputAccount();
  account.charge(500, 0);
  const busy = {waiting: 100, turnMs: 100};
  t.true(account.mustWait(0, 0));
  t.true(account.mayPass(1500, 0, busy));
  t.false(account.mayPass(10_000, 0, busy));
});

test('the more connections wait, the sooner another one has to', t => {
  // Guards against a crowd that takes the burst of each of its connections.
  const account = new InputAccount();
  account.charge(1, 0);
  t.false(account.mustWait(0, 0));
  t.true(account.mustWait(0, 100));
});

test('parts grow while they are cheap, and are small in a long turn', t => {
  // Guards against one read that is parsed for hundreds of milliseconds.
  const account = new InputAccount();
  const smallest = account.partBytes(0);
  for (let part = 0; part < 20; part += 1) account.charge(0, 0);
  const largest = account.partBytes(0);
  t.true(largest > smallest && largest <= 65_536);
  t.is(account.partBytes(100), smallest);
  account.charge(5, 0);
  t.is(account.partBytes(0), smallest);
});

test('the connection that has used least is read next', t => {
  // Guards against ordinary callers that wait behind a crowd.
  const costs = [30, 5, 20].map(costMs => {
    const account = new InputAccount();
    account.charge(costMs, 0);
    return account;
  });
  t.is(
    chooseInput(costs, each => each, 0),
    costs[1],
  );
  t.is(
    chooseInput([], (each: InputAccount) => each, 0),
    undefined,
  );
});
