/** Binds the sending of requests to endpoints. */

import {Metrics} from '@snipestage/log/metrics.js';
import type {EntrySettings} from '@snipestage/settings/entry_settings.js';
import type {Container} from 'inversify';
import {Permits} from '../choose/permits.js';
import {monotonicNowMs} from '../clock.js';
import {BudgetedRetries} from '../send/budgeted_retries.js';
import {EngineDriver} from '../send/engine_driver.js';
import {HttpEngineDriver} from '../send/http_engine_driver.js';
import {HttpServiceDriver} from '../send/http_service_driver.js';
import {ModelRunner} from '../send/model_runner.js';
import {RetryPolicy} from '../send/retry_policy.js';
import {ServiceDriver} from '../send/service_driver.js';
import {ServiceRunner} from '../send/service_runner.js';

export function bindSending(
  container: Container,
  settings: EntrySettings,
): void {
  const clock = monotonicNowMs;
  const {connectTimeoutMs, chunkTimeoutMs} = settings.routing;
  container
    .bind(EngineDriver)
    .toConstantValue(new HttpEngineDriver({connectTimeoutMs}));
  container
    .bind(ServiceDriver)
    .toConstantValue(new HttpServiceDriver({connectTimeoutMs}));
  container
    .bind(RetryPolicy)
    .toResolvedValue(
      metrics => new BudgetedRetries({clock, metrics}),
      [Metrics],
    );
  container.bind(ModelRunner).toResolvedValue(
    (permits, driver, retryPolicy, metrics) =>
      new ModelRunner({
        permits,
        driver,
        retryPolicy,
        metrics,
        clock,
        chunkTimeoutMs,
      }),
    [Permits, EngineDriver, RetryPolicy, Metrics],
  );
  container
    .bind(ServiceRunner)
    .toResolvedValue(
      (permits, driver, retryPolicy) =>
        new ServiceRunner({permits, driver, retryPolicy, clock}),
      [Permits, ServiceDriver, RetryPolicy],
    );
}
