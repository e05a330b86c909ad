/** The pages that a gateway serves on its operations addresses. */

import type {BoundedOutput} from '@snipestage/log/bounded_output.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {GatewaySettings} from './gateway_settings.js';
import {OperationsServer, type OperationsPage} from './operations_server.js';

/** Options of {@link createPages}. */
export interface GatewayPagesOptions {
  readonly settings: Pick<
    GatewaySettings,
    'readinessAddress' | 'metricsAddress'
  >;
  readonly metrics: GatewayMetrics;
  readonly output: Pick<BoundedOutput, 'dropped'>;
  readonly isReady: () => boolean;
  /** For how long a change of each table may have been missed, in ms. */
  readonly readTableAges: () => ReadonlyMap<string, number>;
  /** Slow endpoints of each service whose load controls are on. */
  readonly countSlow: () => ReadonlyMap<string, number>;
  /** Known and estimated state of the process, without callers' keys. */
  readonly dump: () => object;
}

/**
 * Creates the server for readiness and, if the settings have a metrics address,
 * one for metrics and the dump of state.
 *
 * @example
 * for (const server of createPages(options)) await server.start();
 */
export function createPages(
  options: GatewayPagesOptions,
): readonly OperationsServer[] {
  const {readinessAddress, metricsAddress} = options.settings;
  const readiness = new OperationsServer(readinessAddress, async () =>
    showReadiness(options),
  );
  if (metricsAddress === undefined) return [readiness];
  const pages = new OperationsServer(metricsAddress, path =>
    showPage(options, path),
  );
  return [readiness, pages];
}

function showReadiness({isReady}: GatewayPagesOptions): OperationsPage {
  const ready = isReady();
  return {
    status: ready ? 200 : 503,
    type: 'text/plain',
    body: ready ? 'ready\n' : 'not ready\n',
  };
}

async function showPage(
  {metrics, output, dump, readTableAges, countSlow}: GatewayPagesOptions,
  path: string,
): Promise<OperationsPage | undefined> {
  if (path === '/metrics') {
    metrics.setDroppedLines(output.dropped);
    metrics.setTableAges(readTableAges());
    metrics.setSlowEndpoints(countSlow());
    const body = await metrics.render();
    return {status: 200, type: 'text/plain; version=0.0.4', body};
  }
  if (path !== '/state') return undefined;
  const body = JSON.stringify(dump(), null, 2);
  return {status: 200, type: 'application/json', body};
}
