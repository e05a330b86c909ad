/** Fixtures for tests. */

import {
  brandAs,
  type DataCentreId,
  type EndpointId,
  type PromptPartId,
  type ServiceId,
} from '@snipestage/types/ids.js';
import type {Prompt} from '../prompt.js';
import type {Route, RouteId, RoutingConfiguration} from '../route.js';
import type {EndpointAddress, ServingEndpoint} from '../serving_endpoint.js';

export const REPAIR = brandAs<ServiceId>('repair');
export const AKL_A = brandAs<DataCentreId>('akl-a');

/** Creates the route of a resumable stream with two attempts. */
export function makeRoute(changes: Partial<Route> = {}): Route {
  return {
    id: brandAs<RouteId>('summary'),
    host: 'shop.example',
    pathPrefix: '/summary/',
    kind: 'stream',
    targets: [{service: REPAIR, weight: 1}],
    timeoutMs: 6000,
    latencyTargetMs: 600,
    pauseTargetMs: 250,
    tier: 1,
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
    ...changes,
  };
}

/** Creates a first version with one route and no accounts. */
export function makeConfiguration(
  changes: Partial<RoutingConfiguration> = {},
): RoutingConfiguration {
  return {
    version: 1,
    routes: [makeRoute()],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    clientAccounts: undefined,
    ...changes,
  };
}

/** Creates an endpoint of {@link REPAIR} in {@link AKL_A}. */
export function makeEndpoint(
  id: string,
  changes: Partial<ServingEndpoint> = {},
): ServingEndpoint {
  return {
    id: brandAs<EndpointId>(id),
    service: REPAIR,
    address: brandAs<EndpointAddress>('127.0.0.1:1'),
    dataCentre: AKL_A,
    capacity: 64,
    isLeaving: false,
    isCheap: false,
    bornEpochMs: 1,
    ...changes,
  };
}

/** Creates a prompt of one shared part and one of its own. */
export function makePrompt(
  shared: string,
  sharedTokens: number,
  ownTokens: number,
): Prompt {
  return {
    tokens: sharedTokens + ownTokens,
    maxOutputTokens: 100,
    expectedOutputTokens: undefined,
    parts: [
      {id: brandAs<PromptPartId>(shared), tokens: sharedTokens},
      {id: brandAs<PromptPartId>(`own-${shared}`), tokens: ownTokens},
    ],
  };
}

/** Route of long prompts whose callers tolerate long pauses. */
export const QUOTE = makeRoute({
  id: brandAs<RouteId>('quote'),
  pauseTargetMs: 600,
});

/** Route of short questions whose callers need short pauses. */
export const COUNTER = makeRoute({
  id: brandAs<RouteId>('counter'),
  pauseTargetMs: 150,
});
