/** Records and publishes crashes of endpoints, and judges requests by them. */

import {abbreviate} from '@snipestage/entry/identify/fingerprint.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {
  ReportedCrash,
  SuspectDecision,
} from '@snipestage/policy/suspects.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {Fingerprint, InstanceId} from '@snipestage/types/ids.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {RoutingState} from './routing_state.js';

/** Options of {@link CrashReporter}. */
export interface CrashReporterOptions {
  readonly state: RoutingState;
  readonly instance: InstanceId;
  readonly incarnation: string;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly nowMs: () => number;
  /** Publishes to all instances; logs its own failures. */
  readonly publish: (crashes: readonly ReportedCrash[]) => void;
}

/**
 * Gives the crashes seen by this instance ids that are unique over all
 * instances.
 */
export class CrashReporter {
  private count = 0;

  constructor(private readonly options: CrashReporterOptions) {}

  classify(fingerprint: Fingerprint): SuspectDecision {
    const {state, nowMs, logger, metrics} = this.options;
    const atMs = nowMs();
    const decision = state.suspects.classify(fingerprint, atMs);
    const history = state.suspects.describe(fingerprint);
    if (history !== undefined) {
      metrics.countSuspect(decision.kind);
      logger.info('suspect_classified', {
        fingerprint: abbreviate(fingerprint),
        decision: decision.kind,
        ...history,
      });
    }
    return decision;
  }

  noteBroken(endpoint: ServingEndpoint, fingerprint: Fingerprint): void {
    const {state, nowMs} = this.options;
    state.crashes.noteBroken(endpoint.id, fingerprint, nowMs());
  }

  noteHealthy(
    endpoint: ServingEndpoint,
    fingerprint: Fingerprint | undefined,
  ): void {
    const {state} = this.options;
    state.crashes.noteAnswered(endpoint.id);
    if (fingerprint === undefined) return;
    state.suspects.markFinished(fingerprint);
    this.publishChanges();
  }

  /** Handles an endpoint that refused a connection or was restarted. */
  noteUnreachable(endpoint: ServingEndpoint): void {
    const {state, nowMs, instance, incarnation, logger, metrics} = this.options;
    const inFlight = state.crashes.confirmCrash(endpoint.id, nowMs());
    if (inFlight.length === 0) return;
    this.count += 1;
    const id = `${instance}/${incarnation}/${this.count}`;
    const {dataCentre} = endpoint;
    const crash = {id, endpoint: endpoint.id, dataCentre, ageMs: 0};
    state.suspects.merge([{...crash, inFlight, cleared: []}], nowMs());
    metrics.countCrash('here');
    logger.warn('endpoint_crashed', {
      endpoint: endpoint.id,
      suspects: inFlight.length,
      fingerprints: inFlight.map(abbreviate),
    });
    this.publishChanges();
  }

  /** Merges crashes that another instance published. */
  mergePublished(crashes: readonly ReportedCrash[]): void {
    const {state, nowMs, logger, metrics} = this.options;
    for (const {id, endpoint, ageMs, inFlight} of crashes) {
      if (state.suspects.has(id)) continue;
      metrics.countCrash('elsewhere');
      logger.info('crash_learnt', {
        id,
        endpoint,
        ageMs: Math.round(ageMs),
        suspects: inFlight.length,
      });
    }
    state.suspects.merge(crashes, nowMs());
    // Changes that came from other instances are not published again.
    state.suspects.takeChanges(nowMs());
  }

  private publishChanges(): void {
    const {state, nowMs, publish} = this.options;
    const changes = state.suspects.takeChanges(nowMs());
    if (changes.length > 0) publish(changes);
  }
}
