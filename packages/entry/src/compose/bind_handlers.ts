/** Binds the handlers of callers' requests. */

import {Logger} from '@snipestage/log/logger.js';
import {Metrics} from '@snipestage/log/metrics.js';
import {Platform} from '@snipestage/platform/platform.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {Container} from 'inversify';
import {UsageCounterTask} from '../account/usage_counter_task.js';
import {KeyedRequestRunner} from '../admit/keyed_request_runner.js';
import {InFlightRequests} from '../admit/in_flight_requests.js';
import {StoredAnswers} from '../admit/stored_answers.js';
import {RequestIntake} from '../admit/request_intake.js';
import {StopGate} from '../admit/stop_gate.js';
import {ClusterView} from '../choose/cluster_view.js';
import {monotonicNowMs} from '../clock.js';
import {ConfigurationStore} from '../configure/configuration_store.js';
import {TableExecutor} from '../configure/table_executor.js';
import {ModelHandler} from '../listen/model_handler.js';
import {ServiceHandler} from '../listen/service_handler.js';
import {ModelRunner} from '../send/model_runner.js';
import {ServiceRunner} from '../send/service_runner.js';
import {IS_READY} from './tokens.js';

function bindClaims(container: Container): void {
  container
    .bind(StoredAnswers)
    .toResolvedValue(platform => new StoredAnswers(platform), [Platform]);
  container
    .bind(KeyedRequestRunner)
    .toResolvedValue(
      (executor, view, answers) =>
        new KeyedRequestRunner({executor, view, answers}),
      [TableExecutor, ClusterView, StoredAnswers],
    );
}

export function bindHandlers(
  container: Container,
  settings: EntrySettings,
): void {
  bindClaims(container);
  const {maxBodyBytes} = settings.callers;
  container.bind(RequestIntake).toResolvedValue(
    (store, inFlight, logger, metrics, isReady) =>
      new RequestIntake({
        store,
        inFlight,
        clock: monotonicNowMs,
        logger: logger.forComponent('callers'),
        metrics,
        isReady,
      }),
    [ConfigurationStore, InFlightRequests, Logger, Metrics, IS_READY],
  );
  container
    .bind(ModelHandler)
    .toResolvedValue(
      (store, runner, claims, gate, usage) =>
        new ModelHandler({store, runner, claims, gate, usage, maxBodyBytes}),
      [
        ConfigurationStore,
        ModelRunner,
        KeyedRequestRunner,
        StopGate,
        UsageCounterTask,
      ],
    );
  container
    .bind(ServiceHandler)
    .toResolvedValue(
      (store, runner, claims, gate, usage) =>
        new ServiceHandler({store, runner, claims, gate, usage, maxBodyBytes}),
      [
        ConfigurationStore,
        ServiceRunner,
        KeyedRequestRunner,
        StopGate,
        UsageCounterTask,
      ],
    );
}
