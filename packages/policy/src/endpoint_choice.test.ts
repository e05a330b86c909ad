import test from 'ava';
import {LeastInFlightChoice, RoundRobinChoice} from './baseline_choices.js';
import {isEligible, type EndpointView} from './endpoint_choice.js';
import {createSeededRandom} from './random_source.js';
import {makePermitRequest, makeEndpoint} from './test_fixtures.js';
import {TieredChoice} from './tiered_choice.js';

function view(id: string, changes: Partial<EndpointView> = {}): EndpointView {
  const {kind} = makeEndpoint(id);
  const numbers = {limit: 10, inFlight: 0, free: 10, probing: false};
  return {id: makeEndpoint(id).id, kind, ...numbers, ...changes};
}

const random = createSeededRandom(1);
const choice = new TieredChoice();

test('leaving, excluded and unwanted cheap endpoints are never eligible', t => {
  const e1 = makeEndpoint('e1');
  t.true(isEligible(makePermitRequest('a'), e1));
  t.false(isEligible(makePermitRequest('a', {excluded: [e1.id]}), e1));
  t.false(
    isEligible(makePermitRequest('a'), makeEndpoint('e1', {leaving: true})),
  );
  const cheap = makeEndpoint('e1', {kind: 'cheap'});
  t.false(isEligible(makePermitRequest('a'), cheap));
  t.true(isEligible(makePermitRequest('a', {cheapAllowed: true}), cheap));
});

test('chooses the endpoint with the smaller share of its limit in use', t => {
  const views = [
    view('e1', {inFlight: 4}),
    view('e2', {inFlight: 9, limit: 30}),
  ];
  for (let turn = 0; turn < 20; turn++) {
    t.is(choice.choose(makePermitRequest('a'), views, random).id, views[1].id);
  }
});

test('requests that may run on cheap endpoints go there first', t => {
  const views = [view('e1'), view('cheap', {kind: 'cheap', inFlight: 9})];
  const ask = makePermitRequest('a', {cheapAllowed: true});
  t.is(choice.choose(ask, views, random).id, views[1].id);
});

test('prefix affinity keeps a prompt at one endpoint, up to a load bound', t => {
  const ask = makePermitRequest('a', {prefixHash: 'warranty manual'});
  const idle = ['e1', 'e2', 'e3', 'e4'].map(id => view(id));
  const preferred = choice.choose(ask, idle, random).id;
  const load = (inFlight: number) =>
    idle.map(one => (one.id === preferred ? {...one, inFlight} : one));
  t.is(choice.choose(ask, load(0), random).id, preferred);
  t.not(choice.choose(ask, load(5), random).id, preferred);
});

test('the top tier does not probe while another endpoint is healthy', t => {
  const views = [view('e1', {probing: true}), view('e2', {inFlight: 9})];
  t.is(choice.choose(makePermitRequest('a'), views, random).id, views[1].id);
  t.is(
    choice.choose(makePermitRequest('a'), [views[0]], random).id,
    views[0].id,
  );
});

test('the baselines choose in turn and by fewest requests in flight', t => {
  const views = [
    view('e2', {inFlight: 1, limit: 1}),
    view('e1', {inFlight: 2}),
  ];
  const inTurn = new RoundRobinChoice();
  const order = [1, 2, 3].map(
    () => inTurn.choose(makePermitRequest('a'), views).id,
  );
  t.is(order.join(' '), 'e1 e2 e1');
  t.is(
    new LeastInFlightChoice().choose(makePermitRequest('a'), views).id,
    views[0].id,
  );
});
