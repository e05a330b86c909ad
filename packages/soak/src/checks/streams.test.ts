import test from 'ava';
import {brandAs, type InstanceId} from '@snipestage/types/ids.js';
import {BOUNDS} from '../bounds.js';
import {History, type SentRequest} from '../history.js';
import {makeRequest} from '../test_support/small_history.js';
import {OneVersion, StreamsGoOn} from './streams.js';

const OTHER_INSTANCE = brandAs<InstanceId>('akl-a-2');
const COUNT = 20;

/** The attempt that begins a stream; it is broken off. */
function begin(index: number): SentRequest {
  return makeRequest({
    requestId: `first-${index}`,
    kind: 'stream',
    isResumable: true,
    outcome: {kind: 'broken'},
    events: {lastId: 3, versions: ['v1']},
  });
}

/** The next try of its caller, which gets events of these versions. */
function takeUp(index: number, versions: readonly string[]): SentRequest {
  return makeRequest({
    requestId: `next-${index}`,
    instance: OTHER_INSTANCE,
    kind: 'stream',
    isResumable: true,
    takesUp: {firstAttempt: `first-${index}`, lastEventId: 3},
    outcome: {kind: 'broken'},
    events: {lastId: versions.length === 0 ? 0 : 5, versions},
  });
}

/** Each stream is taken up once, while `engines` engines of v1 serve. */
function historyOf(versions: readonly string[], engines = 2): History {
  const history = new History(BOUNDS);
  for (let index = 0; index < COUNT; index += 1) {
    history.requests.push(begin(index), takeUp(index, versions));
  }
  for (let index = 0; index < engines; index += 1) {
    const toMs = Number.POSITIVE_INFINITY;
    history.engineVersions.set(`engine-${index}`, {
      version: 'v1',
      fromMs: 0,
      toMs,
    });
  }
  return history;
}

test('one_version finds each stream that goes on at another version', t => {
  t.is(new OneVersion().find(historyOf(['v2'])).length, COUNT);
  t.is(new OneVersion().find(historyOf(['v1'])).length, 0);
  t.is(new OneVersion().find(historyOf([])).length, 0);
});

test('one_version finds a single answer of two versions', t => {
  const history = new History(BOUNDS);
  const events = {lastId: 3, versions: ['v1', 'v2']};
  history.requests.push({...begin(0), events});
  t.is(new OneVersion().find(history).length, 1);
});

test('streams_go_on finds resumptions that go on too rarely', t => {
  t.is(new StreamsGoOn().find(historyOf([])).length, 1);
  t.is(new StreamsGoOn().find(historyOf(['v1'])).length, 0);
});

test('streams_go_on leaves out streams whose version hardly serves', t => {
  t.is(new StreamsGoOn().find(historyOf([], 1)).length, 0);
});
