/**
 * Identifies the sender and the target of a request, and admits or refuses it.
 */

import type {RouteTable} from '@snipestage/routing/route_table.js';
import type {Route} from '@snipestage/routing/route.js';
import type {ClientAccountId, ServiceId} from '@snipestage/types/ids.js';
import type {CallerRequest} from './pass_through_protocol.js';

/** Route, target service and client account of an admitted request. */
export interface Admission {
  readonly route: Route;
  readonly service: ServiceId;
  readonly clientAccount: ClientAccountId | undefined;
  /** Rank by account and route; 0 is served first. */
  readonly urgencyRank: number;
}

/** The admission, or status and reason of a refusal. */
export type AdmissionResult =
  | {readonly kind: 'admitted'; readonly admission: Admission}
  | {
      readonly kind: 'turned_away';
      readonly status: 401 | 404 | 503;
      readonly reason: string;
    };

/** Input of {@link admit}. */
export interface AdmissionInput {
  readonly table: RouteTable | undefined;
  readonly host: string;
  readonly path: string;
  readonly request: CallerRequest;
  /** At least 0 and below 1; picks among weighted targets. */
  readonly random: number;
}

/**
 * Identifies a request against the current configuration. Every request is
 * checked, so that a withdrawn key stops working on open connections too.
 *
 * @example
 * const result = admit({table, host, path, request, random: Math.random()});
 */
export function admit(input: AdmissionInput): AdmissionResult {
  const {table, host, path, request} = input;
  if (table === undefined) return turnAway(503, 'no_configuration');
  const route = table.findRoute(host, path);
  if (route === undefined) return turnAway(404, 'no_route');
  const account =
    request.key === undefined ? undefined : table.findAccount(request.key);
  const isOpen = route.isPublic || !table.needsKeys;
  if (account === undefined && !isOpen) return turnAway(401, 'unknown_key');
  return {
    kind: 'admitted',
    admission: {
      route,
      service: pickTarget(route, input.random),
      clientAccount: account?.id,
      urgencyRank: table.urgencyScale.rankRequest(route, account),
    },
  };
}

/**
 * Picks one of a route's targets at random, by weight.
 *
 * @param random at least 0 and below 1.
 * @example
 * const service = pickTarget(route, Math.random());
 */
export function pickTarget(route: Route, random: number): ServiceId {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let left = random * total;
  for (const {service, weight} of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets[route.targets.length - 1].service;
}

function turnAway(status: 401 | 404 | 503, reason: string): AdmissionResult {
  return {kind: 'turned_away', status, reason};
}
