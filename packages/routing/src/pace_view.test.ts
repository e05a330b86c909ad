import test from 'ava';
import {brandAs, type EndpointId} from '@snipestage/types/ids.js';
import {PaceView, roundPace, type PaceSample} from './pace_view.js';

const ENGINE = brandAs<EndpointId>('engine');

function makeView() {
  const taken: PaceSample[] = [];
  const view = new PaceView({
    isKnown: id => id === ENGINE,
    onReported: sample => void taken.push(sample),
  });
  return {view, taken};
}

function sampleOf(paceMs: number, atMs: number): PaceSample {
  return {endpoint: ENGINE, paceMs, atMs};
}

test('a sample counts once, by whatever ways it comes', t => {
  // Guards against a relay that returns samples to their sender, and against
  // two relays that both pass one on with times that differ by their clocks.
  const {view, taken} = makeView();
  view.noteOwn(sampleOf(13.651, 1000));
  t.is(view.addReported(sampleOf(13.651, 1012), 'remote', 1500), 'duplicate');
  t.is(view.addReported(sampleOf(14.002, 1200), 'local', 1500), undefined);
  t.is(view.addReported(sampleOf(14.002, 1188), 'remote', 1700), 'duplicate');
  t.is(taken.length, 1);
});

test('outdated samples and those of unknown endpoints are dropped', t => {
  const {view, taken} = makeView();
  const other = {...sampleOf(13, 900), endpoint: brandAs<EndpointId>('other')};
  t.is(view.addReported(other, 'local', 1000), 'unknown');
  t.is(view.addReported(sampleOf(13, 900), 'local', 4000), 'too_old');
  t.is(view.addReported(sampleOf(13, 900), 'local', 800), 'from_the_future');
  view.forget(ENGINE, 5000);
  t.is(view.addReported(sampleOf(13, 4900), 'local', 5100), 'too_old');
  t.is(view.addReported(sampleOf(15, 5050), 'local', 5100), undefined);
  t.is(taken.length, 1);
});

test('a relay passes on what is new, and to other relays only what is near', t => {
  const {view} = makeView();
  view.addReported(sampleOf(13, 900), 'local', 1000);
  view.addReported(sampleOf(14, 950), 'remote', 1000);
  const near = view.changesSince(0, ['own', 'local'], 1000);
  t.deepEqual(
    near.samples.map(({paceMs}) => paceMs),
    [13],
  );
  t.is(
    view.changesSince(0, ['own', 'local', 'remote'], 1000).samples.length,
    2,
  );
  t.is(view.changesSince(near.mark, ['own', 'local'], 1000).samples.length, 0);
});

test('paces are rounded as they are sent', t => {
  t.is(roundPace(13.650_49), 13.65);
});
