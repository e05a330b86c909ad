/** Sets up a scenario: stand-ins, entry processes and the configuration. */

import {generateKey, hashKey} from '@snipestage/configuration/key_hash.js';
import type {PolicyName} from '@snipestage/policy/policy_set.js';
import type {ObjectChange} from '@snipestage/types/configuration.js';
import {Deployment} from '../launch/deployment.js';
import type {LaunchedStandIn, Launcher} from '../launch/launcher.js';
import type {RunEngine} from './engine_totals.js';
import type {Scenario} from './scenario.js';

/** The processes of a scenario, configured and ready for its load. */
export interface TestBed {
  readonly platform: LaunchedStandIn;
  readonly deployment: Deployment;
  readonly services: readonly LaunchedStandIn[];
  readonly engines: readonly RunEngine[];
  /** The process that hosts all engines of a data centre. */
  readonly engineHosts: ReadonlyMap<string, LaunchedStandIn>;
  readonly accountKeys: Readonly<Record<string, string>>;
}

export const USAGE_SETTINGS = {
  windowMs: 5000,
  graceMs: 2000,
  writeEveryMs: 1000,
};
const MAX_WAITING_PER_CELL = 2000;

/**
 * Starts all processes and waits until the configuration is in force.
 *
 * @example
 * const testBed = await startTestBed(launcher, scenario, 'tiered');
 */
export async function startTestBed(
  launcher: Launcher,
  scenario: Scenario,
  policy: PolicyName,
  entryCount = scenario.dataCentres.length * scenario.entriesPerDataCentre,
): Promise<TestBed> {
  const platform = await launcher.launchStandIn('platform');
  const {engineHosts, engines} = await startEngines(launcher, scenario);
  const services = await startServices(launcher, scenario);
  const accountKeys = makeKeys(scenario);
  const deployment = await Deployment.start({
    launcher,
    platformUrl: platform.url,
    operatorKey: generateKey(),
    dataCentres: Array.from(
      {length: entryCount},
      (_, at) => scenario.dataCentres[at % scenario.dataCentres.length],
    ),
    changes: {
      routing: {policy, maxWaitingPerCell: MAX_WAITING_PER_CELL},
      usage: USAGE_SETTINGS,
    },
  });
  await deployment.submit([
    ...baseChanges(scenario),
    ...accountChanges(scenario, accountKeys),
    ...engineChanges(scenario, engines),
    ...serviceChanges(scenario, services),
  ]);
  return {platform, deployment, services, engines, engineHosts, accountKeys};
}

async function startEngines(
  launcher: Launcher,
  scenario: Scenario,
): Promise<Pick<TestBed, 'engines' | 'engineHosts'>> {
  const {cheapPerDataCentre, options, regularPerDataCentre} = scenario.engines;
  const count = String(regularPerDataCentre + cheapPerDataCentre);
  const engineHosts = new Map<string, LaunchedStandIn>();
  const engines: RunEngine[] = [];
  for (const dataCentre of scenario.dataCentres) {
    const host = await launcher.launchStandIn('engines', {
      count,
      options: JSON.stringify(options),
    });
    engineHosts.set(dataCentre, host);
    for (const [at, url] of host.urls.entries()) {
      const kind = at < regularPerDataCentre ? 'regular' : 'cheap';
      const id = `${dataCentre}-${kind}-${at + 1}`;
      engines.push({id, dataCentre, kind, url});
    }
  }
  return {engines, engineHosts};
}

function startServices(
  launcher: Launcher,
  scenario: Scenario,
): Promise<LaunchedStandIn[]> {
  if (scenario.service === undefined) return Promise.resolve([]);
  return Promise.all(
    scenario.dataCentres.map(() => launcher.launchStandIn('service')),
  );
}

function makeKeys(scenario: Scenario): Record<string, string> {
  const accounts = scenario.streams
    .flatMap(stream => stream.accounts)
    .map(({account}) => account);
  if (scenario.service !== undefined) accounts.push(scenario.service.account);
  return Object.fromEntries(
    [...new Set(accounts)].map(account => [account, generateKey()]),
  );
}

function baseChanges(scenario: Scenario): ObjectChange[] {
  const {classes, dataCentres, model} = scenario;
  return [
    ...dataCentres.map(id =>
      change('data_centre', id, {id, region: 'nz-north'}),
    ),
    ...Object.entries(classes).map(([id, state]) =>
      change('request_class', id, {id, ...state}),
    ),
    change('model', model, {id: model, typicalOutputTokens: 24}),
  ];
}

function accountChanges(
  scenario: Scenario,
  keys: Readonly<Record<string, string>>,
): ObjectChange[] {
  const requestClasses = Object.keys(scenario.classes);
  return Object.entries(keys).map(([id, key]) =>
    change('client_account', id, {
      id,
      keyHashes: [hashKey(key)],
      requestClasses,
      defaultRequestClass: requestClasses[0],
    }),
  );
}

function engineChanges(
  scenario: Scenario,
  engines: readonly RunEngine[],
): ObjectChange[] {
  const {maxConcurrency} = scenario.engines;
  return engines.map(({dataCentre, id, kind, url}) =>
    change('endpoint', id, {
      id,
      dataCentre,
      kind,
      url,
      serves: {kind: 'model', model: scenario.model},
      maxConcurrency,
      leaving: false,
    }),
  );
}

function serviceChanges(
  scenario: Scenario,
  services: readonly LaunchedStandIn[],
): ObjectChange[] {
  if (services.length === 0) return [];
  const operations = [
    {method: 'POST', pathPrefix: '/bookings', idempotent: false},
  ];
  return [
    change('service', 'booking', {id: 'booking', operations, timeoutMs: 5000}),
    ...services.map(({url}, at) =>
      change('endpoint', `booking-${at + 1}`, {
        id: `booking-${at + 1}`,
        dataCentre: scenario.dataCentres[at],
        kind: 'regular',
        url,
        serves: {kind: 'service', service: 'booking'},
        maxConcurrency: 64,
        leaving: false,
      }),
    ),
  ];
}

/** Casts plain values to branded types; the ticket's schema validates them. */
function change(kind: ObjectChange['kind'], id: string, state: object) {
  return {kind, id, state} as ObjectChange;
}
