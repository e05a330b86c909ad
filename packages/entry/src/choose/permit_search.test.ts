import {brandAs, type AttemptId, type CellId} from '@snipestage/types/ids.js';
import type {PermitRelease} from '@snipestage/types/permits.js';
import test from 'ava';
import type {CellClients, PermitListener} from './cell_clients.js';
import {PermitSearch, type CandidateCell} from './permit_search.js';

const CELLS = ['akl-a', 'akl-b'].map(name => ({
  cell: brandAs<CellId>(name),
  ask: {attempt: brandAs<AttemptId>(`r@${name}`), remainingMs: 5000},
})) as unknown as readonly CandidateCell[];

/** Keeps the listeners of all requests, so that a test grants them. */
function createSearch() {
  const listeners: PermitListener[] = [];
  const released: PermitRelease[] = [];
  const withdrawn: string[] = [];
  const clients = {
    ask: (_: unknown, listener: PermitListener) => listeners.push(listener),
    withdraw: (cell: CellId) => withdrawn.push(cell),
    release: (release: PermitRelease) => released.push(release),
  } as unknown as CellClients;
  const search = new PermitSearch({
    clients,
    clock: () => 0,
    cells: CELLS,
    spillAfterMs: 0,
  });
  return {search, listeners, released, withdrawn};
}

async function untilBothAreAsked(listeners: readonly unknown[]) {
  while (listeners.length < 2) await new Promise(done => setTimeout(done, 1));
}

const START = {
  kind: 'start',
  endpoint: 'e1',
} as unknown as Parameters<PermitListener>[0];

test('of two permits granted in one turn the second is released', async t => {
  // Guards against places of endpoints that stay taken, as nobody runs there.
  const {search, listeners, released, withdrawn} = createSearch();
  const result = search.run(new AbortController().signal);
  await untilBothAreAsked(listeners);
  listeners[0](START);
  listeners[1](START);
  t.like(await result, {kind: 'found', found: {cell: 'akl-a'}});
  t.like(released, [
    {attempt: 'r@akl-b', cell: 'akl-b', endpoint: 'e1', outcome: 'cancelled'},
  ]);
  t.deepEqual(withdrawn, []);
});

test('a permit granted as its caller leaves is released', async t => {
  const {search, listeners, released} = createSearch();
  const caller = new AbortController();
  const result = search.run(caller.signal);
  await untilBothAreAsked(listeners);
  caller.abort();
  listeners[0](START);
  await t.throwsAsync(result);
  t.is(released.length, 1);
});
