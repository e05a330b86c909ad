/** Records and publishes crashes of endpoints, and judges requests by them. */

import {acceptsConnections} from '@snipestage/connection/reachability.js';
import {
  CrashCheck,
  type EndpointCondition,
} from '@snipestage/entry/choose/crash_check.js';
import {abbreviate} from '@snipestage/entry/identify/fingerprint.js';
import type {Logger} from '@snipestage/log/logger.js';
import type {
  CrashRecord,
  ReportedCrash,
} from '@snipestage/policy/crash_records.js';
import type {SuspectDecision} from '@snipestage/policy/suspects.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {
  EndpointId,
  Fingerprint,
  InstanceId,
  PromptPartId,
} from '@snipestage/types/ids.js';
import {splitAddress} from './split_address.js';
import type {GatewayMetrics} from './gateway_metrics.js';
import type {PartGuard} from './part_guard.js';
import type {RoutingState} from './routing_state.js';

/** Other endpoints that are tried when one can't be reached. */
const MAX_WITNESSES = 2;

/** Options of {@link CrashReporter}. */
export interface CrashReporterOptions {
  readonly state: RoutingState;
  readonly instance: InstanceId;
  readonly incarnation: string;
  readonly logger: Logger;
  readonly metrics: GatewayMetrics;
  readonly parts: PartGuard;
  readonly nowMs: () => number;
  /** Publishes to all instances; logs its own failures. */
  readonly publish: (crashes: readonly ReportedCrash[]) => void;
}

/** By what requests that crash endpoints are recognized. */
export interface RequestContent {
  readonly fingerprint: Fingerprint;
  /** Parts of the prompt that other requests may share. */
  readonly parts: readonly PromptPartId[];
}

/**
 * Gives the crashes seen by this instance ids that are unique over all
 * instances. Only confirmed crashes are published.
 */
export class CrashReporter {
  private count = 0;
  /** Endpoints whose answers broke off, as they were listed then. */
  private readonly watched = new Map<EndpointId, ServingEndpoint>();
  private readonly brokenAtMs = new Map<EndpointId, number>();
  private readonly check: CrashCheck;
  readonly parts: PartGuard;

  constructor(private readonly options: CrashReporterOptions) {
    this.parts = options.parts;
    this.check = new CrashCheck({
      look: (id, mayConnect) => this.look(id, mayConnect),
      isOpen: id => this.mayHaveCrashed(id),
      onDown: id => this.noteDown(id),
      onError: (endpoint, error) =>
        options.logger.error('crash_check_failed', {
          endpoint,
          error: String(error),
        }),
    });
  }

  classify(fingerprint: Fingerprint): SuspectDecision {
    const {state, nowMs, logger, metrics} = this.options;
    const decision = state.suspects.classify(fingerprint, nowMs());
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

  /**
   * Whether a request may still be sent, by the crashes known now.
   *
   * @param trial suspect parts of which it is a trial.
   */
  mayRun(
    {fingerprint, parts}: RequestContent,
    trial: readonly PromptPartId[],
  ): boolean {
    const {state, nowMs} = this.options;
    const {kind} = state.suspects.classify(fingerprint, nowMs());
    return kind !== 'refuse' && this.parts.mayRun(parts, trial);
  }

  /**
   * An answer broke off; whether the endpoint crashed is then looked at.
   *
   * @param hasBegun whether it had got beyond its first event.
   */
  noteBroken(
    endpoint: ServingEndpoint,
    {fingerprint, parts}: RequestContent,
    hasBegun: boolean,
  ): void {
    const {state, nowMs, instance, incarnation} = this.options;
    this.watched.set(endpoint.id, endpoint);
    this.brokenAtMs.set(endpoint.id, nowMs());
    state.suspects.noteBroken(
      {
        newId: () => `${instance}/${incarnation}/${(this.count += 1)}`,
        endpoint: endpoint.id,
        endpointIncarnation: endpoint.bornEpochMs,
        dataCentre: endpoint.dataCentre,
        inFlight: [fingerprint],
        parts: hasBegun ? [] : parts,
      },
      nowMs(),
    );
    this.publishChanges();
    void this.check.start(endpoint.id);
  }

  /**
   * @param sentAtMs when the answered request was sent; an answer to an earlier
   * one may only be read after the crash.
   */
  noteAnswered(
    endpoint: ServingEndpoint,
    {fingerprint, parts}: RequestContent,
    sentAtMs: number,
  ): void {
    const {state, nowMs} = this.options;
    state.suspects.noteAnswered(endpoint.id, sentAtMs);
    state.suspects.markFinished(fingerprint, nowMs());
    state.suspects.parts.noteBegun(parts, nowMs());
    this.publishChanges();
  }

  /**
   * An answer got beyond its first event.
   *
   * @param trial suspect parts of which the request is a trial.
   */
  noteBegun({parts}: RequestContent, trial: readonly PromptPartId[]): void {
    const {state, nowMs} = this.options;
    if (state.suspects.parts.noteBegun(parts, nowMs())) this.publishChanges();
    if (trial.length > 0) void this.parts.passTrial(trial);
  }

  /**
   * Handles a failure to connect. It is the endpoint's only if this instance has
   * reached another one since the answer broke off: an instance that lost its
   * own links would accuse the requests that broke off with them.
   */
  noteUnreachable(id: EndpointId): void {
    if (this.hasReachedOthers(id)) this.noteDown(id);
  }

  /** Handles an endpoint that is down, was restarted or replaced. */
  noteDown(id: EndpointId): void {
    const {state, nowMs, logger, metrics} = this.options;
    const crashes = state.suspects.noteDown(id, nowMs());
    this.forget(id);
    if (crashes.length === 0) return;
    const fingerprints = listFingerprints(crashes);
    metrics.countCrash('here');
    logger.warn('endpoint_crashed', {
      endpoint: id,
      suspects: fingerprints.length,
      fingerprints: fingerprints.map(abbreviate),
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
    state.suspects.mergePublished(crashes, nowMs());
    this.publishChanges();
  }

  stop(): void {
    this.check.stop();
  }

  private mayHaveCrashed(id: EndpointId): boolean {
    const {state, nowMs} = this.options;
    const isOpen = state.suspects.mayHaveCrashed(id, nowMs());
    if (!isOpen) this.forget(id);
    return isOpen;
  }

  /** Whether this instance has connected to an endpoint since the break. */
  private hasReachedOthers(id: EndpointId): boolean {
    const atMs = this.brokenAtMs.get(id);
    if (atMs === undefined) return true;
    return this.options.state.isolation.hasConnectedSince(atMs);
  }

  private forget(id: EndpointId): void {
    this.watched.delete(id);
    this.brokenAtMs.delete(id);
  }

  private async look(
    id: EndpointId,
    mayConnect: boolean,
  ): Promise<EndpointCondition> {
    const watched = this.watched.get(id);
    if (watched === undefined) return 'open';
    const {directory} = this.options.state;
    const last = directory.isCurrentIncarnation(watched)
      ? (directory.find(id) ?? watched)
      : watched;
    this.watched.set(id, last);
    if (directory.isReplaced(last)) return 'gone';
    if (!mayConnect || (await isUp(last))) return 'open';
    const isOwnFault =
      !this.hasReachedOthers(id) && !(await this.reachesAnother(last));
    return isOwnFault ? 'open' : 'down';
  }

  /** Whether any endpoint can be reached but this one. */
  private async reachesAnother(down: ServingEndpoint): Promise<boolean> {
    const others = this.options.state.directory
      .readAll()
      .filter(({id}) => id !== down.id);
    if (others.length === 0) return true;
    const tried = others.slice(0, MAX_WITNESSES);
    const areUp = await Promise.all(tried.map(each => isUp(each)));
    return areUp.includes(true);
  }

  private publishChanges(): void {
    const {state, nowMs, publish} = this.options;
    const changes = state.suspects
      .takeChanges(nowMs())
      .filter(crash => crash.isConfirmed !== false);
    if (changes.length > 0) publish(changes);
  }
}

function isUp({address}: ServingEndpoint): Promise<boolean> {
  const [host, port] = splitAddress(address);
  return acceptsConnections({host, port});
}

function listFingerprints(crashes: readonly CrashRecord[]): Fingerprint[] {
  return [...new Set(crashes.flatMap(({inFlight}) => [...inFlight]))];
}
