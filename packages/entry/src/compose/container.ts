/** Creates the process's dependency injection container. */

import 'reflect-metadata';
import {Logger} from '@snipestage/log/logger.js';
import {Metrics, NoMetrics, StatsDMetrics} from '@snipestage/log/metrics.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import {Container} from 'inversify';
import {InFlightRequests} from '../admit/in_flight_requests.js';
import {StopGate} from '../admit/stop_gate.js';
import {monotonicNowMs} from '../clock.js';
import {ConfigurationStore} from '../configure/configuration_store.js';
import {StateDump} from '../operate/state_dump.js';
import {bindEndpoints} from './bind_endpoints.js';
import {bindHandlers} from './bind_handlers.js';
import {bindPeers} from './bind_peers.js';
import {bindPermits} from './bind_permits.js';
import {bindPlatform} from './bind_platform.js';
import {bindUsage} from './bind_usage.js';
import {bindSending} from './bind_sending.js';
import {IS_READY, SETTINGS} from './tokens.js';

/**
 * Creates a container with a binding for every part of the process.
 *
 * @example
 * const container = createContainer(settings, () => process.isReady);
 * const intake = container.get(RequestIntake);
 */
export function createContainer(
  settings: EntrySettings,
  isReady: () => boolean,
): Container {
  const container = new Container({defaultScope: 'Singleton'});
  container.bind(SETTINGS).toConstantValue(settings);
  container.bind(IS_READY).toConstantValue(isReady);
  container.bind(Logger).toConstantValue(
    new Logger({
      component: 'entry',
      fields: {instance: settings.instance},
    }),
  );
  container.bind(Metrics).toConstantValue(createMetrics(settings));
  container.bind(InFlightRequests).toConstantValue(new InFlightRequests());
  container
    .bind(StopGate)
    .toConstantValue(new StopGate({clock: monotonicNowMs}));
  container.bind(ConfigurationStore).toConstantValue(new ConfigurationStore());
  container.bind(StateDump).toConstantValue(new StateDump());
  bindPlatform(container, settings);
  bindPeers(container, settings);
  bindEndpoints(container, settings);
  bindPermits(container, settings);
  bindSending(container, settings);
  bindUsage(container, settings);
  bindHandlers(container, settings);
  return container;
}

function createMetrics(settings: EntrySettings): Metrics {
  if (settings.metrics === undefined) return new NoMetrics();
  const {instance, dataCentre: data_centre} = settings;
  const globalTags = {instance, data_centre};
  return new StatsDMetrics({...settings.metrics, globalTags});
}
