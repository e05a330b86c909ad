/** The processes of the quickstart: stand-ins and three entry processes. */

import {generateKey, hashKey} from '@snipestage/configuration/key_hash.js';
import {Deployment} from '../launch/deployment.js';
import type {LaunchedStandIn, Launcher} from '../launch/launcher.js';
import type {SampleValues} from './sample_ticket.js';

/** The running processes and the keys generated for them. */
export interface QuickstartEnvironment {
  readonly platform: LaunchedStandIn;
  readonly bookingUrls: readonly string[];
  readonly portalUrls: readonly string[];
  readonly deployment: Deployment;
  readonly operatorKey: string;
  /** Key of each client account. */
  readonly accountKeys: Readonly<Record<string, string>>;
  readonly sampleValues: SampleValues;
}

export const DATA_CENTRES = ['akl-a', 'akl-b', 'akl-c'];
const ACCOUNTS = [
  'gear-menders-central',
  'gear-menders-harbour',
  'trail-hut-repairs',
  'concessionaria-litoral',
  'inspetoria-estadual',
  'equipe-de-campo',
];
const REPAIR_ENGINE_COUNT = 8;
const REPORT_ENGINE_COUNT = 6;

/**
 * Starts the stand-ins and the entry processes, and generates the keys.
 *
 * @example
 * const environment = await startEnvironment(launcher);
 */
export async function startEnvironment(
  launcher: Launcher,
): Promise<QuickstartEnvironment> {
  const count = String(REPAIR_ENGINE_COUNT + REPORT_ENGINE_COUNT);
  const bookings = DATA_CENTRES.map(() => launcher.launchStandIn('service'));
  const portals = DATA_CENTRES.map(() =>
    launcher.launchStandIn('service', {resource: 'work-orders'}),
  );
  const [platform, engines] = await Promise.all([
    launcher.launchStandIn('platform'),
    launcher.launchStandIn('engines', {count}),
  ]);
  const bookingUrls = (await Promise.all(bookings)).map(({url}) => url);
  const portalUrls = (await Promise.all(portals)).map(({url}) => url);
  const operatorKey = generateKey();
  const accountKeys = Object.fromEntries(
    ACCOUNTS.map(account => [account, generateKey()]),
  );
  const deployment = await Deployment.start({
    launcher,
    platformUrl: platform.url,
    operatorKey,
    dataCentres: DATA_CENTRES,
  });
  const urls = {
    repair: engines.urls.slice(0, REPAIR_ENGINE_COUNT),
    report: engines.urls.slice(REPAIR_ENGINE_COUNT),
    booking: bookingUrls,
    portal: portalUrls,
  };
  return {
    platform,
    bookingUrls,
    portalUrls,
    deployment,
    operatorKey,
    accountKeys,
    sampleValues: {...valuesOfKeys(accountKeys), ...valuesOfUrls(urls)},
  };
}

function valuesOfKeys(keys: Readonly<Record<string, string>>): SampleValues {
  return Object.fromEntries(
    Object.entries(keys).map(([account, key]) => [
      `key-hash:${account}`,
      hashKey(key),
    ]),
  );
}

function valuesOfUrls(
  urls: Readonly<Record<string, readonly string[]>>,
): SampleValues {
  return Object.fromEntries(
    Object.entries(urls).flatMap(([name, list]) =>
      list.map((url, at) => [`url:${name}-${at + 1}`, url]),
    ),
  );
}
