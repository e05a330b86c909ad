import {composeStoreVersion} from '@snipestage/types/store_version.js';
import test from 'ava';
import {
  brandAs,
  type DataCentreId,
  type InstanceId,
} from '@snipestage/types/ids.js';
import {RelayRoster, type RelaySlot} from './relay_roster.js';

const HERE = brandAs<DataCentreId>('akl-a');

function makeRoster(instance: string, strength = 0): RelayRoster {
  return new RelayRoster({
    instance: brandAs<InstanceId>(instance),
    dataCentre: HERE,
    dataCentres: 3,
    strength,
  });
}

function slot(number: number, holder: string, version = 1): RelaySlot {
  const instance = brandAs<InstanceId>(holder);
  return {
    dataCentre: HERE,
    number,
    holder: {instance, address: `${holder}:1`},
    version: composeStoreVersion({era: 0, number: version}),
  };
}

test('a small number of instances uses no relays', t => {
  const roster = makeRoster('one');
  t.false(roster.areRelaysWorthwhile(undefined));
  t.false(roster.areRelaysWorthwhile(9));
  t.true(roster.areRelaysWorthwhile(18));
});

test('few candidates claim a vacant slot at the same time', t => {
  // Guards against useless writes: two dozen instances start at the same
  // moment, and of the claims that they write at once all but one fail.
  const rosters = Array.from({length: 24}, (_, index) =>
    makeRoster(`akl-a-${index}`, index / 24),
  );
  for (const roster of rosters) roster.slotToClaim(0);
  const firstAt = rosters.map(roster => {
    for (let nowMs = 0; ; nowMs += 20) {
      if (roster.slotToClaim(nowMs) !== undefined) return nowMs;
    }
  });
  const earliest = Math.min(...firstAt);
  const together = firstAt.filter(atMs => atMs < earliest + 60).length;
  t.true(together <= 3, `${together}`);
  t.true(Math.max(...firstAt) <= 3000);
  t.true(firstAt.indexOf(earliest) >= 12, 'a strong machine comes first');
});

test('an instance that holds a slot claims no other, and ignores other data centres', t => {
  const roster = makeRoster('one');
  roster.learn(slot(0, 'one'));
  t.true(roster.isRelay);
  t.is(roster.slotToClaim(60_000), undefined);
  const other = makeRoster('two');
  other.learn({...slot(0, 'far'), dataCentre: brandAs<DataCentreId>('akl-b')});
  t.is(other.choose(0), undefined);
});

test('an instance leaves a relay that failed, and follows it again later', t => {
  const roster = makeRoster('one');
  roster.learn(slot(0, 'first'));
  roster.learn(slot(1, 'second'));
  const before = roster.choose(0)!.instance;
  roster.noteFailed(before, 0);
  const after = roster.choose(0)!.instance;
  t.not(after, before);
  t.is(roster.choose(7000)!.instance, before);
});

test('a slot is taken over when no relay of the data centre is left', t => {
  // Both relays of a data centre were killed. All its instances poll the store
  // themselves until one of them takes a slot.
  const roster = makeRoster('one');
  roster.learn(slot(0, 'first', 4));
  roster.learn(slot(1, 'second', 5));
  t.is(roster.slotToClaim(0), undefined);
  roster.noteFailed(brandAs<InstanceId>('first'), 1000);
  t.is(roster.slotToClaim(5000), undefined);
  roster.noteFailed(brandAs<InstanceId>('first'), 6000);
  roster.noteFailed(brandAs<InstanceId>('second'), 6000);
  roster.slotToClaim(6000);
  t.is(Number(roster.slotToClaim(9001)?.version), 4);
});

test('an older row does not give a slot back', t => {
  const roster = makeRoster('one');
  roster.learn(slot(0, 'one', 9));
  roster.learn(slot(0, 'two', 8));
  t.true(roster.isRelay);
  roster.learn(slot(0, 'two', 10));
  t.false(roster.isRelay);
});

test('a relay claims its slot again when the store has lost the row', t => {
  // Guards against slots whose holder no new instance learns, and that nobody
  // else can claim.
  const roster = new RelayRoster({
    instance: brandAs<InstanceId>('me'),
    dataCentre: HERE,
    dataCentres: 1,
    strength: 1,
  });
  roster.learn(slot(0, 'me', 7));
  roster.learn(slot(1, 'other', 8));
  t.is(roster.slotToClaimAgain, undefined);
  roster.noteSetBack();
  t.is(roster.slotToClaimAgain?.number, 0);
  t.is(roster.choose(0)?.instance, brandAs<InstanceId>('me'));
  roster.learn(slot(0, 'me', 3));
  t.is(roster.slotToClaimAgain, undefined);
});
