import {readFileSync} from 'node:fs';
import {checkTicket} from '@snipestage/configuration/ticket_schema.js';
import {METRICS} from '@snipestage/log/metric_names.js';
import {checkEntrySettings} from '@snipestage/settings/read_settings.js';
import {listSettings} from '@snipestage/settings/settings_reference.js';
import {REFUSAL_CODES, statusOf} from '@snipestage/types/refusal.js';
import test from 'ava';
import {EXIT_CODE_MEANINGS} from './exit_codes.js';

const PAGE = readFileSync(
  new URL('../../../docs/OPERATIONS.md', import.meta.url),
  'utf8',
);

/** Table rows under a heading by their first cell, without backticks. */
function rowsUnder(heading: string): Map<string, string[]> {
  const section = PAGE.split(/^## /m).find(each => each.startsWith(heading));
  const rows = (section ?? '')
    .split('\n')
    .filter(line => line.startsWith('|'))
    .map(line => line.split('|').map(cell => cell.trim().replace(/`/g, '')));
  return new Map(rows.map(cells => [cells[1], cells.slice(2, -1)]));
}

const EXAMPLES = [...PAGE.matchAll(/```json\n(.*?)```/gs)].map(([, text]) =>
  JSON.parse(text),
);

test('the page lists each setting with its default', t => {
  const rows = rowsUnder('Settings');
  for (const {path, defaultText, description} of listSettings()) {
    const plain = description.replace(/`/g, '');
    t.deepEqual(rows.get(path), [defaultText, plain], path);
  }
});

test('the page lists each refusal code with its status', t => {
  const rows = rowsUnder('What callers are told');
  for (const code of REFUSAL_CODES) {
    t.is(rows.get(code)?.[0], String(statusOf(code)), code);
  }
});

test('the page lists each metric', t => {
  const rows = rowsUnder('Metrics');
  for (const [name, {kind, unit}] of Object.entries(METRICS)) {
    t.deepEqual(rows.get(name)?.slice(0, 2), [kind, unit], name);
  }
});

test('the page lists each exit code', t => {
  const rows = rowsUnder('The command');
  for (const [code, meaning] of Object.entries(EXIT_CODE_MEANINGS)) {
    t.deepEqual(rows.get(code), [meaning]);
  }
});

test('the examples on the page are valid', t => {
  const tickets = EXAMPLES.filter(example => 'changes' in example);
  t.is(tickets.length, 4);
  for (const ticket of tickets) t.false('faults' in checkTicket(ticket));
  const [settings] = EXAMPLES.filter(example => 'callers' in example);
  t.notThrows(() => checkEntrySettings(settings));
});
