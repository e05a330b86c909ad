/** Builders shared by the tests and simulations of a cell. */

import type {RequestClass} from '@snipestage/types/configuration.js';
import {
  brandAs,
  type AttemptId,
  type CellId,
  type ClientAccountId,
  type EndpointId,
  type Fingerprint,
  type InstanceId,
  type RequestClassId,
} from '@snipestage/types/ids.js';
import type {
  CellPermitRequest,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {CellEndpoint, CellOutput} from './cell_messages.js';

export const CELL = brandAs<CellId>('akl-a/repair/1');
export const FIRST = brandAs<InstanceId>('akl-a-1');
export const SECOND = brandAs<InstanceId>('akl-a-2');

/** An endpoint of a cell; by default regular with a concurrency of four. */
export function makeEndpoint(
  id: string,
  changes: Partial<CellEndpoint> = {},
): CellEndpoint {
  return {
    id: brandAs<EndpointId>(id),
    kind: 'regular',
    maxConcurrency: 4,
    leaving: false,
    ...changes,
  };
}

/** The request class `tier-<tier>`. */
export function makeClass(
  tier: number,
  changes: Partial<RequestClass> = {},
): RequestClass {
  return {
    id: brandAs<RequestClassId>(`tier-${tier}`),
    tier,
    firstTokenTargetMs: 1000,
    betweenTokensTargetMs: 50,
    deadlineMs: 30_000,
    guaranteedShare: 0,
    cheapEndpointsAllowed: false,
    ...changes,
  };
}

/** A permit request of the first instance in the class `tier-<tier>`. */
export function makePermitRequest(
  attempt: string,
  changes: Partial<Omit<CellPermitRequest, 'clientAccount'>> & {
    readonly account?: string;
  } = {},
): CellPermitRequest {
  const {account = 'gear-menders', ...rest} = changes;
  const tier = rest.tier ?? 0;
  return {
    attempt: brandAs<AttemptId>(attempt),
    cell: CELL,
    instance: FIRST,
    clientAccount: brandAs<ClientAccountId>(account),
    requestClass: brandAs<RequestClassId>(`tier-${tier}`),
    tier,
    expectedTokens: 100,
    remainingMs: 30_000,
    fingerprint: brandAs<Fingerprint>(attempt),
    suspect: false,
    cheapAllowed: false,
    excluded: [],
    ...rest,
  };
}

/** The release of a successful attempt. */
export function makeRelease(
  attempt: string,
  endpoint: string,
  changes: Partial<PermitRelease> = {},
): PermitRelease {
  return {
    attempt: brandAs<AttemptId>(attempt),
    cell: CELL,
    endpoint: brandAs<EndpointId>(endpoint),
    outcome: 'ok',
    outputTokens: 100,
    promptTokens: 0,
    firstTokenMs: 200,
    betweenTokensMs: 20,
    ...changes,
  };
}

/** Attempts that were granted, in order. */
export function grantedOf(outputs: readonly CellOutput[]): string[] {
  return outputs.flatMap(output =>
    output.kind === 'grant' ? [output.grant.attempt] : [],
  );
}

/** Attempts that were refused, with their reasons, in order. */
export function refusedOf(outputs: readonly CellOutput[]): string[] {
  return outputs.flatMap(output =>
    output.kind === 'refuse'
      ? [`${output.refusal.attempt} ${output.refusal.reason}`]
      : [],
  );
}
