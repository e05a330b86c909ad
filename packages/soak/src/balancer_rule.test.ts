import test from 'ava';
import {brandAs, type DataCentreId} from '@snipestage/types/ids.js';
import {listCandidates} from './balancer_rule.js';

const DATA_CENTRES = ['a', 'b', 'c'].map(name => brandAs<DataCentreId>(name));

/** `a1 a2-` are two instances of data centre a, the second out of rotation. */
function candidatesAmong(text: string): string {
  const instances = text.split(' ').map(word => ({
    name: word,
    dataCentre: brandAs<DataCentreId>(word[0]),
    isInRotation: !word.endsWith('-'),
  }));
  const candidates = listCandidates({instances, dataCentres: DATA_CENTRES});
  return candidates.map(({name}) => name).join(' ');
}

const TABLE: ReadonlyArray<readonly [string, string, string]> = [
  ['all in rotation', 'a1 a2 b1', 'a1 a2'],
  ['half in rotation', 'a1 a2- b1', 'a1'],
  ['fewer than half in rotation', 'a1 a2- a3- b1', 'a1 a2- a3-'],
  ['none in rotation', 'a1- a2- b1 b2 c1', 'b1 b2'],
  ['none there, fewer than half next', 'a1- b1 b2- b3- c1', 'b1 b2- b3-'],
  ['only the farthest in rotation', 'a1- b1- c1', 'c1'],
  ['a data centre without instances', 'b1 b2 c1', 'b1 b2'],
  ['none in rotation anywhere', 'a1- b1- c1-', 'a1- b1- c1-'],
];

for (const [title, seen, expected] of TABLE) {
  test(`new connections with ${title}`, t => {
    t.is(candidatesAmong(seen), expected);
  });
}
