import {InputError} from '@snipestage/errors/request_error.js';
import type {ObjectChange} from '@snipestage/types/configuration.js';
import {type Revision, brandAs} from '@snipestage/types/ids.js';
import test from 'ava';
import {applyChanges, emptyConfiguration} from './configuration.js';
import {fromJson, toJson} from './configuration_json.js';
import {KeyIndex, generateKey, hashKey, keyMatches} from './key_hash.js';
import {checkReferences} from './references.js';

const KEY = 'sk-of-gear-menders';

function changeTo(kind: string, state: {id: string; [field: string]: unknown}) {
  return {kind, id: state.id, state} as unknown as ObjectChange;
}

function removal(kind: string, id: string) {
  return {kind, id, state: null} as ObjectChange;
}

function apply(...changes: ObjectChange[]) {
  return applyChanges(emptyConfiguration(), changes, brandAs<Revision>(1));
}

const BASE_CHANGES = [
  changeTo('data_centre', {id: 'akl-a', region: 'nz-north'}),
  changeTo('model', {id: 'repair', typicalOutputTokens: 100}),
  changeTo('request_class', {
    id: 'counter',
    tier: 0,
    firstTokenTargetMs: 500,
    betweenTokensTargetMs: 60,
    deadlineMs: 30_000,
    guaranteedShare: 0.2,
    cheapEndpointsAllowed: false,
  }),
  changeTo('client_account', {
    id: 'gear-menders',
    keyHashes: [hashKey(KEY)],
    requestClasses: ['counter'],
    defaultRequestClass: 'counter',
  }),
  changeTo('endpoint', {
    id: 'akl-a-1',
    dataCentre: 'akl-a',
    kind: 'regular',
    url: 'http://127.0.0.1:1',
    serves: {kind: 'model', model: 'repair'},
    maxConcurrency: 2,
    leaving: false,
  }),
];

test('applying changes leaves the given configuration unmodified', t => {
  const before = apply(...BASE_CHANGES);
  const after = applyChanges(
    before,
    [removal('endpoint', 'akl-a-1')],
    brandAs<Revision>(2),
  );
  t.true(before.endpoints.has('akl-a-1'));
  t.false(after.endpoints.has('akl-a-1'));
  t.is(after.revision, 2 as Revision);
});

test('a configuration survives a JSON round trip; a damaged one is rejected', t => {
  const configuration = apply(...BASE_CHANGES);
  const text = JSON.stringify(toJson(configuration));
  t.deepEqual(fromJson(JSON.parse(text)), configuration);
  t.throws(() => fromJson({...JSON.parse(text), models: [{id: 'repair'}]}), {
    instanceOf: InputError,
  });
});

test('removing an object that is referred to is a fault that names both', t => {
  t.deepEqual(checkReferences(apply(...BASE_CHANGES)), []);
  const faults = checkReferences(
    apply(
      ...BASE_CHANGES,
      removal('model', 'repair'),
      removal('data_centre', 'akl-a'),
      removal('request_class', 'counter'),
    ),
  );
  t.deepEqual(
    faults.map(fault => fault.path),
    [
      'client_account/gear-menders.requestClasses[0]',
      'endpoint/akl-a-1.dataCentre',
      'endpoint/akl-a-1.serves.model',
    ],
  );
  t.regex(faults[2].message, /endpoint\/akl-a-1 .* model\/repair/);
});

test('guaranteed shares add up to half at most', t => {
  const shares = (...values: number[]) =>
    checkReferences(
      apply(
        ...values.map((guaranteedShare, index) =>
          changeTo('request_class', {id: `class-${index}`, guaranteedShare}),
        ),
      ),
    );
  t.deepEqual(shares(0.1, 0.2, 0.2), []);
  t.is(shares(0.2, 0.2, 0.2).length, 1);
});

// Two operators concurrently give the same key to two accounts. Instances could
// then run calls with that key for different customers.
test('one key in two accounts is a fault and opens neither', t => {
  const account = {requestClasses: [], keyHashes: [hashKey(KEY)]};
  const configuration = apply(
    changeTo('client_account', {id: 'one', ...account}),
    changeTo('client_account', {id: 'two', ...account}),
  );
  t.is(new KeyIndex(configuration).find(KEY), undefined);
  const faults = checkReferences(configuration);
  t.deepEqual(
    faults.map(fault => fault.path),
    ['client_account/two.keyHashes[0]'],
  );
});

test('a key finds its account until it is withdrawn', t => {
  t.is(
    new KeyIndex(apply(...BASE_CHANGES)).find(KEY)?.id as string,
    'gear-menders',
  );
  t.is(new KeyIndex(apply(...BASE_CHANGES)).find(`${KEY}x`), undefined);
  const withdrawn = apply(
    ...BASE_CHANGES,
    removal('client_account', 'gear-menders'),
  );
  t.is(new KeyIndex(withdrawn).findByHash(hashKey(KEY)), undefined);
});

test('a generated key matches its own hash only', t => {
  const [key, other] = [generateKey(), generateKey()];
  t.true(keyMatches(key, hashKey(key)));
  t.false(keyMatches(other, hashKey(key)));
});
