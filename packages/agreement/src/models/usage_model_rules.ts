/** Invariants of the specification of usage windows. */

import type {UsageLine} from '@snipestage/types/platform_messages.js';
import type {AccountedValue, SealValue} from '../usage_rows.js';
import {scanTable, type TableModel} from './table_model.js';
import type {UsageWorld} from './usage_world.js';

/** The invariant that a state violates; undefined if it violates none. */
export function findUsageViolation(state: UsageWorld): string | undefined {
  const {reported, counted} = state;
  if (Object.values(reported).some(({length}) => length > 1)) {
    return 'a window was reported with different figures';
  }
  const {table} = state.world;
  const sealed = listSealed(table);
  if (sealed.some(({requests}) => requests < 0)) {
    return 'a seal has negative figures';
  }
  const sealedRequests = sumRequests(sealed);
  const accountedRequests = sumRequests(listAccounted(table));
  return sealedRequests !== accountedRequests || sealedRequests > counted
    ? 'sealed figures do not match the counters'
    : undefined;
}

function listSealed(table: TableModel): readonly UsageLine[] {
  return scanTable(table, 'usage/seals/').flatMap(
    ({value}) => (value as SealValue).lines,
  );
}

function listAccounted(table: TableModel): readonly UsageLine[] {
  return scanTable(table, 'usage/accounted/')
    .flatMap(({value}) => Object.values((value as AccountedValue).counters))
    .flatMap(({lines}) => lines);
}

function sumRequests(lines: readonly UsageLine[]): number {
  return lines.reduce((total, {requests}) => total + requests, 0);
}
